package radishstage

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// TestHopelessPlanReleasesItsResults occupies the only target of the second stage for so long that a plan, of which the first stage is
// complete, cannot end before its deadline. It must be given up at once, and its result released, rather than when its last chance to
// start has passed.
func TestHopelessPlanReleasesItsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(1)
		p := newPlan("call", 800*time.Millisecond)
		p.Deadline, p.Urgency = p.Due, urgency(1)
		time.AfterFunc(250*time.Millisecond, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			items := make([]*radishbatch.Item, 10)
			for i := range items {
				items[i] = &radishbatch.Item{Piece: radish.Piece{CallID: "other", Number: i}, Deadline: time.Now().Add(time.Minute)}
			}
			d := &serviceDispatch{service: "rank", batch: c.Batch("rank"), now: time.Now()}
			c.startCall(c.Fleet.UsableTargets("rank", d.now)[0], d, items)
		})
		began := time.Now()
		_, err := c.Run(t.Context(), p)
		if took := time.Since(began); !errors.Is(err, ErrFailed) || took > 350*time.Millisecond {
			t.Errorf("got %v after %v, want ErrFailed soon after 260ms", err, took)
		}
		time.Sleep(100 * time.Millisecond)
		if fake.freedCount() != 1 {
			t.Errorf("%d results released, want that of the first stage", fake.freedCount())
		}
		time.Sleep(5 * time.Second)
	})
}

// TestPlansInTimeAreNotHopeless checks that a plan whose calls take as long as expected is not given up, with a deadline that leaves just
// enough time.
func TestPlansInTimeAreNotHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(1)
		p := newPlan("call", 720*time.Millisecond)
		p.Deadline, p.Urgency = time.Now().Add(720*time.Millisecond), urgency(0)
		if _, err := c.Run(t.Context(), p); err != nil {
			t.Error(err)
		}
	})
}
