package radishclaim

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// sweepMargin is how long after the window objects are kept, more than clocks can differ.
	sweepMargin = time.Hour
	// sweepInterval is the time between sweeps.
	sweepInterval = 10 * time.Minute
)

// Sweeper deletes claim objects whose keys have all expired; set the exported fields before Run.
type Sweeper struct {
	Platform radish.Platform
	Window   time.Duration
	// IsChosen tells whether this VM is the one that sweeps.
	IsChosen func() bool
}

// Run sweeps now and then until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if s.IsChosen() {
			_ = s.Sweep(ctx)
		}
	}
}

// Sweep deletes what has expired and returns the first error.
func (s *Sweeper) Sweep(ctx context.Context) error {
	keys, err := s.Platform.List(ctx, objectPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, key := range keys {
		start, ok := objectTime(key)
		if !ok || time.Since(start) < s.Window+sweepMargin+bucketSeconds*time.Second {
			continue
		}
		obj, err := s.Platform.Get(ctx, key)
		if err != nil {
			return trace.Wrap(err)
		}
		if err := s.Platform.Delete(ctx, key, obj.Version); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
