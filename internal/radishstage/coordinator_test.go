package radishstage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	callTime  = 240 * time.Millisecond
	pieceTime = 20 * time.Millisecond
)

// fakeTargets runs pieces in the bubble's time.
type fakeTargets struct {
	mu    sync.Mutex
	calls []string
	freed map[string]bool
	given map[string][]string
	// slow and broken name targets that take ten times as long, or break off.
	slow, broken map[string]bool
	// full is how often targets have no room for any result.
	full map[string]int
	made int
}

func (f *fakeTargets) RunPieces(ctx context.Context, t radish.Target, pieces []radish.Piece) ([]radish.PieceResult, error) {
	took := callTime + time.Duration(len(pieces))*pieceTime
	if f.slow[t.Name] {
		took *= 10
	}
	select {
	case <-time.After(took):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if f.broken[t.Name] {
		return nil, errors.New("connection reset")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.full == nil {
		f.full = make(map[string]int)
	}
	results := make([]radish.PieceResult, len(pieces))
	isFull := f.full[t.Name] > 0
	f.full[t.Name]--
	for i, p := range pieces {
		if isFull {
			results[i] = radish.PieceResult{Outcome: radish.PieceNoSpace}
			continue
		}
		f.made++
		for _, input := range p.Inputs {
			if f.freed[input] {
				results[i] = radish.PieceResult{Outcome: radish.PieceInputMissing}
			}
		}
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", t.Address, p.CallID, p.Stage, p.Number, f.made)
		f.given[handle] = p.Inputs
		if results[i].Outcome == "" {
			results[i] = radish.PieceResult{Outcome: radish.PieceDone, Handle: handle}
		}
	}
	f.calls = append(f.calls, fmt.Sprintf("%s:%d", t.Service, len(pieces)))
	return results, nil
}

func (f *fakeTargets) FreePieces(_ context.Context, _ string, handles []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		f.freed[h] = true
	}
	return nil
}

// inputs returns, by the handles of the results that were made, what they were made of.
func (f *fakeTargets) inputs() map[string][]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.given)
}

func (f *fakeTargets) freedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.freed)
}

func newCoordinator(targets int) (*Coordinator, *fakeTargets) {
	fake := &fakeTargets{freed: make(map[string]bool), given: make(map[string][]string), slow: make(map[string]bool), broken: make(map[string]bool)}
	fleet := &radishfleet.Fleet{DataCentre: "a"}
	for _, service := range []string{"enc", "rank"} {
		for i := range targets {
			name := fmt.Sprintf("%s-%d", service, i)
			fleet.Set(radish.Target{Name: name, Address: name + ":1", DataCentre: "a", Service: service, Slots: 1}, time.Now())
		}
	}
	batch := &radishroute.Batch{Slots: 1, Queue: 2, MaxPieces: 10, CallTime: callTime, PieceTime: pieceTime, RoomBytes: 1 << 20, ResultLife: 4 * time.Second}
	c := &Coordinator{Fleet: fleet, Client: fake, Batch: func(string) *radishroute.Batch { return batch }, Shards: 1, Log: hclog.NewNullLogger()}
	return c, fake
}

func newPlan(id string, due time.Duration) *Plan {
	return &Plan{
		CallID: id, Key: "k", Due: time.Now().Add(due), Deadline: time.Now().Add(10 * time.Second),
		Stages: []Stage{{Service: "enc", Pieces: 1, ResultBytes: 100}, {Service: "rank", After: []int{0}, Pieces: 3, ResultBytes: 100}},
	}
}

func TestPlanRunsStagesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(2)
		result, err := c.Run(t.Context(), newPlan("call", 2*time.Second))
		if err != nil {
			t.Fatal(err)
		}
		if len(result.Handles[0]) != 0 || len(result.Handles[1]) != 3 {
			t.Fatalf("got %v", result.Handles)
		}
		for _, handle := range result.Handles[1] {
			if inputs := fake.inputs()[handle]; len(inputs) != 1 || !strings.Contains(inputs[0], "call-0-0") {
				t.Errorf("%s was made of %v", handle, inputs)
			}
		}
		time.Sleep(time.Second)
		if n := fake.freedCount(); n != 1 {
			t.Errorf("%d results were given up, want that of the first stage", n)
		}
		c.Free(result.Handles[1])
		time.Sleep(time.Second)
		if n := fake.freedCount(); n != 4 {
			t.Errorf("%d results were given up, want all", n)
		}
	})
}

// TestPiecesOfManyCallsShareCalls lets thirty calls come at once on two targets a stage: one call to a target for each
// piece would take 4 s and more.
func TestPiecesOfManyCallsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(2)
		began := time.Now()
		var wg sync.WaitGroup
		for n := range 30 {
			wg.Go(func() {
				if _, err := c.Run(t.Context(), newPlan(fmt.Sprint("call-", n), 5*time.Second)); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if took := time.Since(began); took > 3500*time.Millisecond {
			t.Errorf("took %v in the calls %v", took, fake.calls)
		}
	})
}

// TestOverloadIsRefusedAtOnce lets far more calls come than can be in time: those that are let in are in time or close,
// the others are told at once.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		var wg sync.WaitGroup
		var mu sync.Mutex
		refused, late := 0, 0
		const calls, due = 300, 2 * time.Second
		for n := range calls {
			wg.Go(func() {
				began := time.Now()
				_, err := c.Run(t.Context(), newPlan(fmt.Sprint("call-", n), due))
				took := time.Since(began)
				mu.Lock()
				defer mu.Unlock()
				var refusal *RefusedError
				switch {
				case errors.As(err, &refusal):
					refused++
					if took > 0 || refusal.RetryAfter <= 0 {
						t.Errorf("refused after %v, retry after %v", took, refusal.RetryAfter)
					}
				case err != nil:
					t.Error(err)
				case took > due+due/4:
					late++
				}
			})
		}
		wg.Wait()
		if refused == 0 || refused == calls || late > (calls-refused)/10 {
			t.Errorf("%d of %d refused, %d of the others late", refused, calls, late)
		}
	})
}

