package radishrollout

import "testing"

// TestMergeRaisesBothCountersOfATarget guards against bad responses of a target that are not taken over because its responses grew too.
func TestMergeRaisesBothCountersOfATarget(t *testing.T) {
	e := RouteEvidence{Targets: []TargetEvidence{{Target: "t", Responses: 1}}}
	want := TargetEvidence{Target: "t", Responses: 5, Bad: 4}
	if !e.mergeTarget(want) || e.Targets[0] != want {
		t.Errorf("got %+v, want %+v", e.Targets[0], want)
	}
	if e.mergeTarget(want) {
		t.Error("the same counters count as a change")
	}
}
