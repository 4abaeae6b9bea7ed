package radishconfig

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

// Times of the watcher.
const (
	// DefaultBackstop is how often a VM that does not watch reads the head itself, in case peers fail it.
	DefaultBackstop = 6 * time.Second
	watchWait       = 20 * time.Second
	retryWait       = 500 * time.Millisecond
)

// Watcher feeds a holder from the platform: the chosen VMs of a data centre wait for changes, the others learn
// of them from peers and read the head now and then as a backstop. Set the exported fields before Run.
type Watcher struct {
	Store  *Store
	Holder *Holder
	// IsWatcher tells whether this VM is one of its data centre's watchers now.
	IsWatcher func() bool
	// Backstop is the mean time between reads of a VM that does not watch; DefaultBackstop when 0.
	Backstop time.Duration
	Log      hclog.Logger

	version uint64
}

// Run follows the head until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	if w.Backstop == 0 {
		w.Backstop = DefaultBackstop
	}
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err != nil && ctx.Err() == nil {
			w.Log.Warn("configuration not read", "error", err.Error())
		}
		if !w.pause(ctx, err) {
			break
		}
	}
	return ctx.Err()
}

func (w *Watcher) step(ctx context.Context) error {
	var obj radish.Object
	var err error
	if w.IsWatcher() {
		obj, err = w.Store.Platform.Watch(ctx, HeadKey, w.version, watchWait)
	} else {
		obj, err = w.Store.Platform.Get(ctx, HeadKey)
	}
	if errors.Is(err, radish.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if obj.Version <= w.version {
		return nil
	}
	return w.take(ctx, obj)
}

func (w *Watcher) take(ctx context.Context, obj radish.Object) error {
	snapshot, err := w.Store.Advance(ctx, w.Holder.Snapshot(), obj)
	if err != nil {
		return err
	}
	changed, err := w.Holder.Offer(snapshot)
	if err != nil {
		return err
	}
	w.version = obj.Version
	if changed {
		w.Log.Info("configuration in force", "generation", snapshot.Head.Generation, "by", snapshot.Head.By)
	}
	return nil
}

// pause spreads the reads of the fleet: no wait between watches, a jittered one after errors and plain reads.
func (w *Watcher) pause(ctx context.Context, err error) bool {
	wait := time.Duration(0)
	switch {
	case err != nil || w.Holder.Generation() == 0:
		wait = retryWait
	case !w.IsWatcher():
		wait = w.Backstop
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
