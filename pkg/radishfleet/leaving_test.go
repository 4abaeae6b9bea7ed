package radishfleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

func startedTarget(name string, started int64) radish.Target {
	t := target(name, "a")
	t.StartedUnixMilli = started
	return t
}

// TestAnnouncedLeavingHolds checks what ends an announcement that a target leaves: only a later start of the target.
func TestAnnouncedLeavingHolds(t *testing.T) {
	announcing := startedTarget("t1", 5)
	draining := announcing
	draining.Leaving = true
	tests := []struct {
		name       string
		then       func(f *Fleet)
		wantUsable bool
	}{
		{"nothing", func(*Fleet) {}, false},
		{"record says ready", func(f *Fleet) { f.Set(announcing, testStart) }, false},
		{"record says draining, then ready", func(f *Fleet) { f.Set(draining, testStart); f.Set(announcing, testStart) }, false},
		{"record of an earlier start", func(f *Fleet) { f.Set(startedTarget("t1", 3), testStart) }, false},
		{"record lapses and returns", func(f *Fleet) { f.Remove("t1"); f.Set(announcing, testStart) }, false},
		{"successful call", func(f *Fleet) { f.Done("t1", Outcome{}, testStart) }, false},
		{"later start under the name", func(f *Fleet) { f.Set(startedTarget("t1", 6), testStart) }, true},
		{"peer reports an earlier start", func(f *Fleet) {
			f.MergeLeaving([]LeavingTarget{{Name: "t1", StartedUnixMilli: 3, At: testStart}}, testStart)
		}, false},
		{"later start, then a late report on the earlier one", func(f *Fleet) {
			f.Set(startedTarget("t1", 6), testStart)
			f.MergeLeaving([]LeavingTarget{{Name: "t1", StartedUnixMilli: 5, At: testStart}}, testStart)
		}, true},
		{"later start that announces too", func(f *Fleet) {
			f.Set(startedTarget("t1", 6), testStart)
			f.Observe(startedTarget("t1", 6), radish.TargetNotice{IsLeaving: true}, testStart)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(announcing)
			if !f.Observe(announcing, radish.TargetNotice{IsLeaving: true}, testStart) {
				t.Error("the announcement is not new")
			}
			test.then(f)
			_, isPicked := f.Pick(Query{Service: "s"}, testStart)
			isUsable := len(f.UsableTargets("s", testStart)) > 0
			if isPicked != test.wantUsable || isUsable != test.wantUsable {
				t.Errorf("picked %t, usable %t, want %t", isPicked, isUsable, test.wantUsable)
			}
		})
	}
}

// TestPeerReportsLeavingBeforeTheRecordArrives has a VM hear of an announcement before it knows the target.
func TestPeerReportsLeavingBeforeTheRecordArrives(t *testing.T) {
	f := newFleet()
	if got := f.MergeLeaving([]LeavingTarget{{Name: "t1", StartedUnixMilli: 5, At: testStart}}, testStart); len(got) != 1 {
		t.Fatalf("%d reports are new, want 1", len(got))
	}
	f.Set(startedTarget("t1", 5), testStart)
	if got, ok := f.Pick(Query{Service: "s"}, testStart); ok {
		t.Errorf("picked %s, which leaves", got.Name)
	}
}

// TestEngineThatLeavesKeepsNoPrompts checks that prompts are no longer assigned to an engine that announced that it leaves.
func TestEngineThatLeavesKeepsNoPrompts(t *testing.T) {
	f := newEngineFleet(4)
	q := Query{Service: "s", AffinityKey: "shared"}
	leaving, _ := f.Pick(q, testStart)
	f.Observe(leaving, radish.TargetNotice{IsLeaving: true}, testStart)
	for range 50 {
		if got, _ := f.Pick(q, testStart); got.Name == leaving.Name {
			t.Fatalf("%s got a call after it announced that it leaves", leaving.Name)
		}
	}
}

// TestAnnouncementByAddress has a target announce in a response to a request for which only its address is known.
func TestAnnouncementByAddress(t *testing.T) {
	earlier, later := startedTarget("t1", 5), startedTarget("t2", 6)
	later.Address = earlier.Address
	f := newFleet(earlier, later, startedTarget("t3", 5))
	f.Observe(radish.Target{Address: earlier.Address}, radish.TargetNotice{IsLeaving: true}, testStart)
	if usable := f.UsableTargets("s", testStart); len(usable) != 1 || usable[0].Name != "t3" {
		t.Errorf("usable targets: %v, want t3", usable)
	}
	if f.Observe(radish.Target{Address: "unknown:1"}, radish.TargetNotice{IsLeaving: true}, testStart) {
		t.Error("a response from an unknown address changed something")
	}
}

// TestReportsOfLeavingAreBounded merges invalid reports and more than are kept.
func TestReportsOfLeavingAreBounded(t *testing.T) {
	f := newFleet()
	invalid := []LeavingTarget{
		{At: testStart}, {Name: strings.Repeat("t", maxNameBytes+1), At: testStart}, {Name: "t", At: testStart.Add(time.Second)},
		{Name: "t", At: testStart.Add(-2 * leavingTTL)},
	}
	if got := f.MergeLeaving(invalid, testStart); len(got) > 0 {
		t.Errorf("invalid reports were taken: %v", got)
	}
	var many []LeavingTarget
	for i := range 2 * MaxLeavingTargets {
		many = append(many, LeavingTarget{Name: fmt.Sprint("t", i), At: testStart})
	}
	f.MergeLeaving(many, testStart)
	if n := len(f.LeavingTargets(testStart)); n != MaxLeavingTargets {
		t.Errorf("%d announcements are kept, want %d", n, MaxLeavingTargets)
	}
	if f.LeavingDigest(testStart.Add(2*leavingTTL)) != 0 {
		t.Error("old announcements are still reported")
	}
}
