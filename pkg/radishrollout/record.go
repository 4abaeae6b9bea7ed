package radishrollout

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// record is what is known of a source.
type record struct {
	age         time.Duration
	phase       Phase
	oldInFlight int
	suspect     string
	routes      map[string]*RouteEvidence
	// reportedAt is when the source's age last grew, as seen here.
	reportedAt time.Time
}

// isValid reports whether the evidence is within the limits.
func (e *Evidence) isValid() bool {
	if e.Source.VM == "" || len(e.Source.VM) > MaxNameBytes || len(e.Routes) > MaxRoutes || e.Age < 0 || e.OldInFlight < 0 || len(e.Suspect) > MaxNameBytes {
		return false
	}
	return !slices.ContainsFunc(e.Routes, func(route RouteEvidence) bool { return !route.isValid() })
}

func (e *RouteEvidence) isValid() bool {
	if len(e.Route) > MaxNameBytes || len(e.Targets) > MaxTargets {
		return false
	}
	if len(e.Old.Times) > BucketCount || len(e.Candidate.Times) > BucketCount {
		return false
	}
	return !slices.ContainsFunc(e.Targets, func(t TargetEvidence) bool { return t.Target == "" || len(t.Target) > MaxNameBytes })
}

// merge adds a later or earlier report of the same source and reports whether anything was new.
func (rec *record) merge(e *Evidence, now time.Time) bool {
	changed := rec.mergeState(e, now)
	for i := range e.Routes {
		if rec.route(e.Routes[i].Route).merge(&e.Routes[i]) {
			changed = true
		}
	}
	rec.dropExcess()
	return changed
}

// mergeState merges what is not a counter: the calls in flight are those of the latest report.
func (rec *record) mergeState(e *Evidence, now time.Time) bool {
	changed := e.Age > rec.age
	if changed {
		rec.reportedAt = now
	}
	if changed || e.Age == rec.age && e.OldInFlight > rec.oldInFlight {
		rec.age, rec.oldInFlight = e.Age, e.OldInFlight
		changed = true
	}
	if e.Phase.rank() > rec.phase.rank() {
		rec.phase = e.Phase
		changed = true
	}
	if e.Suspect > rec.suspect {
		rec.suspect = e.Suspect
		changed = true
	}
	return changed
}

// route returns the counts of the route, new ones if it is not known.
func (rec *record) route(name string) *RouteEvidence {
	if rec.routes == nil {
		rec.routes = make(map[string]*RouteEvidence)
	}
	counts := rec.routes[name]
	if counts == nil {
		counts = &RouteEvidence{Route: name}
		rec.routes[name] = counts
	}
	return counts
}

// ownRoute returns the counts of this VM's calls on the route, within the limit on routes.
func (rec *record) ownRoute(name string) *RouteEvidence {
	if rec.routes[name] == nil && len(rec.routes) >= MaxRoutes-1 || len(name) > MaxNameBytes {
		name = OtherRoute
	}
	return rec.route(name)
}

// dropExcess keeps the first routes by name, so that the order of merges does not matter.
func (rec *record) dropExcess() {
	for len(rec.routes) > MaxRoutes {
		last := ""
		for name := range rec.routes {
			last = max(last, name)
		}
		delete(rec.routes, last)
	}
}

// export returns a copy of the record as evidence for peers.
func (rec *record) export(source Source, order int64) Evidence {
	e := Evidence{Source: source, OrderRevision: order, Age: rec.age, Phase: rec.phase, OldInFlight: rec.oldInFlight, Suspect: rec.suspect}
	for _, counts := range rec.routes {
		e.Routes = append(e.Routes, counts.clone())
	}
	slices.SortFunc(e.Routes, func(a, b RouteEvidence) int { return strings.Compare(a.Route, b.Route) })
	return e
}

func (e *RouteEvidence) clone() RouteEvidence {
	c := *e
	c.Old.Times, c.Candidate.Times, c.Targets = slices.Clone(e.Old.Times), slices.Clone(e.Candidate.Times), slices.Clone(e.Targets)
	return c
}

