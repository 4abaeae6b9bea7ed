package radishfleet

import (
	"errors"
	"syscall"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Outcome is the result of a call at a target.
type Outcome struct {
	// Failed is whether the target is at fault.
	Failed bool
	// ErrorResponse is whether the target executed the call and responded with a server error, which may be the fault of the
	// target or of the call.
	ErrorResponse bool
	// Cut is whether the connection to the target ended before the response was complete; Failed is then set too.
	Cut bool
	// Rejected is whether the target rejected the call.
	Rejected bool
	// Down is whether no process listens at the target's address; Failed is then set too.
	Down bool
	// Unreachable is whether no connection to the target could be opened.
	Unreachable bool
	// Inconclusive is whether the call was abandoned for a reason that has nothing to do with the target.
	Inconclusive bool
	Load         radish.TargetLoad
}

// IsRefused reports whether the error shows that no process listens at a target's address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Done records the outcome of a call that Pick assigned to the target.
func (f *Fleet) Done(name string, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[name]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	f.recordReachability(s.target, o, now)
	if o.Load.Reported {
		s.reportedLoad, s.reportedAt = o.Load, now
	}
	switch {
	case o.Inconclusive:
	case o.Rejected:
		s.recordRejection(now)
	default:
		s.recordResult(o, now)
		if !o.Failed {
			s.errorResponses.record(o.ErrorResponse, now)
		}
	}
}

// recordRejection treats a target that rejected a call as overloaded until it reports its load or this estimate
// expires.
func (s *targetState) recordRejection(now time.Time) {
	waiting := 2 * max(1, s.target.Slots)
	if !s.reportedLoad.Reported || s.reportedAt != now {
		s.reportedLoad, s.reportedAt = radish.TargetLoad{Running: s.target.Slots, Waiting: waiting, Slots: s.target.Slots, Reported: true}, now
		s.latest = latestReport{load: s.reportedLoad, at: now}
	}
}

func (s *targetState) recordResult(o Outcome, now time.Time) {
	sample := 0.0
	if o.Failed {
		sample = 1
	}
	s.failureRate = s.decayedFailureRate(now)*(1-failureSampleWeight) + failureSampleWeight*sample
	s.failureRateAt = now
	if !o.Failed {
		s.consecutiveFailures, s.ejectionPeriod = 0, 0
		return
	}
	s.consecutiveFailures++
	if s.consecutiveFailures < ejectAfterFailures && !o.Down {
		return
	}
	s.ejectionPeriod = min(maxEjection, max(minEjection, 2*s.ejectionPeriod))
	s.ejectedUntil = now.Add(s.ejectionPeriod)
}

// Report records the outcome of a call that Pick did not assign.
func (f *Fleet) Report(name string, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[name]; s != nil {
		f.recordReachability(s.target, o, now)
		if !o.Inconclusive {
			s.recordResult(o, now)
		}
	}
}
