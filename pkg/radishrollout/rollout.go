package radishrollout

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Rollout is the state of one order at one VM. The exported fields are set before first use; the caller locks.
type Rollout struct {
	Order  Order
	Limits Limits
	// Self is this run of this VM.
	Self Source
	// StartedAt is when this VM learned of the order. Peers' reports move it back, never forward.
	StartedAt time.Time
	// VMs is the number of VMs, including those that cannot be reached now. Admit sets it too.
	VMs int
	// NoTargets is whether the service has no target of the order's version now; the caller may change it. Such an order does not
	// proceed and is reverted before its deadline.
	NoTargets bool
	// Targets is the number of the service's targets of the order's version; the caller may change it. With several, one with bad
	// responses is avoided (SuspectTarget) before the version is found bad.
	Targets int

	sources map[Source]*record
	budget  budget
	// maxVMs is the largest number of VMs so far.
	maxVMs int
	// reportTimes are the times at which the other VMs last reported, the latest first.
	reportTimes []time.Time

	// totals are the counts of all sources when they were last compared, at comparedAt.
	totals     map[string]*RouteEvidence
	comparedAt time.Time
	comparison comparison
	suspect    suspect
	// verdict is why the version is bad, "" if it is not known to be.
	verdict string
	// final is the final state that the store holds, "" if it holds none or is not known.
	final Phase

	// now is the latest time seen.
	now   time.Time
	phase Phase
	// level is the number of times that the share was doubled, last at levelAt.
	level      int
	levelAt    time.Time
	drainingAt time.Time
}

// Admit reports whether this VM's next call on the route may go to the candidate. The number of VMs includes those that cannot be
// reached now.
func (r *Rollout) Admit(route string, vms int, now time.Time) bool {
	return r.AdmitCalls(route, 1, vms, now)
}

// AdmitCalls is Admit for a batch: each of its pieces counts as a call.
func (r *Rollout) AdmitCalls(route string, calls, vms int, now time.Time) bool {
	r.setVMs(vms)
	decision := r.Decide(now)
	switch {
	case decision.Share == 0:
		return false
	case decision.Share == 1:
		return true
	case !r.isWithinLimit(float64(calls)):
		return false
	}
	budget := r.budget.route(route, r.Self.VM)
	return budget.credit >= 1 || r.budget.mayUseSlack(budget, float64(calls), r.slackByNow(now))
}

func (r *Rollout) setVMs(vms int) {
	r.VMs = vms
	r.maxVMs = max(r.maxVMs, vms)
}

// MustUse reports whether calls may go to the candidate only.
func (r *Rollout) MustUse(now time.Time) bool {
	phase := r.Decide(now).Phase
	return phase == PhaseCompleted || phase == PhaseDraining && !r.NoTargets
}

// RecordSend counts calls, including retries, hedged copies and probes, when they are sent.
func (r *Rollout) RecordSend(route string, candidate bool, calls int, now time.Time) {
	counts := r.self().ownRoute(route)
	version := &counts.Old
	if candidate {
		version = &counts.Candidate
	}
	version.Calls += uint64(calls)
	r.budget.record(r.budget.route(route, r.Self.VM), candidate, float64(calls), r.share(now))
}

// RecordResult counts the response of a call.
func (r *Rollout) RecordResult(s Sample, _ time.Time) {
	counts := r.self().ownRoute(s.Route)
	version := &counts.Old
	if s.Candidate {
		version = &counts.Candidate
	}
	bucket := bucketOf(s.Took)
	if s.Failed {
		version.Failures++
	} else {
		version.grow(bucket + 1)
		version.Times[bucket]++
	}
	if s.Candidate {
		limit, ok := slowLimit(&counts.Old)
		counts.countTarget(s.Target, s.Failed || ok && bucket > limit)
	}
}

// RecordOldInFlight sets the number of this VM's calls in flight at old targets. Draining ends when all VMs report 0 or the time is
// up.
func (r *Rollout) RecordOldInFlight(n int) { r.self().oldInFlight = n }

// Finish records the final state that the store holds, PhaseCompleted or PhaseReverted. It applies whatever was decided here.
func (r *Rollout) Finish(phase Phase) {
	if phase == PhaseCompleted || phase == PhaseReverted {
		r.final = phase
	}
}

// Evidence returns the evidence of all sources, for peers. This VM's own is as of the latest time that the rollout was given.
func (r *Rollout) Evidence() []Evidence {
	self := r.self()
	self.age, self.phase = r.age(r.now), r.reportedPhase()
	id := r.Order.ID()
	exported := make([]Evidence, 0, len(r.sources))
	for source, rec := range r.sources {
		exported = append(exported, rec.export(source, id))
	}
	slices.SortFunc(exported, func(a, b Evidence) int { return compareSources(a.Source, b.Source) })
	return exported
}

// reportedPhase returns the phase for peers. A state that was only decided for lack of time or evidence is not reported, since a VM
// that is cut off would spread it.
func (r *Rollout) reportedPhase() Phase {
	switch {
	case r.final != "":
		return r.final
	case r.verdict != "":
		return PhaseReverted
	}
	return r.currentPhase()
}

