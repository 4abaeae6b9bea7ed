package radishclaim

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// sweepMargin is how long objects are kept after their keys have expired. It must exceed the difference between
	// the clocks of any two VMs.
	sweepMargin = time.Hour
	// sweepInterval is the time between sweeps.
	sweepInterval = 10 * time.Minute
)

// Sweeper deletes claim objects whose keys have all expired. The exported fields must be set before Run is called.
type Sweeper struct {
	Platform radish.Platform
	// Window is how long an idempotency key is valid, counted from its creation.
	Window time.Duration
	// ShouldSweep reports whether this VM is currently responsible for the sweep.
	ShouldSweep func() bool
	Log         hclog.Logger
}

// Run sweeps periodically until ctx is done.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.ShouldSweep() {
			if err := s.Sweep(ctx); err != nil {
				s.Log.Warn("some expired claims remain until the next sweep", "error", err.Error())
			}
		}
	}
}

// Sweep deletes the expired objects. It leaves out those that another VM changes or deletes at the same time, continues after
// errors and returns the first one; it ends early if the platform is unavailable.
func (s *Sweeper) Sweep(ctx context.Context) error {
	objectKeys, err := s.Platform.List(ctx, objectKeyPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	var firstErr error
	for _, objectKey := range objectKeys {
		start, ok := objectStartTime(objectKey)
		if !ok || time.Since(start) < s.Window+sweepMargin+bucketSeconds*time.Second {
			continue
		}
		err := s.delete(ctx, objectKey)
		if err != nil && firstErr == nil {
			firstErr = err
		}
		if errors.Is(err, radish.ErrUnavailable) || ctx.Err() != nil {
			break
		}
	}
	return trace.Wrap(firstErr)
}

// delete deletes the object unless it has just been deleted or changed.
func (s *Sweeper) delete(ctx context.Context, objectKey string) error {
	obj, err := s.Platform.Get(ctx, objectKey)
	if err == nil {
		err = s.Platform.Delete(ctx, objectKey, obj.Version)
	}
	if errors.Is(err, radish.ErrNotFound) || errors.Is(err, radish.ErrConflict) {
		return nil
	}
	return err
}
