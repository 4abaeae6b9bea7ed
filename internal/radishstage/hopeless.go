package radishstage

import (
	"fmt"
	"slices"
	"time"
)

// errHopeless reports that a plan was given up because it could no longer end before its deadline.
var errHopeless = fmt.Errorf("%w: the plan cannot end before its deadline", ErrFailed)

// hopelessInterval is the time between two checks for hopeless plans. It is short in relation to the call to a
// target that a hopeless plan would use.
const hopelessInterval = 50 * time.Millisecond

// minCallTimeFactor is the time of a call at the fastest targets in relation to the expected one.
const minCallTimeFactor = 0.8

// dropHopeless ends the jobs that cannot end before their deadline even if nothing more is queued before them, so that what they hold is
// released at once. Jobs without an urgency are not considered.
func (c *Coordinator) dropHopeless(now time.Time) {
	if now.Sub(c.hopelessAt) < hopelessInterval {
		return
	}
	c.hopelessAt = now
	starts := make(map[string]time.Duration)
	for j := range c.jobs {
		if j.plan.Urgency == nil {
			continue
		}
		shortest := time.Duration(minCallTimeFactor * float64(c.shortestTime(j, starts, now)))
		if !now.Add(shortest).After(j.plan.Deadline) {
			continue
		}
		if j.begun {
			c.endJob(j, errHopeless)
			continue
		}
		c.endJob(j, &RefusedError{RetryAfter: minRetryAfter, Reason: "the plan cannot end before its deadline"})
	}
}

// shortestTime returns the time that the job takes at least, given the calls that run; starts caches the times of the next free targets.
func (c *Coordinator) shortestTime(j *job, starts map[string]time.Duration, now time.Time) time.Duration {
	waits := make(map[int]bool)
	for item := range j.items {
		if item.Attempts == 0 {
			waits[item.Piece.Stage] = true
		}
	}
	total := time.Duration(0)
	ends := make([]time.Duration, len(j.stages))
	for i, s := range j.plan.Stages {
		if j.stages[i].incomplete == 0 {
			continue
		}
		for _, dep := range s.After {
			ends[i] = max(ends[i], ends[dep])
		}
		if waits[i] {
			ends[i] = max(ends[i], c.nextStart(s.Service, starts, now))
		}
		if batch := c.Batch(s.Service); batch != nil && (waits[i] || !j.stages[i].queued) {
			ends[i] += batch.CallTime + batch.PieceTime
		}
		ends[i] = max(ends[i], j.stages[i].runsUntil.Sub(now))
		total = max(total, ends[i])
	}
	return total
}

// nextStart returns the time until a target of the service is expected to be able to start a call. Targets that are late may be free at any
// time.
func (c *Coordinator) nextStart(service string, starts map[string]time.Duration, now time.Time) time.Duration {
	if start, ok := starts[service]; ok {
		return start
	}
	batch := c.Batch(service)
	first := time.Duration(-1)
	for _, t := range c.usableTargets(service, now) {
		s := c.stateOf(t)
		start := time.Duration(0)
		if batch != nil && s.activeCalls >= batch.Slots && len(s.expectedEnds) > 0 {
			start = max(0, slices.MinFunc(s.expectedEnds, time.Time.Compare).Sub(now))
		}
		if first < 0 || start < first {
			first = start
		}
	}
	starts[service] = max(0, first)
	return starts[service]
}

// endOfCall removes the expected end of a call from those of the target.
func (s *targetState) endOfCall(end time.Time) {
	if i := slices.Index(s.expectedEnds, end); i >= 0 {
		s.expectedEnds = slices.Delete(s.expectedEnds, i, i+1)
	}
}
