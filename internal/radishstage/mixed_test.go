//go:build !race

package radishstage

import (
	"context"
	"hash/fnv"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
)

// unevenTargets execute calls in 0.8 to 1.1 times their nominal time, depending on the target.
type unevenTargets struct {
	*promptTargets
}

func (f *unevenTargets) RunPieces(ctx context.Context, t radish.Target, pieces []radish.Piece) ([]radish.PieceResult, error) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.Name))
	factor := 0.8 + 0.3*float64(h.Sum32()%100)/100
	batch := f.batches[t.Service]
	nominal := batch.CallTime + time.Duration(len(pieces))*batch.PieceTime
	began := time.Now()
	results, err := f.promptTargets.RunPieces(ctx, t, pieces)
	if slower := time.Duration(factor*float64(nominal)) - time.Since(began); slower > 0 {
		time.Sleep(slower)
	}
	return results, err
}

// TestReplayUrgentKindAmongLargerOnes replays a burst of the most urgent kind of calls, with small plans and little time, among two less
// urgent kinds that use the same services: one with large results, and one with larger plans and more time. Without priorities, most of the
// urgent calls are refused because of the others.
func TestReplayUrgentKindAmongLargerOnes(t *testing.T) {
	three := func(rankPieces int) []Stage {
		return []Stage{
			{Service: "enc", Pieces: 1, ResultBytes: 8000},
			{Service: "find", After: []int{0}, Pieces: 4, ResultBytes: 60_000},
			{Service: "rank", After: []int{1}, Pieces: rankPieces, ResultBytes: 6000},
		}
	}
	load := func(knowsPriority bool) []callKind {
		kinds := []callKind{
			{name: "urgent", perSecond: 100, until: 10 * time.Second, due: 1600 * time.Millisecond, stages: three(6)},
			{name: "burst", perSecond: 70, from: 4 * time.Second, until: 7 * time.Second, due: 1600 * time.Millisecond, stages: three(6)},
			{
				name: "large", perSecond: 100, until: 10 * time.Second, due: 2200 * time.Millisecond,
				stages: []Stage{{Service: "enc", Pieces: 2, ResultBytes: 800_000}},
			},
			{name: "low", perSecond: 400, until: 10 * time.Second, due: 2800 * time.Millisecond, stages: three(9)},
		}
		for i, priority := range []int{0, 0, 1, 2} {
			if knowsPriority {
				kinds[i].urgency = &radishadmission.Urgency{Priority: priority, Value: 1000}
			}
		}
		return kinds
	}
	run := func(knowsPriority bool) (tallies map[string]*tally, inTime int) {
		synctest.Test(t, func(t *testing.T) {
			c := newLargeCoordinator()
			c.Client = &unevenTargets{c.Client.(*promptTargets)}
			tallies = replay(t, c, load(knowsPriority))
			time.Sleep(20 * time.Second)
		})
		for _, counts := range tallies {
			inTime += counts.inTime
		}
		return tallies, inTime
	}
	before, inTimeBefore := run(false)
	after, inTimeAfter := run(true)
	if share := before["urgent"].share(); share > 0.2 {
		t.Errorf("%.2f of the urgent calls in time without priorities: the load is too low", share)
	}
	for _, name := range []string{"urgent", "burst", "large"} {
		if share := after[name].share(); share < 0.8 {
			t.Errorf("%s: %.2f in time, want most", name, share)
		}
	}
	if low := after["low"]; low.late+low.failed > low.inTime/10 {
		t.Errorf("%d less urgent calls late and %d failed beside %d in time", low.late, low.failed, low.inTime)
	}
	if inTimeAfter < inTimeBefore*8/10 {
		t.Errorf("%d calls in time, %d without priorities", inTimeAfter, inTimeBefore)
	}
}
