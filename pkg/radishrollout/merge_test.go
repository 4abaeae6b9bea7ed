package radishrollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testOrder = Order{Service: "s", Version: "v2", Duration: time.Minute, CreatedRevision: 7}

func newRollout() *Rollout {
	return &Rollout{
		Order: testOrder, Limits: Limits{MaxShare: 0.1, Slack: 50, RevertWithin: 5 * time.Second},
		Self: Source{VM: "self", Incarnation: 1}, StartedAt: testStart, VMs: 1, Targets: targetCount,
	}
}

// drawCounts draws counts, drawEvidence a report of one of a few sources on a few routes.
var drawCounts = rapid.Custom(func(rt *rapid.T) VersionCounts {
	n := rapid.Uint64Max(9)
	return VersionCounts{Calls: n.Draw(rt, "calls"), Failures: n.Draw(rt, "failures"), Times: rapid.SliceOfN(n, 0, 4).Draw(rt, "times")}
})

var drawEvidence = rapid.Custom(func(rt *rapid.T) Evidence {
	e := Evidence{
		Source:        Source{VM: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "vm"), Incarnation: rapid.Int64Range(1, 2).Draw(rt, "run")},
		OrderRevision: testOrder.ID(),
		Age:           time.Duration(rapid.IntRange(0, 3).Draw(rt, "age")) * time.Second,
		Phase:         rapid.SampledFrom([]Phase{PhaseObserving, PhaseRamping, PhaseDraining, PhaseReverted, PhaseCompleted}).Draw(rt, "phase"),
		OldInFlight:   rapid.IntRange(0, 3).Draw(rt, "in flight"),
		Suspect:       rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, "suspect"),
	}
	for _, name := range rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 0, 20, rapid.ID[int]).Draw(rt, "routes") {
		route := RouteEvidence{Route: fmt.Sprint("route-", name), Old: drawCounts.Draw(rt, "old"), Candidate: drawCounts.Draw(rt, "candidate")}
		for _, target := range rapid.SliceOfNDistinct(rapid.IntRange(0, 12), 0, MaxTargets, rapid.ID[int]).Draw(rt, "targets") {
			route.Targets = append(route.Targets, TargetEvidence{Target: fmt.Sprint("target-", target), Responses: 9, Bad: rapid.Uint64Max(9).Draw(rt, "bad")})
		}
		e.Routes = append(e.Routes, route)
	}
	return e
})

// merged returns the evidence of a rollout that got the reports in this order.
func merged(reports ...[]Evidence) []Evidence {
	r := newRollout()
	for _, e := range reports {
		r.Merge(e, testStart.Add(10*time.Second))
	}
	return slices.DeleteFunc(r.Evidence(), func(e Evidence) bool { return e.Source == r.Self })
}

// TestMergeIsSemilattice guards against evidence that depends on the order, grouping or repetition of messages: Merge is commutative,
// associative and idempotent.
func TestMergeIsSemilattice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		drawReports := rapid.SliceOfN(drawEvidence, 0, 3)
		a, b, c := drawReports.Draw(rt, "a"), drawReports.Draw(rt, "b"), drawReports.Draw(rt, "c")
		want := merged(a, b, c)
		for name, got := range map[string][]Evidence{
			"commutative": merged(c, b, a), "associative": merged(a, merged(b, c)), "idempotent": merged(a, b, b, c, a, want),
		} {
			if diff := cmp.Diff(want, got); diff != "" {
				rt.Fatalf("merge is not %s (-want +got):\n%s", name, diff)
			}
		}
	})
}

// TestMergeReportsNews guards against exchanges that never end because known evidence counts as new.
func TestMergeReportsNews(t *testing.T) {
	r, e := newRollout(), []Evidence{{Source: Source{VM: "a"}, OrderRevision: testOrder.ID(), Age: time.Second}}
	if !r.Merge(e, testStart) {
		t.Error("new evidence is not reported as new")
	}
	if r.Merge(e, testStart) {
		t.Error("known evidence is reported as new")
	}
}

// TestMergeIgnoresOtherOrders guards against the verdict on an earlier order of the same object that is applied to the next one.
func TestMergeIgnoresOtherOrders(t *testing.T) {
	earlier := testOrder
	earlier.Version = "v1"
	r := newRollout()
	if r.Merge([]Evidence{{Source: Source{VM: "a"}, OrderRevision: earlier.ID(), Phase: PhaseReverted}}, testStart) {
		t.Error("evidence of another order was merged")
	}
	if d := r.Decide(testStart); d.Phase != PhaseObserving {
		t.Errorf("decision %+v, want observing", d)
	}
}

// TestMergeIsBounded guards against a peer or many routes that fill the memory.
func TestMergeIsBounded(t *testing.T) {
	r := newRollout()
	for i := range 2 * MaxSources {
		e := Evidence{Source: Source{VM: fmt.Sprint("vm-", i)}, OrderRevision: testOrder.ID()}
		r.Merge([]Evidence{e}, testStart)
	}
	for i := range 3 * MaxRoutes {
		route := fmt.Sprint("route-", i)
		r.RecordSend(route, true, 1, testStart)
		for j := range 3 * MaxTargets {
			r.RecordResult(Sample{Route: route, Candidate: true, Took: time.Hour, Target: fmt.Sprint("target-", j)}, testStart)
		}
	}
	evidence := r.Evidence()
	if len(evidence) > MaxSources {
		t.Errorf("%d sources, want at most %d", len(evidence), MaxSources)
	}
	for _, e := range evidence {
		if len(e.Routes) > MaxRoutes || !e.isValid() {
			t.Errorf("evidence of %v with %d routes exceeds the limits", e.Source, len(e.Routes))
		}
	}
	if len(r.budget.routes) > MaxRoutes {
		t.Errorf("budgets of %d routes, want at most %d", len(r.budget.routes), MaxRoutes)
	}
}

// TestMergeIgnoresExcess guards against a report beyond the limits.
func TestMergeIgnoresExcess(t *testing.T) {
	long := Evidence{Source: Source{VM: "a"}, OrderRevision: testOrder.ID(), Routes: []RouteEvidence{{
		Old: VersionCounts{Times: make([]uint64, BucketCount+1)},
	}}}
	if newRollout().Merge([]Evidence{long}, testStart) {
		t.Error("a histogram beyond the limit was merged")
	}
}
