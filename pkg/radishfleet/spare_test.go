package radishfleet

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestCopyNeedsSpareTarget makes the only other target unfit in each way: a copy must not be sent there. It guards against copies that use up
// the quotas of cold targets or load targets that are expected not to respond.
func TestCopyNeedsSpareTarget(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tests := map[string]func(f *Fleet, other radish.Target){
		"cold": func(f *Fleet, other radish.Target) {
			other.ColdRemaining = time.Minute
			f.Set(other, now)
		},
		"leaving": func(f *Fleet, other radish.Target) {
			other.Leaving = true
			f.Set(other, now)
		},
		"ejected": func(f *Fleet, other radish.Target) {
			for range ejectAfterFailures {
				f.Report(other.Name, Outcome{Failed: true}, now)
			}
		},
		"paused":    func(f *Fleet, other radish.Target) { f.targets[other.Name].pause(now.Add(time.Second)) },
		"evacuated": func(f *Fleet, other radish.Target) { f.SetEvacuated(map[string]bool{other.DataCentre: true}) },
	}
	for name, makeUnfit := range tests {
		f := &Fleet{DataCentre: "a"}
		other := radish.Target{Name: "t2", Address: "t2:1", DataCentre: "b", Service: "s", Slots: 4}
		f.Set(radish.Target{Name: "t1", Address: "t1:1", DataCentre: "a", Service: "s", Slots: 4}, now)
		f.Set(other, now)
		q := Query{Service: "s", Exclude: map[string]bool{"t1": true}, IsCopy: true}
		if target, ok := f.Pick(q, now); !ok || target.Name != "t2" {
			t.Errorf("%s: %q, %t before", name, target.Name, ok)
		}
		makeUnfit(f, other)
		if target, ok := f.Pick(q, now); ok {
			t.Errorf("%s: copy at %s", name, target.Name)
		}
	}
}

// TestMeanLoad guards against a mean over targets that get no calls, or without the calls of other VMs.
func TestMeanLoad(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := &Fleet{DataCentre: "a"}
	if load := f.MeanLoad("s", now); load != 0 {
		t.Errorf("load %v without targets", load)
	}
	for _, name := range []string{"t1", "t2", "t3"} {
		f.Set(radish.Target{Name: name, Address: name, DataCentre: "a", Service: "s", Slots: 4, Leaving: name == "t3"}, now)
	}
	f.targets["t1"].inFlight = 2
	f.targets["t2"].reportedLoad, f.targets["t2"].reportedAt = radish.TargetLoad{Running: 4, Waiting: 2, Slots: 4, Reported: true}, now
	f.targets["t3"].inFlight = 40
	if load := f.MeanLoad("s", now); load != 1 {
		t.Errorf("load %v, want 1", load)
	}
}
