package radishfleet

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Outcome is how a call went at a target.
type Outcome struct {
	// Failed tells whether the target is at fault, Rejected whether it turned the call away, Unreached whether no
	// connection to it could be opened.
	Failed    bool
	Rejected  bool
	Unreached bool
	// Unknown tells that the call was given up for a reason that says nothing of the target.
	Unknown bool
	Load    radish.TargetLoad
}

// Done ends a call that Pick counted.
func (f *Fleet) Done(name string, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[name]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	f.noteReach(s.target, o, now)
	if o.Load.Reported {
		s.load, s.loadAt = o.Load, now
	}
	switch {
	case o.Unknown:
	case o.Rejected:
		s.reject(now)
	default:
		s.count(o.Failed, now)
	}
}

// reject counts a target that turned a call away as full for a while.
func (s *state) reject(now time.Time) {
	full := 2 * max(1, s.target.Slots)
	if !s.load.Reported || s.loadAt != now {
		s.load, s.loadAt = radish.TargetLoad{Running: s.target.Slots, Waiting: full, Slots: s.target.Slots, Reported: true}, now
	}
}

func (s *state) count(failed bool, now time.Time) {
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failures = s.failureShare(now)*(1-failureWeight) + failureWeight*sample
	s.failedAt = now
	if !failed {
		s.row, s.ejectedFor = 0, 0
		return
	}
	s.row++
	if s.row < ejectAfter {
		return
	}
	s.ejectedFor = min(ejectLimit, max(ejectFirst, 2*s.ejectedFor))
	s.ejectedUntil = now.Add(s.ejectedFor)
}

// Report counts how a call outside of Pick went.
func (f *Fleet) Report(name string, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[name]; s != nil {
		f.noteReach(s.target, o, now)
		if !o.Unknown {
			s.count(o.Failed, now)
		}
	}
}
