package radishstage

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

// crowdedTargets have room for a few results, most of which another VM's coordinator takes up.
type crowdedTargets struct {
	mu sync.Mutex
	// room is how many results a target holds, rivals how many of them are the other coordinator's.
	room, rivals int
	held         map[string]map[string]bool
	sent, noRoom int
	made         int
}

func (f *crowdedTargets) RunPieces(_ context.Context, t radish.Target, pieces []radish.Piece) ([]radish.PieceResult, error) {
	f.mu.Lock()
	if f.held[t.Address] == nil {
		f.held[t.Address] = make(map[string]bool)
	}
	results := make([]radish.PieceResult, len(pieces))
	for i := range pieces {
		f.sent++
		if t.Service == "rank" && len(f.held[t.Address])+f.rivals >= f.room {
			f.noRoom++
			results[i].Outcome = radish.PieceNoSpace
			continue
		}
		f.made++
		results[i] = radish.PieceResult{Outcome: radish.PieceDone, Handle: fmt.Sprintf("%s/%d", t.Address, f.made)}
		f.held[t.Address][results[i].Handle] = true
	}
	f.mu.Unlock()
	time.Sleep(callTime + time.Duration(len(pieces))*pieceTime)
	return results, nil
}

func (f *crowdedTargets) FreePieces(_ context.Context, address string, handles []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		delete(f.held[address], h)
	}
	return nil
}

// TestReplayRivalTakesUpRoom plays two groups of VMs that are cut from each other and reach the same targets, as on a day
// with cut VMs: the other group's results take up three quarters of the room. A call whose results find no room costs the
// target as much as any other, so that few pieces may be sent in vain.
func TestReplayRivalTakesUpRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		fake := &crowdedTargets{room: 40, rivals: 30, held: make(map[string]map[string]bool)}
		c.Client = fake
		c.Batch = func(string) *radishroute.Batch {
			return &radishroute.Batch{Slots: 1, Queue: 2, MaxPieces: 10, CallTime: callTime, PieceTime: pieceTime, RoomBytes: 4000, ResultLife: 4 * time.Second}
		}
		var wg sync.WaitGroup
		for i := range 60 {
			wg.Go(func() {
				if result, err := c.Run(t.Context(), newPlan(fmt.Sprintf("call-%d", i), 4*time.Second)); err == nil {
					time.Sleep(200 * time.Millisecond)
					c.Free(result.Handles[1])
				}
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(time.Second)
		if 4*fake.noRoom > fake.sent {
			t.Errorf("%d of %d pieces found no room, want a quarter at most", fake.noRoom, fake.sent)
		}
		if fake.made < fake.sent/2 {
			t.Errorf("only %d results were made", fake.made)
		}
	})
}

// TestInputsAreKeptBesideARival sees another coordinator's calls by the time that its own ones take: they wait at their
// targets before they read their inputs, which must not be given up at the usual time.
func TestInputsAreKeptBesideARival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(1)
		now := time.Now()
		batch := c.Batch("rank")
		c.init()
		if !c.isAlone(now) {
			t.Fatal("another coordinator is seen without a sign of it")
		}
		call := &finished{batch: batch, items: []*radishbatch.Item{{Bytes: 100}}, expected: 300 * time.Millisecond, took: 320 * time.Millisecond}
		call.results = []radish.PieceResult{{Outcome: radish.PieceDone}}
		if c.noteRivals(call, false, now); !c.isAlone(now) {
			t.Error("a call that took a little longer counts as a sign")
		}
		call.took = 600 * time.Millisecond
		if c.noteRivals(call, false, now); c.isAlone(now) {
			t.Error("a call that waited for another one is no sign")
		}
		if !c.isAlone(now.Add(rivalMemory + time.Millisecond)) {
			t.Error("a sign counts for ever")
		}
		if c.noteRivals(call, true, now.Add(time.Minute)); c.isAlone(now.Add(time.Minute)) {
			t.Error("results that take up room are no sign")
		}
	})
}