func (e *RouteEvidence) merge(other *RouteEvidence) bool {
	changed := e.Old.merge(&other.Old)
	changed = e.Candidate.merge(&other.Candidate) || changed
	for _, t := range other.Targets {
		changed = e.mergeTarget(t) || changed
	}
	return changed
}

func (e *RouteEvidence) mergeTarget(t TargetEvidence) bool {
	i, ok := e.findTarget(t.Target)
	if !ok {
		e.Targets = slices.Insert(e.Targets, i, t)
		e.Targets = e.Targets[:min(len(e.Targets), MaxTargets)]
		return i < MaxTargets
	}
	known := &e.Targets[i]
	changed := raise(&known.Responses, t.Responses)
	return raise(&known.Bad, t.Bad) || changed
}

// findTarget returns the index of the target in the sorted targets, or the one at which to insert it.
func (e *RouteEvidence) findTarget(name string) (i int, ok bool) {
	return slices.BinarySearchFunc(e.Targets, name, func(t TargetEvidence, name string) int { return cmp.Compare(t.Target, name) })
}

// countTarget counts a response of a candidate's target; targets beyond the limit are not counted.
func (e *RouteEvidence) countTarget(name string, bad bool) {
	if name == "" || len(name) > MaxNameBytes {
		return
	}
	i, ok := e.findTarget(name)
	if !ok && len(e.Targets) >= MaxTargets {
		return
	}
	if !ok {
		e.Targets = slices.Insert(e.Targets, i, TargetEvidence{Target: name})
	}
	e.Targets[i].Responses++
	if bad {
		e.Targets[i].Bad++
	}
}

func (v *VersionCounts) merge(other *VersionCounts) bool {
	changed := raise(&v.Calls, other.Calls)
	changed = raise(&v.Failures, other.Failures) || changed
	v.grow(len(other.Times))
	for i, n := range other.Times {
		changed = raise(&v.Times[i], n) || changed
	}
	return changed
}

// add adds counts of another source.
func (v *VersionCounts) add(other *VersionCounts) {
	v.Calls += other.Calls
	v.Failures += other.Failures
	v.grow(len(other.Times))
	for i, n := range other.Times {
		v.Times[i] += n
	}
}

// since returns how much the counts have grown since earlier ones.
func (v *VersionCounts) since(earlier *VersionCounts) VersionCounts {
	grown := VersionCounts{Calls: sub(v.Calls, earlier.Calls), Failures: sub(v.Failures, earlier.Failures)}
	grown.Times = slices.Clone(v.Times)
	for i := range min(len(v.Times), len(earlier.Times)) {
		grown.Times[i] = sub(v.Times[i], earlier.Times[i])
	}
	return grown
}

// grow extends the histogram to at least n buckets.
func (v *VersionCounts) grow(n int) {
	for len(v.Times) < n {
		v.Times = append(v.Times, 0)
	}
}

// successes returns the number of responses that are no failures.
func (v *VersionCounts) successes() uint64 {
	sum := uint64(0)
	for _, n := range v.Times {
		sum += n
	}
	return sum
}

// responses returns the number of responses.
func (v *VersionCounts) responses() uint64 { return v.Failures + v.successes() }

// above returns the number of times in buckets above the limit.
func (v *VersionCounts) above(limit int) uint64 {
	sum := uint64(0)
	for i := limit + 1; i < len(v.Times); i++ {
		sum += v.Times[i]
	}
	return sum
}

// raise sets a counter to the larger value and reports whether it changed.
func raise(counter *uint64, n uint64) bool {
	if n <= *counter {
		return false
	}
	*counter = n
	return true
}

// sub returns a - b, or 0 if that is negative: when the excess of sources is dropped, totals may shrink.
func sub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}

// add adds the counts of another source. Targets are summed without a limit, as there are only so many sources.
func (e *RouteEvidence) add(other *RouteEvidence) {
	e.Old.add(&other.Old)
	e.Candidate.add(&other.Candidate)
	for _, t := range other.Targets {
		i, ok := e.findTarget(t.Target)
		if !ok {
			e.Targets = slices.Insert(e.Targets, i, t)
			continue
		}
		e.Targets[i].Responses += t.Responses
		e.Targets[i].Bad += t.Bad
	}
}
