package radishstage

import (
	"context"
	"errors"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// versionRoute is the route by which the versions of a stage service are compared: its targets do not see the routes of calls.
const versionRoute = "pieces"

// startCandidateBatches starts calls at targets of a version that is being rolled out, as far as their pieces are admitted there. The other
// idle targets get the pieces that are left.
func (c *Coordinator) startCandidateBatches(d serviceDispatch, others []radish.Target) {
	for d.queue.Len() > 0 {
		targets, maxPieces := c.Fleet.CandidateBatch(d.service, versionRoute, c.Shard, c.Shards, d.batch.MaxPieces, d.now)
		idle := c.idleTargets(targets, d.batch, d.now)
		if len(idle) == 0 {
			return
		}
		d.maxPieces = maxPieces
		reserved := dataCentresOf(slices.Concat(idle, others))
		if stillIdle := c.startBatches(&d, idle[:1], reserved); len(stillIdle) > 0 {
			return
		}
	}
}

// ResultsOfOthers returns the number of results that are stored at the service's targets of other versions. They are lost when these targets
// end.
func (c *Coordinator) ResultsOfOthers(service, version string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.targets {
		if s.target.Service == service && s.target.Version != version {
			n += s.space.Results(time.Now())
		}
	}
	return n
}

// versionResult returns what a finished call says about the version of its target. Its time is converted to that of a typical batch, since
// batches differ in size.
func (f *finishedCall) versionResult() radishfleet.VersionResult {
	r := radishfleet.VersionResult{
		Route: versionRoute, Calls: len(f.items),
		Took: time.Duration(float64(f.took) / float64(max(1, f.expected)) * float64(typicalCallTime(f.batch))),
	}
	switch {
	case errors.Is(f.err, radish.ErrMalformedResponse):
		r.Failed = r.Calls
	case errors.Is(f.err, radish.ErrNotSent) || f.err != nil && !errors.Is(f.err, context.DeadlineExceeded):
		r.Inconclusive = true
	}
	for _, result := range f.results {
		if f.err == nil && result.Outcome == radish.PieceFailed {
			r.Failed++
		}
	}
	return r
}
