package radishstage

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
)

// TestReplayUrgentWorkAfterLessUrgent replays less urgent calls that fill the queues, and urgent ones that arrive after that. If admission
// knows due times only, most urgent calls are refused because of work that is due before them or that they would make late.
func TestReplayUrgentWorkAfterLessUrgent(t *testing.T) {
	load := func(knowsPriority bool) []callKind {
		low := callKind{name: "low", perSecond: 40, until: 12 * time.Second, due: 2 * time.Second, stages: chain(6)}
		urgent := callKind{name: "urgent", perSecond: 5, from: 3 * time.Second, until: 12 * time.Second, due: 1900 * time.Millisecond, stages: chain(4)}
		if knowsPriority {
			low.urgency, urgent.urgency = urgency(2), urgency(0)
		}
		return []callKind{low, urgent}
	}
	run := func(knowsPriority bool) (low, urgent *tally) {
		synctest.Test(t, func(t *testing.T) {
			c, _ := newCoordinator(2)
			tallies := replay(t, c, load(knowsPriority))
			low, urgent = tallies["low"], tallies["urgent"]
			time.Sleep(10 * time.Second)
		})
		return low, urgent
	}
	lowBefore, urgentBefore := run(false)
	low, urgent := run(true)
	if urgentBefore.share() > 0.7 {
		t.Errorf("%.2f of the urgent calls are in time without priorities: the load is too low", urgentBefore.share())
	}
	if urgent.share() < 0.95 {
		t.Errorf("%.2f of the urgent calls are in time, want nearly all", urgent.share())
	}
	if low.inTime == 0 || low.gaveWay > lowBefore.inTime {
		t.Errorf("%d less urgent calls in time, %d gave way", low.inTime, low.gaveWay)
	}
}

// TestReplayUrgentPlansAreAdmittedBehindShortQueue guards against urgent plans that are refused for less urgent work that gives way to them:
// plans that will be a little late are admitted while their own queue is short, also if less urgent work fills the queues.
func TestReplayUrgentPlansAreAdmittedBehindShortQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		tallies := replay(t, c, []callKind{
			{name: "low", perSecond: 30, until: 12 * time.Second, due: 4 * time.Second, stages: chain(6), urgency: urgency(2)},
			{name: "urgent", perSecond: 2, from: 3 * time.Second, until: 12 * time.Second, due: 800 * time.Millisecond, stages: chain(1), urgency: urgency(0)},
		})
		time.Sleep(10 * time.Second)
		if urgent := tallies["urgent"]; urgent.refused > urgent.asked/4 {
			t.Errorf("%d of %d urgent plans were refused", urgent.refused, urgent.asked)
		}
	})
}

// TestPlansGiveWayBeforeTheirPiecesRan checks that only plans of which no piece was part of a call give way, and that they are refused as
// not run.
func TestPlansGiveWayBeforeTheirPiecesRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(1)
		gaveWay := make(chan string, 100)
		for n := range 30 {
			p := newPlan(fmt.Sprintf("low-%d", n), 3*time.Second)
			p.Urgency = urgency(1)
			go func() {
				_, err := c.Run(t.Context(), p)
				var refused *RefusedError
				if errors.As(err, &refused) && strings.Contains(refused.Reason, "more urgent") {
					gaveWay <- p.CallID
				}
			}()
		}
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		for n := range 6 {
			p := newPlan(fmt.Sprintf("urgent-%d", n), 2*time.Second)
			p.Urgency = urgency(0)
			go func() {
				if _, err := c.Run(t.Context(), p); err != nil {
					t.Errorf("%s: %v", p.CallID, err)
				}
			}()
		}
		time.Sleep(20 * time.Second)
		if len(gaveWay) == 0 {
			t.Error("no plan gave way")
		}
		for len(gaveWay) > 0 {
			id := <-gaveWay
			for handle := range fake.inputsByHandle() {
				if strings.Contains(handle, id+"-") {
					t.Errorf("%s gave way after its piece %s had run", id, handle)
				}
			}
		}
	})
}

// TestOrderIsUnchangedWhileCapacitySuffices checks that priority precedes due time only where capacity is short: less urgent calls that are
// due soon are in time beside urgent ones that have time left.
func TestOrderIsUnchangedWhileCapacitySuffices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(1)
		// Only the order of the queue is of interest here, not what the arrivals until then make admission expect.
		time.AfterFunc(28*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.arrivals = radishadmission.Arrivals{}
		})
		tallies := replay(t, c, []callKind{
			{name: "urgent", perSecond: 1000, until: 25 * time.Millisecond, due: 9 * time.Second, stages: chain(3), urgency: urgency(0)},
			{
				name: "low", perSecond: 1000, from: 30 * time.Millisecond, until: 37 * time.Millisecond, due: 2500 * time.Millisecond, stages: chain(3),
				urgency: urgency(1),
			},
		})
		for name, counts := range tallies {
			if counts.inTime < counts.asked {
				t.Errorf("%s: %d of %d in time, want all", name, counts.inTime, counts.asked)
			}
		}
	})
}
