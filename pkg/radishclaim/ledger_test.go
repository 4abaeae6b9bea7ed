package radishclaim_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishclaim"
)

func workOrder(id uuid.UUID) radishclaim.Key {
	return radishclaim.Key{Team: "roads", Pipeline: "work_order", ID: id}
}

// claimAfterSweep lets one VM run a key, freezes another VM's update of the same key until the record is swept, and
// returns what the frozen VM gets. Its window can be set apart, which takes the mechanism away.
func claimAfterSweep(t *testing.T, frozenWindow time.Duration) (*radishclaim.Claim, error) {
	t.Helper()
	w := newWorld(asIs)
	key := workOrder(w.keys[0])
	w.views[1].SetDelay(3 * time.Hour)
	w.ledgers[1].Window = frozenWindow
	type result struct {
		claim *radishclaim.Claim
		err   error
	}
	frozen := make(chan result)
	go func() {
		claim, err := w.ledgers[1].Claim(context.Background(), key, "same-body")
		frozen <- result{claim, err}
	}()
	synctest.Wait()
	first, err := w.ledgers[0].Claim(context.Background(), key, "same-body")
	if err != nil || !first.IsOwner {
		t.Fatalf("first claim: %v, %v", first, err)
	}
	time.Sleep(2 * time.Hour)
	sweeper := &radishclaim.Sweeper{Platform: w.platform, Window: fuzzWindow}
	if err := sweeper.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	r := <-frozen
	w.wait()
	return r.claim, r.err
}

func TestFrozenClaimAfterSweepIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, err := claimAfterSweep(t, fuzzWindow); !errors.Is(err, radish.ErrKeyExpired) {
			t.Fatalf("got %v, want %v", err, radish.ErrKeyExpired)
		}
	})
}

func TestFrozenClaimAfterSweepRunsTwiceWithoutWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claim, err := claimAfterSweep(t, 1000*time.Hour)
		if err != nil || !claim.IsOwner {
			t.Fatalf("got %v, %v; without the window the second VM should own the key, or the proof proves nothing", claim, err)
		}
	})
}

func TestClaimOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(asIs)
		defer w.wait()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		key := workOrder(w.keys[0])
		first, err := w.ledgers[0].Claim(ctx, key, "body")
		if err != nil || !first.IsOwner {
			t.Fatalf("first call: %v, %v", first, err)
		}
		if _, err := w.ledgers[1].Claim(ctx, key, "other body"); !errors.Is(err, radish.ErrKeyMismatch) {
			t.Fatalf("other body: got %v, want %v", err, radish.ErrKeyMismatch)
		}
		if _, err := w.ledgers[1].Claim(ctx, key, "body"); !errors.Is(err, radish.ErrOutcomeUnknown) {
			t.Fatalf("while the first runs: got %v, want %v", err, radish.ErrOutcomeUnknown)
		}
		large := strings.Repeat("x", 100_000)
		w.ledgers[0].Finish(first, []byte(large))
		w.wait()
		again, err := w.ledgers[1].Claim(context.Background(), key, "body")
		if err != nil || again.IsOwner || string(again.Outcome) != large {
			t.Fatalf("after the first ended: owner %t, %d bytes, %v", again.IsOwner, len(again.Outcome), err)
		}
	})
}

func TestWithdrawnClaimCanBeTakenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(asIs)
		defer w.wait()
		key := workOrder(w.keys[0])
		first, err := w.ledgers[0].Claim(context.Background(), key, "body")
		if err != nil {
			t.Fatal(err)
		}
		w.ledgers[0].Withdraw(first)
		w.wait()
		second, err := w.ledgers[1].Claim(context.Background(), key, "body")
		if err != nil || !second.IsOwner {
			t.Fatalf("second call: %v, %v", second, err)
		}
	})
}

// TestLateUpdateOfRefusedClaim lets the update of a refused call arrive after the refusal: the withdrawal changes
// the object first, so the key stays free for the caller's retry.
func TestLateUpdateOfRefusedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(asIs)
		defer w.wait()
		w.platform.SetFaults(radishstandin.Faults{LateUpdates: 1, LateByMS: 30_000})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		key := workOrder(w.keys[0])
		if _, err := w.ledgers[0].Claim(ctx, key, "body"); !errors.Is(err, radish.ErrUnavailable) {
			t.Fatalf("got %v, want %v", err, radish.ErrUnavailable)
		}
		w.platform.SetFaults(radishstandin.Faults{})
		w.wait()
		time.Sleep(time.Minute)
		retry, err := w.ledgers[1].Claim(context.Background(), key, "body")
		if err != nil || !retry.IsOwner {
			t.Fatalf("retry: %v, %v", retry, err)
		}
	})
}

func TestCheckAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			name string
			made time.Duration
			want error
		}{
			{"fresh", 0, nil},
			{"at the end of the window", -time.Hour, nil},
			{"expired", -time.Hour - time.Second, radish.ErrKeyExpired},
			{"clock ahead", 30 * time.Second, nil},
			{"from the future", 2 * time.Minute, radish.ErrBadKey},
		} {
			if err := radishclaim.CheckAge(radishstandin.KeyAt(time.Now().Add(c.made)), time.Hour); !errors.Is(err, c.want) {
				t.Errorf("%s: got %v, want %v", c.name, err, c.want)
			}
		}
	})
	if _, err := radishclaim.ParseID(uuid.NewString()); !errors.Is(err, radish.ErrBadKey) {
		t.Errorf("a version 4 UUID: got %v, want %v", err, radish.ErrBadKey)
	}
}
