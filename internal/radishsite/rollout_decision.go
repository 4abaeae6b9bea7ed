package radishsite

import (
	"time"

	"radishramp.example/radishramp/pkg/radishrollout"
)

// minShareLogInterval is the shortest time between two log lines on the share of a rollout in the same phase.
const minShareLogInterval = time.Second

// serviceTargets is what is known of the targets of a service with an order.
type serviceTargets struct {
	// candidates is the number of targets of the order's version, and oldResults that of the results stored at others.
	candidates, oldResults int
}

// decide decides on all running orders, given the state of their targets by service, and reports whether a phase has changed and whether a
// version was found bad.
func (m *rolloutManager) decide(targets map[string]serviceTargets, now time.Time) (changed, isBad bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := m.vmCount()
	for name, s := range m.services {
		if !s.isRunning() {
			continue
		}
		s.rollout.VMs = max(1, vms)
		s.rollout.Targets, s.rollout.NoTargets = targets[name].candidates, targets[name].candidates == 0
		s.rollout.RecordOldInFlight(s.oldInFlight() + targets[name].oldResults)
		d := s.rollout.Decide(now)
		if d.Phase != s.decision.Phase {
			changed = true
			isBad = isBad || d.Phase == radishrollout.PhaseReverted
		}
		m.logDecision(s, d, now)
		s.decision = d
	}
	return changed, isBad
}

// logDecision logs a change of the phase or the share with the evidence behind it.
func (m *rolloutManager) logDecision(s *serviceVersions, d radishrollout.Decision, now time.Time) {
	isNewPhase := d.Phase != s.decision.Phase
	isNewShare := d.Share != s.decision.Share && now.Sub(s.loggedAt) >= minShareLogInterval
	if !isNewPhase && !isNewShare {
		return
	}
	s.loggedAt = now
	var old, candidate versionSum
	sources := s.rollout.Evidence()
	for i := range sources {
		for _, route := range sources[i].Routes {
			old.add(&route.Old)
			candidate.add(&route.Candidate)
		}
	}
	m.log.Info("rollout decided", "service", s.order.Service, "version", s.order.Version, "phase", string(d.Phase), "share", d.Share,
		"reason", d.Reason, "age_ms", now.Sub(s.rollout.StartedAt).Milliseconds(), "vms", s.rollout.VMs, "sources", len(sources),
		"targets", s.rollout.Targets, "suspect", s.rollout.SuspectTarget(), "old_in_flight", s.oldInFlight(),
		"old_calls", old.calls, "old_failures", old.failures, "old_ms", old.median().Milliseconds(),
		"new_calls", candidate.calls, "new_failures", candidate.failures, "new_ms", candidate.median().Milliseconds())
}

// versionSum is the sum of the counts of a version, for the log.
type versionSum struct {
	calls, failures uint64
	times           [radishrollout.BucketCount]uint64
}

func (v *versionSum) add(counts *radishrollout.VersionCounts) {
	v.calls += counts.Calls
	v.failures += counts.Failures
	for i, n := range counts.Times {
		v.times[i] += n
	}
}

// median returns the bound of the histogram below which at least half of the times are; 0 if there are none.
func (v *versionSum) median() time.Duration {
	total, below := uint64(0), uint64(0)
	for _, n := range v.times {
		total += n
	}
	for i, n := range v.times {
		if below += n; below > 0 && 2*below >= total {
			return radishrollout.BucketBound(i)
		}
	}
	return 0
}
