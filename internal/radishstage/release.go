package radishstage

import (
	"context"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

const (
	// releaseDelay is how long a release waits, so that results that are released at about the same time share one call.
	releaseDelay = 20 * time.Millisecond
	// releaseTimeout bounds the call that releases results.
	releaseTimeout = time.Second
	// A call that takes longer than contentionFactor times its expected time plus contentionSlack had to wait for a call of
	// another VM's coordinator. Such a sign counts for contentionTTL.
	contentionFactor = 1.2
	contentionSlack  = 60 * time.Millisecond
	contentionTTL    = 2 * time.Second
	// inputReadTime is the time after the start of a call by which the target has read the inputs.
	inputReadTime = 80 * time.Millisecond
	// defaultRetention is the assumed time for which a result is stored until one has been observed; retentionWeight is the
	// weight of the newest result in the moving average.
	defaultRetention = 700 * time.Millisecond
	retentionWeight  = 0.02
)

// detectContention infers from a call whether another VM's coordinator uses the targets too, as happens during a network
// partition. The time that the other one's calls take and the space that its results occupy reveal it.
func (c *Coordinator) detectContention(call *finishedCall, isShort bool, now time.Time) {
	if isShort || call.took > time.Duration(contentionFactor*float64(call.expected))+contentionSlack {
		c.contendedAt = now
	}
}

// isUncontended reports whether there is no recent sign of another coordinator at the targets. Calls then start as soon as
// they are sent.
func (c *Coordinator) isUncontended(now time.Time) bool {
	return now.Sub(c.contendedAt) > contentionTTL
}

// scheduleInputRelease releases the inputs of the pieces after they have been read, if the targets that store them are short
// of space. If a call fails after that, its inputs are computed again.
func (c *Coordinator) scheduleInputRelease(items []*radishbatch.Item) {
	jobs := make(map[*job]bool)
	for _, item := range items {
		if j := c.owners[item]; j != nil {
			j.stages[item.Piece.Stage].started[item.Piece.Number] = true
			jobs[j] = true
		}
	}
	time.AfterFunc(inputReadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for j := range jobs {
			c.releaseReadInputs(j)
		}
	})
}

func (c *Coordinator) releaseReadInputs(j *job) {
	if j.ended || j.retainsInputs {
		return
	}
	for i := range j.stages {
		if !j.stages[i].released && j.stages[i].incomplete == 0 && j.hasDependents(i) &&
			c.isSpaceTight(j.plan.Stages[i].Service, j.stages[i].handles) {
			c.release(j.releaseIfRead(i))
		}
	}
}

// isSpaceTight reports whether a target that stores one of the results is short of space.
func (c *Coordinator) isSpaceTight(service string, handles []string) bool {
	batch := c.Batch(service)
	if batch == nil {
		return false
	}
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		s := c.targets[address]
		if s != nil && s.space.IsUnderPressure(batch.ResultMemoryBytes, time.Now()) {
			return true
		}
	}
	return false
}

// release has results deleted at their targets after releaseDelay; their space counts as occupied until then.
func (c *Coordinator) release(handles []string) {
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		s := c.targets[address]
		if s == nil {
			continue
		}
		s.pendingRelease = append(s.pendingRelease, handle)
		if !s.releaseScheduled {
			s.releaseScheduled = true
			time.AfterFunc(releaseDelay, func() { c.sendRelease(address, s) })
		}
	}
}

func (c *Coordinator) sendRelease(address string, s *targetState) {
	c.mu.Lock()
	handles := s.pendingRelease
	s.pendingRelease, s.releaseScheduled = nil, false
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	err := c.Client.FreePieces(ctx, address, handles)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// The target deletes results that are not released at the end of their lifetime.
		c.Log.Info("cannot release stage results", "address", address, "results", len(handles), "error", err.Error())
		return
	}
	now := time.Now()
	for _, handle := range handles {
		bytes := s.space.BytesOf(handle)
		if retained, ok := s.space.Remove(handle, now); ok {
			c.recordRetention(s.target.Service, retained)
			c.recordByteRetention(s.target.Service, retained, bytes)
		}
	}
	c.dispatch(now)
}

// recordRetention updates the moving average of the time for which results of the service are stored.
func (c *Coordinator) recordRetention(service string, retained time.Duration) {
	average, ok := c.retention[service]
	if !ok {
		average = defaultRetention
	}
	c.retention[service] = average + time.Duration(retentionWeight*float64(retained-average))
}

// expectedRetention returns the expected time for which a result of the service is stored after its call.
func (c *Coordinator) expectedRetention(service string) time.Duration {
	if average, ok := c.retention[service]; ok {
		return average
	}
	return defaultRetention
}

// byteRetention is the moving average of the time for which the bytes of results are stored: results of different size are stored for
// different times.
type byteRetention struct {
	bytes, byteSeconds float64
}

func (c *Coordinator) recordByteRetention(service string, retained time.Duration, bytes int64) {
	r := c.byteRetentions[service]
	r.bytes = (1-retentionWeight)*r.bytes + float64(bytes)
	r.byteSeconds = (1-retentionWeight)*r.byteSeconds + float64(bytes)*retained.Seconds()
	c.byteRetentions[service] = r
}

// byteRetention returns the expected time for which a byte of a result of the service is stored after its call.
func (c *Coordinator) byteRetention(service string) time.Duration {
	r := c.byteRetentions[service]
	if r.bytes == 0 {
		return defaultRetention
	}
	return time.Duration(r.byteSeconds / r.bytes * float64(time.Second))
}
