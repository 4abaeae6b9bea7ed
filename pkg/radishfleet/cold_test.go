package radishfleet

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestTargetThatSaysItIsColdHolds checks what ends the state of a target that said in a response that it is cold: the time that it said, or a later
// start.
func TestTargetThatSaysItIsColdHolds(t *testing.T) {
	const cold = 4 * time.Second
	tests := []struct {
		name     string
		then     func(f *Fleet)
		at       time.Duration
		wantCold bool
	}{
		{"nothing", func(*Fleet) {}, cold - time.Millisecond, true},
		{"its time", func(*Fleet) {}, cold, false},
		{"record says warm", func(f *Fleet) { f.Set(startedTarget("t1", 5), testStart) }, time.Second, true},
		{"record says longer", func(f *Fleet) {
			longer := startedTarget("t1", 5)
			longer.ColdRemaining = 2 * cold
			f.Set(longer, testStart)
		}, cold, true},
		{"record lapses and returns", func(f *Fleet) { f.Remove("t1"); f.Set(startedTarget("t1", 5), testStart) }, time.Second, true},
		{"later start", func(f *Fleet) { f.Set(startedTarget("t1", 6), testStart) }, time.Second, false},
		{"peer says longer", func(f *Fleet) {
			f.MergeCold([]ColdTarget{{Name: "t1", StartedUnixMilli: 5, Until: testStart.Add(2 * cold)}}, testStart)
		}, cold, true},
		{"peer says the same a little later", func(f *Fleet) {
			f.MergeCold([]ColdTarget{{Name: "t1", StartedUnixMilli: 5, Until: testStart.Add(cold + coldTolerance/2)}}, testStart)
		}, cold, false},
		{"peer reports an earlier start", func(f *Fleet) {
			f.MergeCold([]ColdTarget{{Name: "t1", StartedUnixMilli: 3, Until: testStart.Add(2 * cold)}}, testStart)
		}, cold, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(startedTarget("t1", 5))
			if !f.Observe(startedTarget("t1", 5), radish.TargetNotice{Cold: cold}, testStart) {
				t.Error("the notice is not new")
			}
			test.then(f)
			now := testStart.Add(test.at)
			if got := f.TargetSnapshot("t1", now).IsCold; got != test.wantCold {
				t.Errorf("cold after %v: %t, want %t", test.at, got, test.wantCold)
			}
			if got := len(f.WarmTargets("s", now)) == 0; got != test.wantCold {
				t.Errorf("not among the warm targets after %v: %t, want %t", test.at, got, test.wantCold)
			}
		})
	}
}

// TestMergeColdPassesOnWhatIsNew checks that a report is new once at each VM, so that VMs do not notify each other without end, and that they agree
// on the digest.
func TestMergeColdPassesOnWhatIsNew(t *testing.T) {
	f, peer := newFleet(startedTarget("t1", 5)), newFleet(startedTarget("t1", 5))
	f.Observe(startedTarget("t1", 5), radish.TargetNotice{Cold: time.Second}, testStart)
	for round, want := range []int{1, 0} {
		if got := len(peer.MergeCold(f.ColdTargets(testStart), testStart.Add(10*time.Millisecond))); got != want {
			t.Errorf("round %d: %d new reports, want %d", round, got, want)
		}
	}
	if f.ColdDigest(testStart) != peer.ColdDigest(testStart) || f.ColdDigest(testStart) == 0 {
		t.Error("the digests differ, or are 0")
	}
	unknown := []ColdTarget{{Name: "t2", Until: testStart.Add(time.Hour)}, {Name: "t1", StartedUnixMilli: 5, Until: testStart.Add(-time.Second)}}
	if got := peer.MergeCold(unknown, testStart); len(got) > 0 {
		t.Errorf("took over %v", got)
	}
}
