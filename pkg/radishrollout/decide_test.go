package radishrollout

import (
	"testing"
	"time"
)

// TestBadVerdictIsSticky guards against a version that gets calls again after it was found bad, by a peer's report alone.
func TestBadVerdictIsSticky(t *testing.T) {
	r := newRollout()
	r.Merge([]Evidence{{Source: Source{VM: "a"}, OrderRevision: testOrder.ID(), Phase: PhaseReverted}}, testStart)
	for at := time.Duration(0); at < 2*testOrder.Duration; at += time.Second {
		now := testStart.Add(at)
		if d := r.Decide(now); d.Phase != PhaseReverted || r.Admit("a", 1, now) || r.MustUse(now) {
			t.Fatalf("at %v: decision %+v, want reverted and no calls", at, d)
		}
	}
	if e := r.Evidence(); e[len(e)-1].Phase != PhaseReverted {
		t.Errorf("phase %q is reported, want reverted", e[len(e)-1].Phase)
	}
}

// TestFinishOverridesVerdict guards against a VM that keeps to its own verdict although the store holds the other one.
func TestFinishOverridesVerdict(t *testing.T) {
	r := newRollout()
	r.Merge([]Evidence{{Source: Source{VM: "a"}, OrderRevision: testOrder.ID(), Phase: PhaseReverted}}, testStart)
	r.Finish(PhaseCompleted)
	if !r.MustUse(testStart) {
		t.Error("the old version may be used although the order is completed")
	}
}

// TestStateForLackOfTimeIsNotSpread guards against a VM that is cut off, decides to revert for lack of evidence, and later makes its
// peers revert a version that is good.
func TestStateForLackOfTimeIsNotSpread(t *testing.T) {
	r := newRollout()
	r.VMs = 3
	r.RecordSend("a", false, 1000, testStart)
	if d := r.Decide(testStart.Add(testOrder.Duration)); d.Phase != PhaseReverted {
		t.Errorf("decision %+v, want reverted", d)
	}
	if phase := r.Evidence()[0].Phase; phase == PhaseReverted {
		t.Errorf("phase %q is reported to peers, want none that is final", phase)
	}
}

// TestNoTargets guards against an order that is completed although no target of its version exists.
func TestNoTargets(t *testing.T) {
	r := newRollout()
	r.NoTargets = true
	for at := time.Duration(0); at < testOrder.Duration; at += 100 * time.Millisecond {
		now := testStart.Add(at)
		if d := r.Decide(now); d.Phase == PhaseReverted {
			return
		}
		if r.Admit("a", 1, now) || r.MustUse(now) {
			t.Fatalf("at %v: calls may go to the candidate, which has no targets", at)
		}
	}
	t.Error("the order was not reverted before its deadline")
}

// TestStartsAtAgeOfPeers guards against a VM that starts during an order and counts its duration from then.
func TestStartsAtAgeOfPeers(t *testing.T) {
	r := newRollout()
	age := 30 * time.Second
	r.Merge([]Evidence{{Source: Source{VM: "a"}, OrderRevision: testOrder.ID(), Age: age}}, testStart)
	if got := r.age(testStart); got != age {
		t.Errorf("age %v, want %v", got, age)
	}
	r.Merge([]Evidence{{Source: Source{VM: "b"}, OrderRevision: testOrder.ID(), Age: time.Second}}, testStart)
	if got := r.age(testStart); got != age {
		t.Errorf("age %v after a later report, want %v", got, age)
	}
}

// TestRestartedVMKeepsItsPart guards against a VM that restarts and exceeds its part of the limits, since its peers know its counts.
func TestRestartedVMKeepsItsPart(t *testing.T) {
	r := newRollout()
	earlier := Source{VM: r.Self.VM, Incarnation: 0}
	counts := RouteEvidence{Route: "a", Old: VersionCounts{Calls: 10}, Candidate: VersionCounts{Calls: 60}}
	r.Merge([]Evidence{{Source: earlier, OrderRevision: testOrder.ID(), Routes: []RouteEvidence{counts}}}, testStart)
	for i := range 50 {
		now := testStart.Add(time.Duration(i) * 100 * time.Millisecond)
		r.RecordSend("a", false, 1, now)
		if r.Admit("a", 1, now) {
			t.Fatal("a call was admitted although the earlier run used up the limits")
		}
	}
}

// TestAdmitKeepsLimits guards against batches, single routes and idle routes that exceed this VM's part of the limits.
func TestAdmitKeepsLimits(t *testing.T) {
	r := newRollout()
	sent, candidate, byRoute := 0, 0, make(map[string]int)
	for i := range 40000 {
		now := testStart.Add(time.Duration(i) * time.Millisecond)
		route, calls := []string{"a", "b", "b", "b"}[i%4], 1+15*(i%50/49)
		isAdmitted := r.AdmitCalls(route, calls, 4, now)
		r.RecordSend(route, isAdmitted, calls, now)
		sent += calls
		if isAdmitted {
			candidate += calls
			byRoute[route] += calls
		}
		if limit := 0.1*float64(sent) + 50.0/4; float64(candidate) > limit {
			t.Fatalf("%d of %d calls, want at most %.0f", candidate, sent, limit)
		}
	}
	if byRoute["a"] < candidate/8 || byRoute["b"] < candidate/2 {
		t.Errorf("calls by route are %v, want about a quarter on a", byRoute)
	}
}

// TestDrainingWaitsForOldCalls guards against calls that are cut because old targets stop while a VM still has calls there.
func TestDrainingWaitsForOldCalls(t *testing.T) {
	r := newRollout()
	r.RecordOldInFlight(1)
	lastAt := time.Duration(0)
	for at := time.Duration(0); at < testOrder.Duration; at += 100 * time.Millisecond {
		if r.Decide(testStart.Add(at)).Phase == PhaseCompleted {
			break
		}
		lastAt = at
	}
	if want := r.lastDecision() - 100*time.Millisecond; lastAt != want {
		t.Errorf("not completed until %v, want until %v", lastAt, want)
	}
	r.RecordOldInFlight(0)
	if d := r.Decide(testStart.Add(lastAt)); d.Phase != PhaseCompleted {
		t.Errorf("decision %+v without calls at old targets, want completed", d)
	}
}

// TestBucketBounds guards against times that are counted in the wrong bucket.
func TestBucketBounds(t *testing.T) {
	for i := range BucketCount - 1 {
		if got := bucketOf(BucketBound(i) - time.Microsecond); got != i {
			t.Errorf("bucket of a time below bound %d is %d", i, got)
		}
		if got := bucketOf(BucketBound(i) + time.Microsecond); got != i+1 {
			t.Errorf("bucket of a time above bound %d is %d", i, got)
		}
	}
}
