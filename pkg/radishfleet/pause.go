package radishfleet

import "time"

const (
	// rampStep is the time after the end of a pause in which the number of calls that the target may have got doubles, beginning with
	// one call; after rampSteps of them it is not limited.
	rampStep  = 100 * time.Millisecond
	rampSteps = 7
)

// pause keeps the target from getting calls until the time, unless a longer pause is in force. It reports whether the pause is longer
// than the one before.
func (s *targetState) pause(until time.Time) bool {
	if !until.After(s.pausedUntil) {
		return false
	}
	s.pausedUntil, s.sentAfterPause = until, 0
	return true
}

// isPaused reports whether the target asked to get no calls now. After a pause, the number of calls grows step by step, so that those
// that waited for its end do not all come at once.
func (s *targetState) isPaused(now time.Time) bool {
	if s.pausedUntil.IsZero() {
		return false
	}
	elapsed := now.Sub(s.pausedUntil)
	if elapsed < 0 {
		return true
	}
	steps := int(elapsed / rampStep)
	return steps < rampSteps && s.sentAfterPause >= 1<<steps
}

// recordSend counts a call to the target.
func (s *targetState) recordSend() {
	s.inFlight++
	s.latest.sentSince++
	s.sentAfterPause++
}

// UntilResumed returns the time until the first pause of a target of the service ends. It returns 0 unless pauses are the only reason
// why no target of the service may be sent to.
func (f *Fleet) UntilResumed(service string, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var first time.Time
	versions := f.versionsFor(service, "", 0, now)
	for _, s := range f.byService[service] {
		if f.isUsable(s, versions, now) {
			return 0
		}
		if versions.allows(s) && f.isInService(s) && (first.IsZero() || s.pausedUntil.Before(first)) {
			first = s.pausedUntil
		}
	}
	if first.IsZero() {
		return 0
	}
	if wait := first.Sub(now); wait > 0 {
		return wait
	}
	// The pause has ended, and the target gets no more calls before the next step.
	return rampStep
}

// HasUsableTarget reports whether a target of the service may be sent to now.
func (f *Fleet) HasUsableTarget(service string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasUsable(service, f.versionsFor(service, "", 0, now), now)
}

// hasUsable reports whether the service has a usable target that the filter allows.
func (f *Fleet) hasUsable(service string, v *versionFilter, now time.Time) bool {
	for _, s := range f.byService[service] {
		if f.isUsable(s, v, now) {
			return true
		}
	}
	return false
}
