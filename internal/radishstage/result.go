package radishstage

import (
	"context"
	"math"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// freeDelay collects results that are given up at about the same time into one call.
	freeDelay = 20 * time.Millisecond
	// freeTimeout bounds the call that gives results up.
	freeTimeout = time.Second
	// roomShare is the part of a target's room that is planned for, since the sizes of results vary.
	roomShare = 0.92
	// tightShare is the part of the room that is taken from which inputs are given up as soon as they were read.
	tightShare = 0.25
	// spareShare is the part of a target's room that a call must leave so that all of its results fit for sure.
	spareShare = 0.05
	// rivalFactor and rivalSlack are how much longer than expected a call takes that waited for another VM's call, and
	// rivalMemory is how long such a sign counts.
	rivalFactor = 1.2
	rivalSlack  = 60 * time.Millisecond
	rivalMemory = 2 * time.Second
	// othersHalfLife is in what time unknown results are taken to give up half of their room.
	othersHalfLife = time.Second
	// readTime is how long after a call's begin its inputs have been read.
	readTime = 80 * time.Millisecond
	// usualHold is about how long a result takes up room, until any was seen; holdWeight is the weight of the newest one.
	usualHold  = 700 * time.Millisecond
	holdWeight = 0.02
)

// held is a result that takes up room at its maker.
type held struct {
	bytes  int64
	madeAt time.Time
	until  time.Time
}

// room is how much of the target's room for results is free, as far as is known here.
func (s *slot) room(batch *radishroute.Batch, now time.Time) int64 {
	return int64(roomShare*float64(batch.RoomBytes)) - s.known(now) - int64(s.othersNow(now))
}

// known is how much of the target's room is taken by results that are known here.
func (s *slot) known(now time.Time) int64 {
	taken := int64(0)
	for handle, h := range s.results {
		if now.After(h.until) {
			delete(s.results, handle)
			continue
		}
		taken += h.bytes
	}
	return taken
}

// othersNow is about how much room unknown results take up now; it shrinks, so that a target is tried again.
func (s *slot) othersNow(now time.Time) float64 {
	return s.others * math.Exp2(-now.Sub(s.othersAt).Seconds()/othersHalfLife.Seconds())
}

// roomPart is the part of the target's room that unknown results leave.
func (s *slot) roomPart(batch *radishroute.Batch, now time.Time) float64 {
	if batch.RoomBytes <= 0 {
		return 1
	}
	return max(0, 1-s.othersNow(now)/float64(batch.RoomBytes))
}

// learnRoom takes in that a call left so many bytes for unknown results: just them when the target was short of room, and
// at most them when it was not.
func (s *slot) learnRoom(left int64, isShort bool, now time.Time) {
	others := float64(max(0, left))
	if !isShort {
		others = min(others, s.othersNow(now))
	}
	s.others, s.othersAt = others, now
}

// hasRoomToSpare tells whether all results of the call will fit, so that its inputs are not needed for another one.
func hasRoomToSpare(call radishbatch.Call, items []*radishbatch.Item, batch *radishroute.Batch) bool {
	left := call.RoomBytes
	for _, item := range items {
		left -= item.Bytes
	}
	return float64(left) > spareShare*float64(batch.RoomBytes)
}

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
		if s != nil && float64(s.room(batch, time.Now())) < (1-tightShare)*float64(batch.RoomBytes) {
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
		if h, ok := s.results[handle]; ok {
			c.countHold(s.target.Service, now.Sub(h.madeAt))
		}
		delete(s.results, handle)
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
