package radishbatch

import (
	"math"
	"time"
)

const (
	// plannedShare is the share of a target's result space that batches may fill. The rest is a reserve, because the sizes of
	// results vary.
	plannedShare = 0.92
	// reserveShare is the share of the result space that must stay free after a batch for all of its results to fit reliably.
	reserveShare = 0.05
	// pressureShare is the share of the result space in use, the reserve included, above which inputs are released early.
	pressureShare = 0.25
	// untrackedHalfLife is the time in which the estimated size of untracked results halves.
	untrackedHalfLife = time.Second
)

// ResultSpace estimates how much result space of one target is in use. Results of batches that this coordinator sent are
// tracked one by one. Other results, such as those of another VM's batches, are untracked: their size is inferred from the
// outcome of batches. It is for targets on which result space is the bottleneck rather than time, also while two VMs send
// batches to them. The zero value describes a target that stores no results.
type ResultSpace struct {
	results map[string]result
	// trackedBytes is the total size of results, of which the first expires no earlier than at nextExpiry.
	trackedBytes int64
	nextExpiry   time.Time
	// untracked is the estimated size of untracked results at the time untrackedAt. Results are untracked if they belong to
	// another VM's batches or if the response to the batch was lost.
	untracked   float64
	untrackedAt time.Time
}

// result occupies space until it is released or expires.
type result struct {
	bytes     int64
	createdAt time.Time
	expiresAt time.Time
}

// Add tracks a result.
func (s *ResultSpace) Add(handle string, bytes int64, now, expiresAt time.Time) {
	if s.results == nil {
		s.results = make(map[string]result)
	}
	s.trackedBytes += bytes - s.results[handle].bytes
	s.results[handle] = result{bytes: bytes, createdAt: now, expiresAt: expiresAt}
	if s.nextExpiry.IsZero() || expiresAt.Before(s.nextExpiry) {
		s.nextExpiry = expiresAt
	}
}

// Remove stops tracking a released result and returns how long it occupied space. The result ok is
// false if the result is not tracked.
func (s *ResultSpace) Remove(handle string, now time.Time) (held time.Duration, ok bool) {
	tracked, ok := s.results[handle]
	s.trackedBytes -= tracked.bytes
	delete(s.results, handle)
	return now.Sub(tracked.createdAt), ok
}

// BytesOf returns the size of a tracked result.
func (s *ResultSpace) BytesOf(handle string) int64 { return s.results[handle].bytes }

// PlannedBytes estimates how many bytes of the target's result space batches may fill when no tracked result is stored.
func (s *ResultSpace) PlannedBytes(capacity int64, now time.Time) int64 {
	return int64(plannedShare*float64(capacity)) - int64(s.untrackedBytes(now))
}

// TrackedBytes returns the total size of the tracked results.
func (s *ResultSpace) TrackedBytes(now time.Time) int64 {
	if now.After(s.nextExpiry) {
		s.dropExpired(now)
	}
	return s.trackedBytes
}

// Results returns the number of tracked results.
func (s *ResultSpace) Results(now time.Time) int {
	s.dropExpired(now)
	return len(s.results)
}

// dropExpired stops tracking results that have expired.
func (s *ResultSpace) dropExpired(now time.Time) {
	s.nextExpiry = time.Time{}
	for handle, tracked := range s.results {
		switch {
		case now.After(tracked.expiresAt):
			s.trackedBytes -= tracked.bytes
			delete(s.results, handle)
		case s.nextExpiry.IsZero() || tracked.expiresAt.Before(s.nextExpiry):
			s.nextExpiry = tracked.expiresAt
		}
	}
}

// FreeBytes estimates how many bytes new batches may fill at a target with the given result space in bytes.
func (s *ResultSpace) FreeBytes(capacity int64, now time.Time) int64 {
	return int64(plannedShare*float64(capacity)) - s.TrackedBytes(now) - int64(s.untrackedBytes(now))
}

// IsUnderPressure reports whether so much of the target's result space is in use that inputs should be released early.
func (s *ResultSpace) IsUnderPressure(capacity int64, now time.Time) bool {
	return float64(s.FreeBytes(capacity, now)) < (1-pressureShare)*float64(capacity)
}

// untrackedBytes estimates the current size of untracked results. The estimate decays so that a target that was full is used
// again.
func (s *ResultSpace) untrackedBytes(now time.Time) float64 {
	return s.untracked * math.Exp2(-now.Sub(s.untrackedAt).Seconds()/untrackedHalfLife.Seconds())
}

// AvailableShare estimates the share of the target's result space that untracked results do not occupy.
func (s *ResultSpace) AvailableShare(capacity int64, now time.Time) float64 {
	if capacity <= 0 {
		return 1
	}
	return max(0, 1-s.untrackedBytes(now)/float64(capacity))
}

// UpdateUntracked updates the estimate of untracked results after a batch. The argument remaining is the result space minus
// the tracked results and those of the batch. If the target ran out of space, untracked results occupy exactly that much;
// otherwise, at most that much.
func (s *ResultSpace) UpdateUntracked(remaining int64, ranOut bool, now time.Time) {
	untracked := float64(max(0, remaining))
	if !ranOut {
		untracked = min(untracked, s.untrackedBytes(now))
	}
	s.untracked, s.untrackedAt = untracked, now
}

// LeavesFreeSpace reports whether the results of the pieces will reliably fit at a target with the given result space, so
// that no piece is repeated for lack of space and the inputs can be released.
func (s *BatchSpec) LeavesFreeSpace(items []*Item, capacity int64) bool {
	remaining := s.MaxResultBytes
	for _, item := range items {
		remaining -= item.ResultBytes
	}
	return float64(remaining) > reserveShare*float64(capacity)
}
