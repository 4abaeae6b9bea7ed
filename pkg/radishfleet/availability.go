package radishfleet

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// isUsable reports whether the target may be sent to at all. Every choice of a target asks it.
func (f *Fleet) isUsable(s *targetState, v *versionFilter, now time.Time) bool {
	return v.allows(s) && f.isInService(s) && !s.isPaused(now)
}

// isInService reports whether the target is not leaving, its data centre is not evacuated, and no later target has its address.
func (f *Fleet) isInService(s *targetState) bool {
	return f.isStaying(s) && !f.evacuated[s.target.DataCentre] && !f.isSuperseded(s)
}

// isStaying reports whether neither the target's record nor the target itself says that it leaves.
func (f *Fleet) isStaying(s *targetState) bool {
	return !s.target.Leaving && !f.hasAnnouncedLeaving(s.target)
}

// isExcluded reports whether the target is ejected or its data centre is unreachable, so that it is sent to only if there is no
// other one.
func (f *Fleet) isExcluded(s *targetState, now time.Time) bool {
	return now.Before(s.ejectedUntil) || f.isUnreachable(s.target, now)
}

// isAvailable reports whether the target may be sent to and is expected to respond.
func (f *Fleet) isAvailable(s *targetState, v *versionFilter, now time.Time) bool {
	return f.isUsable(s, v, now) && !f.isExcluded(s, now)
}

// isSuperseded reports whether another target started later at the target's address. The record of a target that has ended may
// remain for a while, and only one process can use an address.
func (f *Fleet) isSuperseded(s *targetState) bool {
	newest := f.newestAt[s.target.Address]
	return newest != nil && newest.target.StartedUnixMilli > s.target.StartedUnixMilli
}

// UsableTargets returns the targets of the service that may take calls, without ejected and unreachable ones.
func (f *Fleet) UsableTargets(service string, now time.Time) []radish.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.availableTargets(service, f.versionsFor(service, "", 0, now), now, anyTarget)
}

// availableTargets returns the available targets of the service that meet the condition.
func (f *Fleet) availableTargets(service string, v *versionFilter, now time.Time, condition func(s *targetState) bool) []radish.Target {
	var available []radish.Target
	for _, s := range f.byService[service] {
		if condition(s) && f.isAvailable(s, v, now) {
			available = append(available, s.target)
		}
	}
	return available
}
