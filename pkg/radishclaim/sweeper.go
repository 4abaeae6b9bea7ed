package radishclaim

import (
	"context"
	"time"

	"github.com/gravitational/trace"

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
			_ = s.Sweep(ctx)
		}
	}
}

// Sweep deletes the expired objects. It stops at the first error and returns it.
func (s *Sweeper) Sweep(ctx context.Context) error {
	objectKeys, err := s.Platform.List(ctx, objectKeyPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, objectKey := range objectKeys {
		start, ok := objectStartTime(objectKey)
		if !ok || time.Since(start) < s.Window+sweepMargin+bucketSeconds*time.Second {
			continue
		}
		obj, err := s.Platform.Get(ctx, objectKey)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := s.Platform.Delete(ctx, objectKey, obj.Version); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
