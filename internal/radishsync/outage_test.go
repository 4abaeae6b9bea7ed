package radishsync

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishmirror"
)

// TestReplayOutageOfTheStore takes the store away for twenty seconds from a VM that follows and checks all four kinds: it
// makes two calls a second at most, and has what changed meanwhile within two seconds of the store's return.
func TestReplayOutageOfTheStore(t *testing.T) {
	const outage, settles, callsPerSecond = 20 * time.Second, 3 * time.Second, 2
	synctest.Test(t, func(t *testing.T) {
		store, shared := newFakeStore(), &Outage{}
		ctx, cancel := context.WithCancel(t.Context())
		var mirrors []*radishmirror.Mirror
		var loops sync.WaitGroup
		for _, kind := range radish.RecordKinds {
			mirror := &radishmirror.Mirror{}
			mirrors = append(mirrors, mirror)
			f := &Follower{
				Kind: kind, Store: store, Mirror: mirror, Pause: 500 * time.Millisecond, CheckerPause: 100 * time.Millisecond, CheckInterval: time.Second,
				IsChecker: func() bool { return true }, IsFollower: func() bool { return true }, OnNews: func([]radish.Record) {},
				OnReach: func(bool) {}, Outage: shared, Log: hclog.NewNullLogger(),
			}
			loops.Go(func() { _ = f.Run(ctx) })
		}
		time.Sleep(2 * time.Second)
		store.set(func() { store.away = true })
		store.put("a")
		time.Sleep(settles)
		before := store.callCount()
		time.Sleep(outage)
		if calls := store.callCount() - before; calls > callsPerSecond*int(outage.Seconds()) {
			t.Errorf("%d calls in an outage of %v", calls, outage)
		}
		store.set(func() { store.away = false })
		time.Sleep(2 * time.Second)
		for i, mirror := range mirrors {
			if kind := radish.RecordKinds[i]; mirror.Complete(kind) != store.revision {
				t.Errorf("kind %s is known up to revision %d of %d", kind, mirror.Complete(kind), store.revision)
			}
		}
		cancel()
		loops.Wait()
	})
}
