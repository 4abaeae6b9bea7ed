package radishstage

import (
	"context"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

const (
	// freeDelay collects results that are given up at about the same time into one call.
	freeDelay = 20 * time.Millisecond
	// freeTimeout bounds the call that gives results up.
	freeTimeout = time.Second
	// rivalFactor and rivalSlack are how much longer than expected a call takes that waited for another VM's call, and
	// rivalMemory is how long such a sign counts.
	rivalFactor = 1.2
	rivalSlack  = 60 * time.Millisecond
	rivalMemory = 2 * time.Second
	// readTime is how long after a call's begin its inputs have been read.
	readTime = 80 * time.Millisecond
	// usualHold is about how long a result takes up room, until any was seen; holdWeight is the weight of the newest one.
	usualHold  = 700 * time.Millisecond
	holdWeight = 0.02
)

// noteRivals learns from a call whether another VM's coordinator uses the targets as well, as during a cut: its calls and
// results are seen by the time and the room that they take.
func (c *Coordinator) noteRivals(call *finished, isShort bool, now time.Time) {
	if isShort || call.took > time.Duration(rivalFactor*float64(call.expected))+rivalSlack {
		c.rivalAt = now
	}
}

// isAlone tells whether there is no sign of another coordinator at the targets, so that calls begin as they are sent.
func (c *Coordinator) isAlone(now time.Time) bool { return now.Sub(c.rivalAt) > rivalMemory }

// freeInputsSoon gives up the inputs of the pieces once they were read, where their makers are short of room. If a call
// fails after that, its inputs are made again.
func (c *Coordinator) freeInputsSoon(items []*radishbatch.Item) {
	jobs := make(map[*job]bool)
	for _, item := range items {
		if j := c.owners[item]; j != nil {
			j.stages[item.Piece.Stage].running[item.Piece.Number] = true
			jobs[j] = true
		}
	}
	time.AfterFunc(readTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		for j := range jobs {
			c.freeRead(j)
		}
	})
}

func (c *Coordinator) freeRead(j *job) {
	if j.ended || j.keepsInputs {
		return
	}
	for i := range j.stages {
		if !j.stages[i].freed && j.stages[i].left == 0 && j.isFollowed(i) && c.isTight(j.plan.Stages[i].Service, j.stages[i].handles) {
			c.giveUp(j.freeIfRead(i))
		}
	}
}

// isTight tells whether a maker of the results is short of room.
func (c *Coordinator) isTight(service string, handles []string) bool {
	batch := c.Batch(service)
	if batch == nil {
		return false
	}
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		s := c.slots[address]
		if s != nil && s.room.IsTight(batch.RoomBytes, time.Now()) {
			return true
		}
	}
	return false
}

// giveUp frees results soon; their room counts as taken until then.
func (c *Coordinator) giveUp(handles []string) {
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		s := c.slots[address]
		if s == nil {
			continue
		}
		s.freeing = append(s.freeing, handle)
		if !s.freeSoon {
			s.freeSoon = true
			time.AfterFunc(freeDelay, func() { c.sendFree(address, s) })
		}
	}
}

func (c *Coordinator) sendFree(address string, s *slot) {
	c.mu.Lock()
	handles := s.freeing
	s.freeing, s.freeSoon = nil, false
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	err := c.Client.FreePieces(ctx, address, handles)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		// A result that is not given up ends by itself after its lifetime.
		c.Log.Info("results not given up", "address", address, "results", len(handles), "error", err.Error())
		return
	}
	now := time.Now()
	for _, handle := range handles {
		if held, ok := s.room.Remove(handle, now); ok {
			c.countHold(s.target.Service, held)
		}
	}
	c.dispatch(now)
}

// countHold learns how long results of the service take up room.
func (c *Coordinator) countHold(service string, took time.Duration) {
	known, ok := c.holds[service]
	if !ok {
		known = usualHold
	}
	c.holds[service] = known + time.Duration(holdWeight*float64(took-known))
}

// hold is about how long a result of the service takes up room after its call.
func (c *Coordinator) hold(service string) time.Duration {
	if known, ok := c.holds[service]; ok {
		return known
	}
	return usualHold
}
