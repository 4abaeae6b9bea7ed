package radishbatch

import (
	"math"
	"time"
)

const (
	// roomShare is the part of a target's room that is planned for, since the sizes of results vary.
	roomShare = 0.92
	// spareShare is the part of the room that a call must leave so that all of its results fit for sure.
	spareShare = 0.05
	// tightShare is the part of the room from which on it counts as short when it is taken.
	tightShare = 0.25
	// othersHalfLife is in what time unknown results are taken to give up half of their room.
	othersHalfLife = time.Second
)

// Room is what is known of the results that a target keeps: those made by calls from here, and by what calls have shown those
// of others. It answers targets whose room binds before their time does, also while two VMs use them; the zero value is a
// target that keeps nothing.
type Room struct {
	results map[string]result
	// others is about how many bytes were taken as of othersAt by results that are not known here: those of another VM's
	// calls, or of calls whose answer was lost.
	others   float64
	othersAt time.Time
}

// result takes up room until it is given up or ends.
type result struct {
	bytes  int64
	madeAt time.Time
	until  time.Time
}

// Add counts a result.
func (r *Room) Add(handle string, bytes int64, now, until time.Time) {
	if r.results == nil {
		r.results = make(map[string]result)
	}
	r.results[handle] = result{bytes: bytes, madeAt: now, until: until}
}

// Remove forgets a result that was given up and returns how long it took up room; ok is false when it was not known.
func (r *Room) Remove(handle string, now time.Time) (held time.Duration, ok bool) {
	known, ok := r.results[handle]
	delete(r.results, handle)
	return now.Sub(known.madeAt), ok
}

// Known returns how many bytes are taken by results that are known here.
func (r *Room) Known(now time.Time) int64 {
	taken := int64(0)
	for handle, known := range r.results {
		if now.After(known.until) {
			delete(r.results, handle)
			continue
		}
		taken += known.bytes
	}
	return taken
}

// Free returns how many of the target's bytes are free, as far as is known here.
func (r *Room) Free(size int64, now time.Time) int64 {
	return int64(roomShare*float64(size)) - r.Known(now) - int64(r.unknown(now))
}

// IsTight tells whether so much of the target's bytes is taken that inputs should be given up early.
func (r *Room) IsTight(size int64, now time.Time) bool {
	return float64(r.Free(size, now)) < (1-tightShare)*float64(size)
}

// unknown returns about how many bytes unknown results take up now; it shrinks, so that a target is tried again.
func (r *Room) unknown(now time.Time) float64 {
	return r.others * math.Exp2(-now.Sub(r.othersAt).Seconds()/othersHalfLife.Seconds())
}

// Part returns the part of the target's bytes that unknown results leave.
func (r *Room) Part(size int64, now time.Time) float64 {
	if size <= 0 {
		return 1
	}
	return max(0, 1-r.unknown(now)/float64(size))
}

// Learn takes in that a call left so many bytes for unknown results: just them when the target was short of room, and at most
// them when it was not.
func (r *Room) Learn(left int64, isShort bool, now time.Time) {
	others := float64(max(0, left))
	if !isShort {
		others = min(others, r.unknown(now))
	}
	r.others, r.othersAt = others, now
}

// LeavesRoom tells whether all results of the pieces will fit at a target of the given size, so that their inputs are not needed
// for another call.
func (c *Call) LeavesRoom(items []*Item, size int64) bool {
	left := c.RoomBytes
	for _, item := range items {
		left -= item.Bytes
	}
	return float64(left) > spareShare*float64(size)
}