// currentPhase returns the phase without verdicts.
func (r *Rollout) currentPhase() Phase {
	if r.phase == "" {
		return PhaseObserving
	}
	return r.phase
}

// Merge adds evidence of peers and reports whether anything was new. Evidence beyond the limits or of another order is ignored.
func (r *Rollout) Merge(e []Evidence, now time.Time) (changed bool) {
	r.self() // counts towards the limit on sources
	id := r.Order.ID()
	for i := range e {
		if e[i].OrderRevision != id || !e[i].isValid() {
			continue
		}
		r.adoptAge(e[i].Age, now)
		if e[i].Source == r.Self {
			continue
		}
		changed = r.source(e[i].Source).merge(&e[i], now) || changed
	}
	r.dropExcess()
	r.updateReportTimes()
	r.adoptPeers(now)
	r.advance(now)
	return changed
}

// adoptAge moves the start of the order back if a peer knows it for longer.
func (r *Rollout) adoptAge(age time.Duration, now time.Time) {
	if startedAt := now.Add(-age); startedAt.Before(r.StartedAt) {
		r.StartedAt = startedAt
	}
}

// self returns the record of this run.
func (r *Rollout) self() *record { return r.source(r.Self) }

func (r *Rollout) source(source Source) *record {
	if r.sources == nil {
		r.sources = make(map[Source]*record)
	}
	rec := r.sources[source]
	if rec == nil {
		rec = &record{}
		r.sources[source] = rec
	}
	return rec
}

// dropExcess keeps the first sources by name, so that the order of merges does not matter, and this one.
func (r *Rollout) dropExcess() {
	for len(r.sources) > MaxSources {
		last := Source{}
		for source := range r.sources {
			if source != r.Self && compareSources(source, last) > 0 {
				last = source
			}
		}
		delete(r.sources, last)
	}
}

// compareSources orders sources by VM and then by incarnation.
func compareSources(a, b Source) int {
	return cmp.Or(strings.Compare(a.VM, b.VM), cmp.Compare(a.Incarnation, b.Incarnation))
}

// sum returns the counts of all sources by route.
func (r *Rollout) sum() map[string]*RouteEvidence {
	totals := make(map[string]*RouteEvidence)
	for _, rec := range r.sources {
		for name, counts := range rec.routes {
			total := totals[name]
			if total == nil {
				total = &RouteEvidence{Route: name}
				totals[name] = total
			}
			total.add(counts)
		}
	}
	return totals
}

// Decide returns what this VM does now. It is called at least every 250 ms. A bad verdict is sticky.
func (r *Rollout) Decide(now time.Time) Decision {
	r.advance(now)
	switch {
	case r.final == PhaseCompleted:
		return Decision{Phase: PhaseCompleted, Share: 1, Reason: "the order is completed"}
	case r.final == PhaseReverted:
		return Decision{Phase: PhaseReverted, Reason: "the order is reverted"}
	case r.verdict != "":
		return Decision{Phase: PhaseReverted, Reason: r.verdict}
	case r.phase == PhaseDraining:
		return r.decideDraining(now)
	}
	return r.decideBefore(now)
}

// decideDraining ends draining when it is done or the time is up. Without a target of the version, the order is reverted then.
func (r *Rollout) decideDraining(now time.Time) Decision {
	isLate := r.age(now) >= r.lastDecision()
	switch {
	case r.NoTargets && isLate:
		return Decision{Phase: PhaseReverted, Reason: "the service has no target of the version"}
	case r.NoTargets:
		return Decision{Phase: PhaseDraining, Reason: "the service has no target of the version"}
	case isLate:
		return Decision{Phase: PhaseCompleted, Share: 1, Reason: "the time for draining is over"}
	case r.isDrained(now):
		return Decision{Phase: PhaseCompleted, Share: 1, Reason: "no calls are left at old targets"}
	}
	return Decision{Phase: PhaseDraining, Share: 1, Reason: "calls may be left at old targets"}
}

// decideBefore decides while observing or ramping. A VM that is cut off waits longer with the last decision, since the others may
// take another one.
func (r *Rollout) decideBefore(now time.Time) Decision {
	obstacle := r.obstacle(now)
	last := r.lastDecision()
	if !r.hasQuorum(now) {
		last += r.margin() / 2
	}
	if r.age(now) >= last {
		return Decision{Phase: PhaseReverted, Reason: cmp.Or(obstacle, "too little evidence")}
	}
	return Decision{Phase: r.currentPhase(), Share: r.share(now), Reason: cmp.Or(obstacle, "within the limits")}
}

// share returns the candidate's share of this VM's calls.
func (r *Rollout) share(now time.Time) float64 {
	switch {
	case r.final == PhaseCompleted:
		return 1
	case r.final == PhaseReverted || r.verdict != "" || r.NoTargets:
		return 0
	case r.phase == PhaseDraining:
		return 1
	case !r.hasQuorum(now) || r.age(now) >= r.lastDecision():
		return 0
	}
	return min(1, firstShare*r.Limits.MaxShare*float64(int(1)<<r.level))
}
