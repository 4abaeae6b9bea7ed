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

func workOrderKey(id uuid.UUID) radishclaim.Key {
	return radishclaim.Key{Team: "roads", Pipeline: "work_order", ID: id}
}

// claimAfterSweep claims a key on one VM while the update of another VM for the same key is delayed until after the
// record was swept. It returns what the delayed VM gets. delayedWindow is the claim window of that VM; a long one
// disables the check of the key's age after the update.
func claimAfterSweep(t *testing.T, delayedWindow time.Duration) (*radishclaim.Claim, error) {
	t.Helper()
	c := newCluster(unwrapped)
	key := workOrderKey(c.keys[0])
	c.views[1].SetDelay(3 * time.Hour)
	c.ledgers[1].Window = delayedWindow
	type result struct {
		claim *radishclaim.Claim
		err   error
	}
	delayed := make(chan result)
	go func() {
		claim, err := c.ledgers[1].Claim(context.Background(), key, "same-body")
		delayed <- result{claim, err}
	}()
	synctest.Wait()
	first, err := c.ledgers[0].Claim(context.Background(), key, "same-body")
	if err != nil || !first.IsOwner {
		t.Fatalf("first claim: got %v, %v; want an owner", first, err)
	}
	time.Sleep(2 * time.Hour)
	sweeper := &radishclaim.Sweeper{Platform: c.platform, Window: fuzzWindow}
	if err := sweeper.Sweep(context.Background()); err != nil {
		t.Fatal(err)
	}
	r := <-delayed
	c.wait()
	return r.claim, r.err
}

func TestFrozenClaimAfterSweepIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, err := claimAfterSweep(t, fuzzWindow); !errors.Is(err, radish.ErrKeyExpired) {
			t.Fatalf("got %v, want %v", err, radish.ErrKeyExpired)
		}
	})
}

// TestFrozenClaimAfterSweepRunsTwiceWithoutWindow checks that the test above depends on the check of the key's age.
func TestFrozenClaimAfterSweepRunsTwiceWithoutWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		claim, err := claimAfterSweep(t, 1000*time.Hour)
		if err != nil || !claim.IsOwner {
			t.Fatalf("got %v, %v; without the window the second VM must own the key too, otherwise the test cannot detect a second execution", claim, err)
		}
	})
}

func TestClaimOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(unwrapped)
		defer c.wait()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		key := workOrderKey(c.keys[0])
		first, err := c.ledgers[0].Claim(ctx, key, "body")
		if err != nil || !first.IsOwner {
			t.Fatalf("first call: got %v, %v; want an owner", first, err)
		}
		if _, err := c.ledgers[1].Claim(ctx, key, "other body"); !errors.Is(err, radish.ErrKeyMismatch) {
			t.Fatalf("call with another body: got %v, want %v", err, radish.ErrKeyMismatch)
		}
		if _, err := c.ledgers[1].Claim(ctx, key, "body"); !errors.Is(err, radish.ErrOutcomeUnknown) {
			t.Fatalf("call during the first execution: got %v, want %v", err, radish.ErrOutcomeUnknown)
		}
		large := strings.Repeat("x", 100_000)
		c.ledgers[0].Finish(first, []byte(large))
		c.wait()
		retry, err := c.ledgers[1].Claim(context.Background(), key, "body")
		if err != nil || retry.IsOwner || string(retry.Outcome) != large {
			t.Fatalf("call after the first execution: got owner %t, %d bytes, %v", retry.IsOwner, len(retry.Outcome), err)
		}
	})
}

func TestKeyOfWithdrawnClaimCanBeClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(unwrapped)
		defer c.wait()
		key := workOrderKey(c.keys[0])
		first, err := c.ledgers[0].Claim(context.Background(), key, "body")
		if err != nil {
			t.Fatal(err)
		}
		c.ledgers[0].Withdraw(first)
		c.wait()
		second, err := c.ledgers[1].Claim(context.Background(), key, "body")
		if err != nil || !second.IsOwner {
			t.Fatalf("second call: got %v, %v; want an owner", second, err)
		}
	})
}

// TestLateUpdateOfRefusedClaim delays the update of a refused call until after the refusal. The withdrawal changes the
// object first, so the late update fails and the caller's retry can claim the key.
func TestLateUpdateOfRefusedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(unwrapped)
		defer c.wait()
		c.platform.SetFaults(radishstandin.Faults{LateUpdateEvery: 1, LateUpdateDelayMS: 30_000})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		key := workOrderKey(c.keys[0])
		if _, err := c.ledgers[0].Claim(ctx, key, "body"); !errors.Is(err, radish.ErrUnavailable) {
			t.Fatalf("got %v, want %v", err, radish.ErrUnavailable)
		}
		c.platform.SetFaults(radishstandin.Faults{})
		c.wait()
		time.Sleep(time.Minute)
		retry, err := c.ledgers[1].Claim(context.Background(), key, "body")
		if err != nil || !retry.IsOwner {
			t.Fatalf("retry: got %v, %v; want an owner", retry, err)
		}
	})
}

func TestCheckAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tc := range []struct {
			name   string
			offset time.Duration
			want   error
		}{
			{"new", 0, nil},
			{"at the end of the window", -time.Hour, nil},
			{"expired", -time.Hour - time.Second, radish.ErrKeyExpired},
			{"within the clock skew", 30 * time.Second, nil},
			{"in the future", 2 * time.Minute, radish.ErrBadKey},
		} {
			if err := radishclaim.CheckAge(radishstandin.UUIDv7At(time.Now().Add(tc.offset)), time.Hour); !errors.Is(err, tc.want) {
				t.Errorf("%s: got %v, want %v", tc.name, err, tc.want)
			}
		}
	})
	if _, err := radishclaim.ParseID(uuid.NewString()); !errors.Is(err, radish.ErrBadKey) {
		t.Errorf("version 4 UUID: got %v, want %v", err, radish.ErrBadKey)
	}
}
