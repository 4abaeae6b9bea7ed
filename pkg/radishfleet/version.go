package radishfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// VersionGate decides which versions of a service may get calls, and learns of all calls. The fleet may hold its lock when it calls the
// gate, so that the gate must not call the fleet.
type VersionGate interface {
	// Versions returns the rule for so many calls of the service on the route. With 0 calls, it returns the rule for the service's
	// capacity: the candidate counts only where it is the only version that may be used.
	Versions(service, route string, calls int, now time.Time) VersionRule
	// RecordSend counts calls when they are assigned to the target.
	RecordSend(t radish.Target, route string, calls int, now time.Time)
	// RecordResult records how calls ended that were assigned to the target.
	RecordResult(t radish.Target, r VersionResult, now time.Time)
}

// VersionResult is how calls at a target ended.
type VersionResult struct {
	Route string
	// Calls is the number of calls that ended, and Failed the number of those whose responses are failures.
	Calls  int
	Failed int
	// Took is the time that the responses took.
	Took time.Duration
	// Inconclusive is whether there was no response that says anything about the version.
	Inconclusive bool
}

// CandidateUse is how calls may use the candidate, the version that a service is to move to.
type CandidateUse int

// Uses of the candidate.
const (
	// CandidateUnused keeps calls from the candidate.
	CandidateUnused CandidateUse = iota
	// CandidateAdmitted sends the calls of the rule to the candidate, and to other versions if it has no available target.
	CandidateAdmitted
	// CandidateOnly sends calls to no other version.
	CandidateOnly
)

// VersionRule tells which versions of a service may get calls. The zero value allows all.
type VersionRule struct {
	// Candidate is the version that a rollout is about; "" if there is none.
	Candidate string
	Use       CandidateUse
	// Served is the only other version that may get calls; "" means that all others may.
	Served string
	// Barred lists versions that get no calls.
	Barred []string
	// MayServeAlone is whether the candidate is used without limit if the service has no target of another version.
	MayServeAlone bool
	// IsLenient is whether the rule does not apply where it leaves the service without targets.
	IsLenient bool
	// Avoid is a target of the candidate that gets no calls; "" if there is none.
	Avoid string
	// Share is the share of the candidate's targets that admitted calls are sent to, so that these targets get as many calls as after the
	// rollout. Key selects the targets; all VMs use the same.
	Share float64
	Key   string
}

// versionHold is the time for which a version that the VM has not seen on a service before gets no calls. Its targets may be registered
// before the VM learns of the order to roll it out.
const versionHold = 2 * time.Second

// maxVersions is the number of versions of a service that are remembered beyond those that have targets.
const maxVersions = 64

// HoldNewVersions makes versions that are registered from now on wait for an order before they get calls. It is called once the VM has
// the list of targets, whose versions have been served before.
func (f *Fleet) HoldNewVersions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdsVersions = true
}

// recordVersion notes that the service has a target of the version.
func (f *Fleet) recordVersion(t radish.Target, now time.Time) {
	if f.Versions == nil {
		return
	}
	if f.heldUntil == nil {
		f.heldUntil = make(map[string]map[string]time.Time)
	}
	versions := f.heldUntil[t.Service]
	if versions == nil {
		versions = make(map[string]time.Time)
		f.heldUntil[t.Service] = versions
	}
	if _, ok := versions[t.Version]; ok {
		return
	}
	if len(versions) >= maxVersions {
		f.forgetVersions(t.Service)
	}
	versions[t.Version] = time.Time{}
	if f.holdsVersions {
		versions[t.Version] = now.Add(versionHold)
	}
}

// forgetVersions forgets the versions of the service that have no target.
func (f *Fleet) forgetVersions(service string) {
	for version := range f.heldUntil[service] {
		if f.countVersion(service, version) == 0 {
			delete(f.heldUntil[service], version)
		}
	}
}

// countVersion returns the number of targets of the version, including those that are leaving.
func (f *Fleet) countVersion(service, version string) int {
	n := 0
	for _, s := range f.byService[service] {
		if s.target.Version == version {
			n++
		}
	}
	return n
}

// VersionTargets returns the number of registered targets of the version that are not leaving.
func (f *Fleet) VersionTargets(service, version string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.countStaying(service, version)
}

// countStaying returns the number of targets of the version that are not leaving.
func (f *Fleet) countStaying(service, version string) int {
	n := 0
	for _, s := range f.byService[service] {
		if s.target.Version == version && f.isStaying(s) {
			n++
		}
	}
	return n
}

// RecordVersionSend counts calls that are being sent to the target without [Fleet.Pick].
func (f *Fleet) RecordVersionSend(t radish.Target, route string, calls int, now time.Time) {
	if f.Versions != nil {
		f.Versions.RecordSend(t, route, calls, now)
	}
}

