package radishfleet

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// maxDeparted limits the targets without a record whose limits are remembered.
const maxDeparted = 8192

// departedTarget is what limits the calls to a target beyond the life of its record, which may be removed and written again while it runs.
type departedTarget struct {
	startedUnixMilli int64
	coldSentAt       []time.Time
	saidColdUntil    time.Time
	pausedUntil      time.Time
	sentAfterPause   int
}

// rememberLimits keeps the limits on calls to a target whose record is removed.
func (f *Fleet) rememberLimits(s *targetState) {
	if len(s.coldSentAt) == 0 && s.pausedUntil.IsZero() && s.saidColdUntil.IsZero() {
		return
	}
	if f.departed == nil || len(f.departed) >= maxDeparted {
		f.departed = make(map[string]departedTarget)
	}
	f.departed[s.target.Name] = departedTarget{
		startedUnixMilli: s.target.StartedUnixMilli, coldSentAt: s.coldSentAt, saidColdUntil: s.saidColdUntil, pausedUntil: s.pausedUntil,
		sentAfterPause: s.sentAfterPause,
	}
}

// restoreLimits applies the remembered limits to a target that is back, unless it has started again.
func (f *Fleet) restoreLimits(s *targetState, t radish.Target) {
	d, ok := f.departed[t.Name]
	delete(f.departed, t.Name)
	if ok && d.startedUnixMilli == t.StartedUnixMilli {
		s.coldSentAt, s.saidColdUntil, s.pausedUntil, s.sentAfterPause = d.coldSentAt, d.saidColdUntil, d.pausedUntil, d.sentAfterPause
	}
}
