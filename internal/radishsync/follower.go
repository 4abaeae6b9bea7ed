package radishsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishmirror"
)

const (
	// watchWait is how long a watch waits at the store for a change.
	watchWait = 25 * time.Second
	// idleInterval is how often a VM that learns from peers looks whether it must follow the store itself.
	idleInterval = 100 * time.Millisecond
	// retryFirst and retryLimit bound the pause after a failed call, which doubles each time.
	retryFirst = 100 * time.Millisecond
	retryLimit = time.Second
)

// Follower follows one kind of record; set the exported fields before Run.
type Follower struct {
	Kind   radish.RecordKind
	Store  radish.RecordStore
	Mirror *radishmirror.Mirror
	// OnNews is called with changes that were news.
	OnNews func([]radish.Record)
	// Pause collects changes that come one after the other into one call; a checker pauses for CheckerPause, and the
	// others learn from it what they would miss.
	Pause        time.Duration
	CheckerPause time.Duration
	// IsFollower tells whether this VM asks the store for changes; the others learn of them from peers.
	IsFollower func() bool
	// IsChecker tells whether this VM reads the whole list again every CheckInterval: a watch may stay silent while its
	// history is being dropped.
	IsChecker     func() bool
	CheckInterval time.Duration
	// OnReach is called after each call with whether the store answered it.
	OnReach func(reached bool)
	Log     hclog.Logger
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { f.check(ctx) })
	defer wg.Wait()
	return f.follow(ctx)
}

func (f *Follower) pause() time.Duration {
	if f.IsChecker() {
		return f.CheckerPause
	}
	return f.Pause
}

// check reads the list again at an interval while this VM is a checker.
func (f *Follower) check(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, f.CheckInterval*3/4+rand.N(f.CheckInterval/2))
		if ctx.Err() != nil || !f.IsChecker() || f.Mirror.Complete(f.Kind) == 0 {
			continue
		}
		records, at, err := f.Store.List(ctx, f.Kind)
		if ctx.Err() != nil {
			return
		}
		f.OnReach(err == nil)
		if err != nil {
			f.Log.Warn("check of the store failed", "kind", string(f.Kind), "error", err.Error())
			continue
		}
		f.tell(f.Mirror.Replace(f.Kind, records, at))
	}
}

func (f *Follower) follow(ctx context.Context) error {
	revision := int64(0)
	pause := retryFirst
	for ctx.Err() == nil {
		if known := f.Mirror.Complete(f.Kind); known > 0 && !f.IsFollower() {
			revision = known
			sleep(ctx, idleInterval)
			continue
		}
		next, err := f.step(ctx, revision)
		if ctx.Err() != nil {
			break
		}
		f.OnReach(err == nil || errors.Is(err, radish.ErrHistoryGone))
		switch {
		case err == nil:
			revision, pause = next, retryFirst
			sleep(ctx, f.pause())
			continue
		case errors.Is(err, radish.ErrHistoryGone):
			f.Log.Info("history gone, listing again", "kind", string(f.Kind), "revision", revision)
			revision = 0
		default:
			f.Log.Warn("call to the store failed", "kind", string(f.Kind), "revision", revision, "error", err.Error(), "pause_ms", pause.Milliseconds())
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(retryLimit, 2*pause)
	}
	return ctx.Err()
}

func (f *Follower) step(ctx context.Context, revision int64) (int64, error) {
	if revision == 0 {
		records, at, err := f.Store.List(ctx, f.Kind)
		if err != nil {
			return 0, err
		}
		f.tell(f.Mirror.Replace(f.Kind, records, at))
		return at, nil
	}
	records, at, err := f.Store.Watch(ctx, f.Kind, revision, watchWait)
	if err != nil {
		return 0, err
	}
	f.tell(f.Mirror.ApplyUpTo(f.Kind, records, at))
	return at, nil
}

func (f *Follower) tell(news []radish.Record) {
	if len(news) > 0 {
		f.OnNews(news)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