// RecordVersionResult records how calls ended that were sent to the target.
func (f *Fleet) RecordVersionResult(t radish.Target, r VersionResult, now time.Time) {
	if f.Versions != nil {
		f.Versions.RecordResult(t, r, now)
	}
}

// versionFilter tells which targets of a service may get calls because of their versions. A nil filter allows all.
type versionFilter struct {
	rule VersionRule
	// held holds the versions that wait for an order.
	held map[string]bool
	// chosen holds the candidate's targets that admitted calls are sent to.
	chosen map[*targetState]bool
	// isChosenOnly is whether the filter allows only the chosen targets.
	isChosenOnly bool
}

// versionsFor returns the filter for so many calls on the route.
func (f *Fleet) versionsFor(service, route string, calls int, now time.Time) *versionFilter {
	if f.Versions == nil {
		return nil
	}
	v := &versionFilter{rule: f.Versions.Versions(service, route, calls, now)}
	switch {
	case v.rule.IsLenient && !f.hasAllowed(service, v):
		v.rule = VersionRule{}
	case v.rule.MayServeAlone && v.rule.Use != CandidateOnly && f.isOnlyVersion(service, v.rule.Candidate):
		v.rule.Use = CandidateOnly
	}
	for version, until := range f.heldUntil[service] {
		if now.Before(until) && version != v.rule.Candidate {
			if v.held == nil {
				v.held = make(map[string]bool)
			}
			v.held[version] = true
		}
	}
	if v.held != nil && !f.hasUsable(service, v, now) {
		v.held = nil
	}
	return v
}

// hasAllowed reports whether the service has a target that the filter allows and that is not leaving.
func (f *Fleet) hasAllowed(service string, v *versionFilter) bool {
	for _, s := range f.byService[service] {
		if v.allows(s) && f.isStaying(s) {
			return true
		}
	}
	return false
}

// isOnlyVersion reports whether all targets of the service that are not leaving are of the version.
func (f *Fleet) isOnlyVersion(service, version string) bool {
	for _, s := range f.byService[service] {
		if s.target.Version != version && f.isStaying(s) {
			return false
		}
	}
	return true
}

// candidates returns the filter that allows only the candidate's targets that admitted calls are sent to, out of those that meet the
// condition, or nil if calls are not admitted.
func (f *Fleet) candidates(service string, v *versionFilter, now time.Time, condition func(s *targetState) bool) *versionFilter {
	if v == nil || v.rule.Use != CandidateAdmitted {
		return nil
	}
	var warm, cold []*targetState
	total := 0
	for _, s := range f.byService[service] {
		if s.target.Version != v.rule.Candidate || s.target.Name == v.rule.Avoid || !condition(s) || !f.isInService(s) {
			continue
		}
		total++
		switch {
		case s.isPaused(now) || now.Before(s.ejectedUntil) || f.isLinkDown(s.target):
		case now.Before(s.coldUntil):
			cold = append(cold, s)
		default:
			warm = append(warm, s)
		}
	}
	// A cold target is slow, which says nothing about its version.
	available := warm
	if len(warm) == 0 {
		available = cold
	}
	slices.SortFunc(available, func(a, b *targetState) int {
		return cmp.Compare(radish.RendezvousScore(b.target.Name, v.rule.Key), radish.RendezvousScore(a.target.Name, v.rule.Key))
	})
	n := max(1, int(math.Floor(v.rule.Share*float64(total))))
	chosen := make(map[*targetState]bool, n)
	for _, s := range available[:min(n, len(available))] {
		chosen[s] = true
	}
	return &versionFilter{rule: v.rule, chosen: chosen, isChosenOnly: true}
}

func anyTarget(*targetState) bool { return true }

// allows reports whether the target's version may get calls.
func (v *versionFilter) allows(s *targetState) bool {
	if v == nil {
		return true
	}
	if v.isChosenOnly {
		return v.chosen[s]
	}
	version := s.target.Version
	if v.rule.Candidate != "" && version == v.rule.Candidate {
		return v.rule.Use == CandidateOnly && s.target.Name != v.rule.Avoid
	}
	if v.rule.Use == CandidateOnly || v.rule.Served != "" && version != v.rule.Served {
		return false
	}
	return !v.held[version] && !slices.Contains(v.rule.Barred, version)
}

// CandidateBatch returns the available targets of the service's candidate that a batch of pieces may be sent to, in the shard if there
// is more than one, and the largest number of pieces up to maxPieces that the batch may have.
func (f *Fleet) CandidateBatch(service, route string, shard, shards, maxPieces int, now time.Time) ([]radish.Target, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	condition := f.shardCondition(service, shard, shards)
	for n := maxPieces; n > 0 && f.Versions != nil; n /= 2 {
		if v := f.candidates(service, f.versionsFor(service, route, n, now), now, condition); v != nil {
			return f.availableTargets(service, v, now, condition), n
		}
	}
	return nil, 0
}
