package radishrollout

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// observeShare is the part of the order's duration during which the share stays small, since some faults show only late.
	observeShare = 0.6
	// firstShare is the share during the observation as a part of the limit; the steps of the ramp need the rest of it.
	firstShare = 0.5
	// stepShare is the part of the duration that each step of the ramp lasts. Observation and steps together use 0.065 of the calls
	// of the whole duration if the limit is 0.1, where 0.071 are allowed at their end.
	stepShare = 0.05
	// stepCount is the number of times that the share is doubled before all traffic moves.
	stepCount = 3
	// minStep is the shortest time of a step: the evidence of all VMs must arrive.
	minStep = 600 * time.Millisecond
	// marginShare of the duration, at least minMargin, remains when the last state is decided, for writing it.
	marginShare = 0.08
	minMargin   = time.Second
	// reportTTL is how long a peer's report counts. Peers report every 500 ms.
	reportTTL = 1500 * time.Millisecond
	// minResponses is the number of the candidate's responses without which it is not served.
	minResponses = 30
)

// age returns how long ago the order was given, as far as known.
func (r *Rollout) age(now time.Time) time.Duration { return max(0, now.Sub(r.StartedAt)) }

// part returns a part of the order's duration.
func (r *Rollout) part(share float64) time.Duration {
	return time.Duration(share * float64(r.Order.Duration))
}

func (r *Rollout) margin() time.Duration { return max(minMargin, r.part(marginShare)) }

// lastDecision is the age at which a final state is decided.
func (r *Rollout) lastDecision() time.Duration { return r.Order.Duration - r.margin() }

// lastDrain is the age up to which draining may begin: the other VMs must learn of it before the last decision.
func (r *Rollout) lastDrain() time.Duration { return r.lastDecision() - r.margin()/2 }

// advance moves the rollout to the phase of this time.
func (r *Rollout) advance(now time.Time) {
	if now.Before(r.now) {
		return
	}
	r.now = now
	r.compare(now)
	if r.final != "" || r.verdict != "" {
		return
	}
	r.step(now)
}

// adoptPeers adopts the phases of peers: the final ones, and draining, since all traffic moves at the same time.
func (r *Rollout) adoptPeers(now time.Time) {
	for source, rec := range r.sources {
		if source == r.Self {
			continue
		}
		switch {
		case rec.phase == PhaseCompleted && r.final == "":
			r.final = PhaseCompleted
		case rec.phase == PhaseReverted && r.verdict == "":
			r.verdict = "a peer found the version bad"
		case rec.suspect != "" && r.suspect.target == "":
			r.startSuspecting(rec.suspect, now)
		case rec.phase == PhaseDraining && now.Sub(rec.reportedAt) < reportTTL && r.mayDrain():
			r.startDraining(now)
		}
	}
}

// compare updates the comparison of the versions every window.
func (r *Rollout) compare(now time.Time) {
	if now.Sub(r.comparedAt) < windowTime {
		return
	}
	r.comparedAt = now
	r.totals = r.sum()
	r.comparison.windowCount = max(1, float64(r.Order.Duration/windowTime))
	r.comparison.update(r.totals, now)
	if r.verdict == "" {
		r.updateVerdict(now)
	}
}

// describe returns the reason of a bad verdict, for the log.
func (c *comparison) describe() string {
	what := "failures"
	if c.worstKey.kind == kindSlow {
		what = "slow responses"
	}
	where := "all routes"
	if c.worstKey.route != "" {
		where = fmt.Sprintf("route %q", c.worstKey.route)
	}
	return fmt.Sprintf("more %s than the old version on %s", what, where)
}

// step moves from observing to ramping, through its steps, and to draining.
func (r *Rollout) step(now time.Time) {
	if r.phase.rank() >= PhaseDraining.rank() || r.age(now) < r.part(observeShare) || r.obstacle(now) != "" {
		return
	}
	if now.Sub(r.levelAt) < r.stepTime(now) {
		return
	}
	if r.level < stepCount {
		r.level++
		r.levelAt = now
		r.phase = PhaseRamping
		return
	}
	if r.hasEvidence(now) && r.age(now) < r.lastDecision() {
		r.startDraining(now)
	}
}

// stepTime returns how long a step lasts now, less than usual if the ramp began late.
func (r *Rollout) stepTime(now time.Time) time.Duration {
	remaining := r.lastDrain() - r.age(now)
	return max(minStep, min(r.part(stepShare), remaining/time.Duration(stepCount+1-r.level)))
}

// hasEvidence reports whether there is enough evidence for moving all traffic. With few responses, the ramp lasts as long as possible.
func (r *Rollout) hasEvidence(now time.Time) bool {
	calls, responses := r.evidenceCounts()
	if calls == 0 || responses >= fewResponses {
		return true
	}
	return responses >= minResponses && r.age(now) >= r.lastDrain()
}

func (r *Rollout) isInDoubt() bool {
	_, responses := r.evidenceCounts()
	return r.comparison.isInDoubt(responses)
}

// obstacle returns why the share must not grow now, or "".
func (r *Rollout) obstacle(now time.Time) string {
	switch {
	case r.NoTargets:
		return "the service has no target of the version"
	case !r.hasQuorum(now):
		return "too few other VMs report"
	case r.isTryingOthers():
		return "a target of the version is suspected"
	case r.isInDoubt():
		return "the version's responses are in doubt"
	}
	return ""
}

// mayDrain reports whether a peer's draining applies here.
func (r *Rollout) mayDrain() bool {
	return r.verdict == "" && r.final == "" && r.phase.rank() < PhaseDraining.rank()
}

func (r *Rollout) startDraining(now time.Time) {
	r.phase, r.drainingAt = PhaseDraining, now
}

// evidenceCounts returns the number of calls of the service and of the candidate's responses, from all sources.
func (r *Rollout) evidenceCounts() (calls, responses uint64) {
	for _, counts := range r.totals {
		calls += counts.Old.Calls + counts.Candidate.Calls
		responses += counts.Candidate.responses()
	}
	return calls, responses
}

// hasQuorum reports whether this VM and those that reported lately are at least half of all. A VM that is cut off must not
// send to the candidate, since it would not learn that the others reverted the order.
func (r *Rollout) hasQuorum(now time.Time) bool {
	needed := (r.VMs+1)/2 - 1 // besides this one
	switch {
	case needed <= 0:
		return true
	case needed > len(r.reportTimes):
		return false
	}
	return now.Sub(r.reportTimes[needed-1]) < reportTTL
}

// updateReportTimes determines when each other VM last reported, the latest first.
func (r *Rollout) updateReportTimes() {
	reportedAt := make(map[string]time.Time)
	for source, rec := range r.sources {
		if source.VM != r.Self.VM && rec.reportedAt.After(reportedAt[source.VM]) {
			reportedAt[source.VM] = rec.reportedAt
		}
	}
	r.reportTimes = slices.SortedFunc(maps.Values(reportedAt), func(a, b time.Time) int { return b.Compare(a) })
}

// isDrained reports whether all VMs that report are draining and have no calls in flight at old targets. All traffic is
// observed for one step in any case, while it can still return to the old targets.
func (r *Rollout) isDrained(now time.Time) bool {
	if now.Sub(r.drainingAt) < max(minStep, r.part(stepShare)) || r.self().oldInFlight > 0 || !r.hasQuorum(now) {
		return false
	}
	for source, rec := range r.sources {
		isReporting := source != r.Self && now.Sub(rec.reportedAt) < reportTTL
		if isReporting && (rec.phase.rank() < PhaseDraining.rank() || rec.oldInFlight > 0) {
			return false
		}
	}
	return true
}
