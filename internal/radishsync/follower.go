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
	// watchTimeout is how long a watch waits at the store for a change.
	watchTimeout = 25 * time.Second
	// probeTimeout is how long the watch after one that was cut off waits at the store: its response shows that the store answers.
	probeTimeout = time.Millisecond
	// idleInterval is how often a VM that gets changes from its peers checks whether it must watch the store itself.
	idleInterval = 100 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles with each failure and is
	// randomised by half of it either way.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = time.Second
)

// Follower applies the store's changes of one kind of record to a mirror. Set the exported fields before calling Run.
type Follower struct {
	Kind   radish.RecordKind
	Store  radish.RecordStore
	Mirror *radishmirror.Mirror
	// OnChanges is called with the changes that were new to the mirror.
	OnChanges func([]radish.Record)
	// WatchDelay is the delay between a successful call and the next watch, so that one call returns all changes made in
	// the meantime. A VM for which IsChecker reports true uses CheckerWatchDelay, which is shorter: the other VMs get
	// from it the changes that their own watches would miss.
	WatchDelay        time.Duration
	CheckerWatchDelay time.Duration
	// IsWatcher reports whether this VM watches the store; VMs that do not watch it get the changes from their peers.
	IsWatcher func() bool
	// IsChecker reports whether this VM lists all records again periodically, on average once per RelistInterval: a
	// watch may return no changes while the store discards its history.
	IsChecker      func() bool
	RelistInterval time.Duration
	// OnStoreCall is called after each call to the store that shows whether the store answers, with the time at which the call started. A watch
	// that was cut off while it waited does not.
	OnStoreCall func(startedAt time.Time, reached bool)
	Log         hclog.Logger
}

// Run keeps the mirror up to date until ctx is done.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { f.relist(ctx) })
	defer wg.Wait()
	return f.watch(ctx)
}

// watchDelay returns the delay before the next watch.
func (f *Follower) watchDelay() time.Duration {
	if f.IsChecker() {
		return f.CheckerWatchDelay
	}
	return f.WatchDelay
}

// relist lists all records again at a randomised interval while IsChecker reports true.
func (f *Follower) relist(ctx context.Context) {
	for ctx.Err() == nil {
		radish.Sleep(ctx, f.RelistInterval*3/4+rand.N(f.RelistInterval/2))
		if ctx.Err() != nil || !f.IsChecker() || f.Mirror.CompleteRevision(f.Kind) == 0 {
			continue
		}
		startedAt := time.Now()
		records, at, err := f.Store.List(ctx, f.Kind)
		if ctx.Err() != nil {
			return
		}
		f.OnStoreCall(startedAt, err == nil)
		if err != nil {
			f.Log.Warn("periodic list of the store's records failed", "kind", string(f.Kind), "error", err.Error())
			continue
		}
		f.notify(f.Mirror.Replace(f.Kind, records, at))
	}
}

// watch lists the records once and then watches for changes. While this VM is not one that watches the store, it makes
// no calls, unless the mirror has no list yet.
func (f *Follower) watch(ctx context.Context) error {
	revision, wait := radish.Revision(0), watchTimeout
	retryDelay := initialRetryDelay
	for ctx.Err() == nil {
		if complete := f.Mirror.CompleteRevision(f.Kind); complete > 0 && !f.IsWatcher() {
			revision = complete
			radish.Sleep(ctx, idleInterval)
			continue
		}
		if f.Mirror.Era() > revision.Era() {
			// Changes of an earlier era lead to no state of this one.
			revision = 0
		}
		startedAt := time.Now()
		next, err := f.fetch(ctx, revision, wait)
		if ctx.Err() != nil {
			break
		}
		if revision != 0 && errors.Is(err, context.DeadlineExceeded) {
			// The store may have dropped just this watch. A list, whose timeout is short, shows whether it answers.
			f.Log.Info("watch got no response, listing again", "kind", string(f.Kind), "revision", revision.String())
			revision = 0
			continue
		}
		if err != nil && !errors.Is(err, radish.ErrHistoryGone) && revision != 0 && wait == watchTimeout {
			f.Log.Info("watch cut off, watching again", "kind", string(f.Kind), "revision", revision.String(), "error", err.Error())
			wait = probeTimeout
			continue
		}
		f.OnStoreCall(startedAt, err == nil || errors.Is(err, radish.ErrHistoryGone))
		switch {
		case err == nil && wait == probeTimeout:
			revision, wait, retryDelay = next, watchTimeout, initialRetryDelay
		case err == nil:
			revision, retryDelay = next, initialRetryDelay
			radish.Sleep(ctx, f.watchDelay())
			continue
		case errors.Is(err, radish.ErrHistoryGone):
			f.Log.Info("history gone, listing again", "kind", string(f.Kind), "revision", revision.String())
			revision = 0
		default:
			f.Log.Warn("call to the store failed", "kind", string(f.Kind), "revision", revision.String(), "error", err.Error(),
				"pause_ms", retryDelay.Milliseconds())
		}
		radish.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(maxRetryDelay, 2*retryDelay)
	}
	return ctx.Err()
}

// fetch applies the changes after the revision, for which it waits, or a full list if the revision is 0. It returns the revision to continue
// from.
func (f *Follower) fetch(ctx context.Context, revision radish.Revision, wait time.Duration) (radish.Revision, error) {
	if revision == 0 {
		records, at, err := f.Store.List(ctx, f.Kind)
		if err != nil {
			return 0, err
		}
		f.notify(f.Mirror.Replace(f.Kind, records, at))
		return at, nil
	}
	records, at, err := f.watchEra(ctx, revision, wait)
	if err != nil {
		return 0, err
	}
	f.notify(f.Mirror.ApplyUpTo(f.Kind, records, at))
	return at, nil
}

// watchEra watches the store until a later era than that of the revision is known, and then returns [radish.ErrHistoryGone].
func (f *Follower) watchEra(ctx context.Context, revision radish.Revision, wait time.Duration) ([]radish.Record, radish.Revision, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	eraEnd := f.Mirror.EraEnd(revision.Era())
	go func() {
		select {
		case <-eraEnd:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	records, at, err := f.Store.Watch(watchCtx, f.Kind, revision, wait)
	if err != nil && watchCtx.Err() != nil && ctx.Err() == nil {
		return nil, 0, radish.ErrHistoryGone
	}
	return records, at, err
}

func (f *Follower) notify(changes []radish.Record) {
	if len(changes) > 0 {
		f.OnChanges(changes)
	}
}