func TestSlowTargetDoesNotHoldUpItsPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(2)
		fake.slow["enc-0"] = true
		for n := range 4 {
			began := time.Now()
			if _, err := c.Run(t.Context(), newPlan(fmt.Sprint("call-", n), 2*time.Second)); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > 1500*time.Millisecond {
				t.Errorf("call %d took %v", n, took)
			}
		}
	})
}

func TestBrokenTargetsPiecesAreMadeElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(2)
		fake.broken["rank-1"] = true
		for n := range 4 {
			if _, err := c.Run(t.Context(), newPlan(fmt.Sprint("call-", n), 3*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
	})
}

func TestCallerThatLeavesTakesItsPiecesAlong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(1)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = c.Run(t.Context(), newPlan("busy", 5*time.Second)) }()
		synctest.Wait()
		done := make(chan error)
		go func() {
			_, err := c.Run(ctx, newPlan("left", 5*time.Second))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		time.Sleep(3 * time.Second)
		for handle := range fake.inputs() {
			if strings.Contains(handle, "left") {
				t.Errorf("%s was made for a caller that had left", handle)
			}
		}
	})
}

func TestPlanWithoutTargetsIsRefused(t *testing.T) {
	c, _ := newCoordinator(0)
	var refusal *RefusedError
	if _, err := c.Run(t.Context(), newPlan("call", time.Second)); !errors.As(err, &refusal) {
		t.Errorf("got %v", err)
	}
}

func TestPlanOutOfOrderFails(t *testing.T) {
	c, _ := newCoordinator(1)
	plan := newPlan("call", time.Second)
	plan.Stages[0].After = []int{1}
	if _, err := c.Run(t.Context(), plan); !errors.Is(err, ErrFailed) {
		t.Errorf("got %v", err)
	}
}

// TestInputsOutliveATargetWithoutRoom has the second stage's targets refuse results for want of room: its inputs must
// still be there when the pieces are tried again.
func TestInputsOutliveATargetWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(2)
		fake.full = map[string]int{"rank-0": 2, "rank-1": 2}
		batch := c.Batch("")
		// Results of the first stage fill the room of their makers, those of the second the room of theirs.
		c.Batch = func(service string) *radishroute.Batch {
			b := *batch
			b.RoomBytes = 400
			if service == "enc" {
				b.RoomBytes = 150
			}
			return &b
		}
		if _, err := c.Run(t.Context(), newPlan("call", 5*time.Second)); err != nil {
			t.Error(err)
		}
	})
}

// TestHeavyPieceIsTriedAgainWhereItBelongs has the only target of a call's data centre fail once, when the call is late
// already: its pieces go on there or elsewhere, soon.
func TestHeavyPieceIsTriedAgainWhereItBelongs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(1)
		for _, service := range []string{"enc", "rank"} {
			c.Fleet.Set(radish.Target{Name: service + "-far", Address: service + "-far:1", DataCentre: "b", Service: service, Slots: 1}, time.Now())
		}
		fake.full = map[string]int{"rank-0": 1}
		plan := newPlan("call", 600*time.Millisecond)
		plan.Near = "a"
		plan.Stages[1].ResultBytes = 200_000
		began := time.Now()
		if _, err := c.Run(t.Context(), plan); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 2500*time.Millisecond {
			t.Errorf("took %v", took)
		}
	})
}

// TestLostResultsAreMadeAgain loses the first stage's result, as when its maker has crashed, while the second stage's
// pieces wait: only what is lost is made again.
func TestLostResultsAreMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, fake := newCoordinator(1)
		time.AfterFunc(300*time.Millisecond, func() {
			for handle := range fake.inputs() {
				_ = fake.FreePieces(context.Background(), "", []string{handle})
			}
		})
		result, err := c.Run(t.Context(), newPlan("call", 5*time.Second))
		if err != nil || len(result.Handles[1]) != 3 {
			t.Fatalf("got %+v, %v", result, err)
		}
		first := make(map[string]bool)
		for _, handle := range result.Handles[1] {
			for _, input := range fake.inputs()[handle] {
				first[input] = true
			}
		}
		if len(first) != 1 {
			t.Errorf("the results were made of %v", first)
		}
	})
}

// TestLeavingCoordinatorHandsOver lets a coordinator leave with one call begun and others waiting: the first is finished,
// the others and later ones go elsewhere at once.
func TestLeavingCoordinatorHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(1)
		begun, waiting := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := c.Run(t.Context(), newPlan("begun", 5*time.Second))
			begun <- err
		}()
		synctest.Wait()
		go func() {
			_, err := c.Run(t.Context(), newPlan("waiting", 5*time.Second))
			waiting <- err
		}()
		synctest.Wait()
		c.Leave()
		if err := <-waiting; !errors.Is(err, ErrMoved) {
			t.Errorf("the waiting plan: %v", err)
		}
		if _, err := c.Run(t.Context(), newPlan("later", 5*time.Second)); !errors.Is(err, ErrMoved) {
			t.Errorf("a later plan: %v", err)
		}
		if err := <-begun; err != nil {
			t.Errorf("the plan that had begun: %v", err)
		}
	})
}
