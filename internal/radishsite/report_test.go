package radishsite

import (
	"fmt"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// TestPeersHearOfLeavingTargets has one of 30 VMs hear that a target leaves. The others must not send it calls when the shortest drain
// bound, 2 s, has passed, whatever their record of it says; one that had never known the target must not either.
func TestPeersHearOfLeavingTargets(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 30)
		leaving := radish.Target{Name: "i-1", Address: "i-1:1", Service: "s", StartedUnixMilli: 5}
		for _, vm := range vms[:29] {
			vm.state.fleet.Set(leaving, time.Now())
		}
		vms[0].state.fleet.Observe(leaving, radish.TargetNotice{IsLeaving: true}, time.Now())
		vms[0].shareReports()
		time.Sleep(2 * time.Second)
		vms[29].state.fleet.Set(leaving, time.Now())
		for _, vm := range vms {
			if n := vm.state.usableCount(); n > 0 {
				t.Errorf("%s still uses the target", vm.self.Name)
			}
		}
		later := leaving
		later.StartedUnixMilli = 6
		vms[1].state.fleet.Set(later, time.Now())
		if vms[1].state.usableCount() != 1 {
			t.Error("the next start of the target is not used")
		}
	})
}

// TestPeersExchangeUsualPaces guards against VMs that know different usual paces for long, and so send the same prompt to different
// engines: each VM hears a part of the reports, and all must know all paces some seconds later. Malformed paces are ignored.
func TestPeersExchangeUsualPaces(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const targets = 60
		vms := startVMs(t, 30)
		for i := range targets {
			engine := radish.Target{Name: fmt.Sprint("i-", i), Address: fmt.Sprintf("i-%d:1", i), Service: "s", StartedUnixMilli: 5}
			for _, vm := range vms {
				vm.state.fleet.Set(engine, time.Now())
			}
			report := radish.TargetLoad{Pace: 0.55 + 0.1*float64(i%5), Reported: true}
			vms[i%len(vms)].state.fleet.Observe(engine, radish.TargetNotice{Load: report}, time.Now())
		}
		vms[0].mergePaces(&radishpeerpb.SiteHeartbeat{PaceTargets: []uint32{1, 2, 3}, Paces: []uint32{0}})
		time.Sleep(8 * time.Second)
		for _, vm := range vms {
			if n := len(vm.state.fleet.Paces()); n != targets || vm.state.fleet.PaceDigest() != vms[0].state.fleet.PaceDigest() {
				t.Errorf("%s knows %d paces, want %d, and the same as the others", vm.self.Name, n, targets)
			}
		}
	})
}

// TestInvalidLeavingReportsAreIgnored has a peer report what cannot be.
func TestInvalidLeavingReportsAreIgnored(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vm := startVMs(t, 2)[0]
		vm.mergeLeaving([]*radishpeerpb.LeavingTarget{nil, {Target: "t", AgeMs: 1<<32 - 1}, {StartedUnixMs: 4}}, "peer")
		if got := vm.state.fleet.LeavingTargets(time.Now()); len(got) > 0 {
			t.Errorf("invalid reports were taken: %v", got)
		}
		var many []*radishpeerpb.LeavingTarget
		for i := range 10_000 {
			many = append(many, &radishpeerpb.LeavingTarget{Target: fmt.Sprint("t", i)})
		}
		vm.mergeLeaving(many, "peer")
		if got := len(vm.state.fleet.LeavingTargets(time.Now())); got > 2000 {
			t.Errorf("%d reports are kept", got)
		}
	})
}
