package radishconfig

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

// Timeouts and intervals of the watcher.
const (
	// DefaultPollInterval is the default of Watcher.PollInterval.
	DefaultPollInterval = 6 * time.Second
	watchTimeout        = 20 * time.Second
	retryDelay          = 500 * time.Millisecond
)

// Watcher updates a Holder from the platform. The selected VMs of a data centre watch the head object for changes. The
// others receive changes from their peers and also poll the head, in case their peers do not deliver one. Set the
// exported fields before calling Run.
type Watcher struct {
	Store  *Store
	Holder *Holder
	// ShouldWatch reports whether this VM is currently selected to watch the head object for its data centre.
	ShouldWatch func() bool
	// PollInterval is the minimum wait between polls of a VM that does not watch; actual waits are random, up to twice
	// as long. DefaultPollInterval is used if 0.
	PollInterval time.Duration
	Log          hclog.Logger

	// headVersion is the version of the head object that was last applied.
	headVersion uint64
}

// Run applies new configurations to the Holder until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	if w.PollInterval == 0 {
		w.PollInterval = DefaultPollInterval
	}
	for ctx.Err() == nil {
		err := w.update(ctx)
		if err != nil && ctx.Err() == nil {
			w.Log.Warn("failed to read configuration", "error", err.Error())
		}
		if !w.waitNext(ctx, err) {
			break
		}
	}
	return ctx.Err()
}

// update waits for a change of the head object, or reads it if this VM does not watch, and applies it if it is newer.
func (w *Watcher) update(ctx context.Context) error {
	var obj radish.Object
	var err error
	if w.ShouldWatch() {
		obj, err = w.Store.Platform.Watch(ctx, HeadKey, w.headVersion, watchTimeout)
	} else {
		obj, err = w.Store.Platform.Get(ctx, HeadKey)
	}
	if errors.Is(err, radish.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if obj.Version <= w.headVersion {
		return nil
	}
	return w.apply(ctx, obj)
}

func (w *Watcher) apply(ctx context.Context, obj radish.Object) error {
	snapshot, err := w.Store.Advance(ctx, w.Holder.Snapshot(), obj)
	if err != nil {
		return err
	}
	changed, err := w.Holder.UpdateIfNewer(snapshot)
	if err != nil {
		return err
	}
	w.headVersion = obj.Version
	if changed {
		w.Log.Info("configuration in force", "generation", snapshot.Head.Generation, "by", snapshot.Head.By)
	}
	return nil
}

// waitNext waits before the next read and reports whether ctx is still active. There is no wait between watches; after
// errors and polls, and while there is no configuration, the wait is random to spread the reads of all VMs.
func (w *Watcher) waitNext(ctx context.Context, err error) bool {
	wait := time.Duration(0)
	switch {
	case err != nil || w.Holder.Generation() == 0:
		wait = retryDelay
	case !w.ShouldWatch():
		wait = w.PollInterval
	}
	if wait == 0 {
		return ctx.Err() == nil
	}
	wait += rand.N(wait)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
