package radishsite

import (
	"fmt"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

// TestReplayCrashesSeenByDifferentVMs has each of three crashes seen by another VM. All VMs must refuse calls with the part that the
// crashes have in common long before the stability window of 3 s has passed, and must allow the other part once one of them has had an
// answer with it.
func TestReplayCrashesSeenByDifferentVMs(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 30)
		for i := range 3 {
			vm := vms[i*7]
			vm.quarantine.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, []string{"first", "harmful"}, time.Now())
			vm.shareReports()
			time.Sleep(400 * time.Millisecond)
		}
		if vms[29].quarantine.RecordAnswer("s", []string{"first"}, time.Now()) {
			vms[29].shareReports()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, vm := range vms {
			if d := vm.quarantine.Check([]string{"first", "harmful"}, time.Now()); d.Verdict != radishquarantine.Refused {
				t.Errorf("%s: verdict %v on a call with the part", vm.self.Name, d.Verdict)
			}
			if d := vm.quarantine.Check([]string{"first"}, time.Now()); d.Verdict != radishquarantine.Allowed {
				t.Errorf("%s: verdict %v on a sound call", vm.self.Name, d.Verdict)
			}
		}
	})
}

// TestVMsCompareEvidenceOnCrashes has one VM know of crashes without having notified its peers, so that these learn of them only by
// comparing their evidence, as restarted VMs do. The last crash is 3 s old in the end, as long as the stability window.
func TestVMsCompareEvidenceOnCrashes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 5)
		for i := range 3 {
			vms[0].quarantine.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, []string{"harmful"}, time.Now())
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second)
		for _, vm := range vms[1:] {
			if d := vm.quarantine.Check([]string{"harmful"}, time.Now()); d.Verdict != radishquarantine.Refused {
				t.Errorf("%s: verdict %v on a call with the part", vm.self.Name, d.Verdict)
			}
		}
	})
}

// TestOneVMTriesQuarantinedParts checks that exactly one of the VMs tries a call with quarantined parts.
func TestOneVMTriesQuarantinedParts(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 8)
		owners := 0
		for _, vm := range vms {
			if vm.isTrialVM("harmful") {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d VMs try the call, want 1", owners)
		}
	})
}

// TestInvalidCrashesOfPeersAreIgnored reports more crashes than are kept, and ones that cannot be.
func TestInvalidCrashesOfPeersAreIgnored(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vm := startVMs(t, 2)[0]
		reports := []*radishpeerpb.TargetCrash{nil, {Target: "t", AgeMs: 1<<32 - 1}, {AgeMs: 1}, {Target: "t", Parts: []*radishpeerpb.SuspectedPart{nil}}}
		vm.mergeCrashes(reports, "peer")
		if got := vm.quarantine.Crashes(); len(got) > 0 {
			t.Errorf("invalid crashes were taken: %v", got)
		}
		reports = nil
		for i := range 10 * radishquarantine.MaxCrashes {
			reports = append(reports, &radishpeerpb.TargetCrash{Target: fmt.Sprint("t", i), AgeMs: 1})
		}
		vm.mergeCrashes(reports, "peer")
		if got := vm.quarantine.Crashes(); len(got) > radishquarantine.MaxCrashes {
			t.Errorf("%d crashes are kept", len(got))
		}
	})
}
