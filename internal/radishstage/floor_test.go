package radishstage

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// replayAlone replays the kinds with a new coordinator of two targets for each stage.
func replayAlone(t *testing.T, kinds []callKind) (tallies map[string]*tally) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		tallies = replay(t, c, kinds)
		time.Sleep(10 * time.Second)
	})
	return tallies
}

// TestReplayBurstOfUrgentKind replays urgent calls that ask for half of the capacity and then, for 4 s, for 1.7 times as much, beside less
// urgent calls that would fill the rest several times. The urgent calls find the capacity that they need, and nothing is kept for them
// after they have ended.
func TestReplayBurstOfUrgentKind(t *testing.T) {
	tallies := replayAlone(t, []callKind{
		{name: "urgent", perSecond: 5, until: 16 * time.Second, due: 1900 * time.Millisecond, stages: chain(4), urgency: urgency(0)},
		{
			name: "burst", perSecond: 3.5, from: 6 * time.Second, until: 10 * time.Second, due: 1900 * time.Millisecond, stages: chain(4),
			urgency: urgency(0),
		},
		{name: "low", perSecond: 20, until: 16 * time.Second, due: 3 * time.Second, stages: chain(4), urgency: urgency(2)},
		{name: "after", perSecond: 5, from: 28 * time.Second, until: 36 * time.Second, due: 3 * time.Second, stages: chain(4), urgency: urgency(2)},
	})
	for _, name := range []string{"urgent", "burst", "after"} {
		if share := tallies[name].share(); share < 0.95 {
			t.Errorf("%s: %.2f in time, want nearly all", name, share)
		}
	}
	if low := tallies["low"]; low.inTime == 0 || low.gaveWay+low.failed > low.asked/8 {
		t.Errorf("less urgent calls: %+v, want most of the others refused at once", *low)
	}
}

// TestReplayFloorOfLeastUrgent replays urgent calls that ask for twice the capacity. The least urgent ones keep a tenth of it, and get no
// more than that.
func TestReplayFloorOfLeastUrgent(t *testing.T) {
	const seconds = 20
	tallies := replayAlone(t, []callKind{
		{name: "urgent", perSecond: 20, until: seconds * time.Second, due: 1900 * time.Millisecond, stages: chain(4), urgency: urgency(0)},
		{name: "least", perSecond: 5, until: seconds * time.Second, due: 3 * time.Second, stages: chain(4), urgency: urgency(2)},
	})
	// Two targets take 10 pieces in 440 ms each.
	plansPerSecond := 2 * 10 / 0.44 / 4.0
	least := float64(tallies["least"].inTime) / seconds / plansPerSecond
	if least < 0.05 || least > 0.15 {
		t.Errorf("the least urgent calls got %.2f of the capacity, want about a tenth", least)
	}
	if urgent := float64(tallies["urgent"].inTime) / seconds / plansPerSecond; urgent < 0.6 {
		t.Errorf("the urgent calls got %.2f of the capacity", urgent)
	}
}

// TestIdleStagesAdmitLessUrgentPlans runs less urgent plans that have just enough time one after the other. Each must be admitted, as it would
// be without a priority, also after the floor of its priority is used up.
func TestIdleStagesAdmitLessUrgentPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		for n := range 6 {
			p := newPlan(fmt.Sprint("call-", n), 2200*time.Millisecond)
			p.Urgency = urgency(2)
			p.Stages = nil
			for i := range 6 {
				stage := Stage{Service: []string{"enc", "rank"}[i%2], Pieces: 5, ResultBytes: 100}
				if i > 0 {
					stage.After = []int{i - 1}
				}
				p.Stages = append(p.Stages, stage)
			}
			if _, err := c.Run(t.Context(), p); err != nil {
				t.Errorf("%s: %v", p.CallID, err)
			}
		}
	})
}
