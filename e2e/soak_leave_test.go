package e2e_test

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

const (
	// soakDrainTime is how long a target may get calls after the store has acknowledged that it leaves.
	soakDrainTime = 2 * time.Second
	// soakStabilityWindow is how long after the last fault the store counts as stable, and VMs are bound by soakDrainTime.
	soakStabilityWindow = 3 * time.Second
	// soakLeavingCheck is how long a target that has left is observed.
	soakLeavingCheck = 1500 * time.Millisecond
	// soakLeavingRounds is the number of rounds of each seed.
	soakLeavingRounds = 2
	// soakMaxVMFaults is the most faults of VMs in a round.
	soakMaxVMFaults = 4
)

// TestSoakOfLeavingTargets guards against calls and calls for stages that reach targets which the store has long acknowledged as leaving or gone. They
// leave at random moments beside faults of VMs and before or after the store comes back from an older copy.
func TestSoakOfLeavingTargets(t *testing.T) {
	runSoakSeeds(t, func(t *testing.T, seed uint64) {
		s := newSoak(t, seed)
		stopCallers := s.startCallers(seed)
		for range soakLeavingRounds {
			newLeavingRound(s).play()
		}
		stopCallers()
		s.checkCalls()
		if t.Failed() {
			t.Logf("reproduce with: go test ./e2e -run TestSoakOfLeavingTargets -soak.first=%d -soak.seeds=1 -soak.vms=%d", seed, *soakVMCount)
		}
	})
}

// leavingRound is a round in which one target of each service leaves, and then starts again.
type leavingRound struct {
	*soak
	targets []*leavingTarget
	calmMu  sync.Mutex
	// calmAt is when the last fault of the store or a VM ended; guarded by calmMu.
	calmAt time.Time
}

// leavingTarget is a target that leaves, and how.
type leavingTarget struct {
	*radishadaptertest.Target
	service string
	// isAnnounced is whether its record says that it leaves; otherwise the record is removed.
	isAnnounced bool
	// isEarly is whether it leaves before the store comes back from the copy, which still has it as ready.
	isEarly bool
	// ackedAt is when the store has acknowledged that it leaves.
	ackedAt time.Time
}

func newLeavingRound(s *soak) *leavingRound {
	r := &leavingRound{soak: s}
	for _, of := range []struct {
		service string
		targets []*radishadaptertest.Target
	}{{"plain", s.plainTargets}, {"stage", s.stageTargets}, {"engine", s.engineTargets}} {
		r.targets = append(r.targets, &leavingTarget{
			Target: of.targets[s.random.IntN(len(of.targets))], service: of.service, isAnnounced: s.random.IntN(2) == 0, isEarly: s.random.IntN(3) == 0,
		})
	}
	return r
}

func (r *leavingRound) play() {
	var faults sync.WaitGroup
	hasDrill := r.random.IntN(3) > 0
	older := r.store.Copy()
	r.leave(true)
	for range r.random.IntN(soakMaxLostChanges) {
		r.putConfig("/plain/")
		time.Sleep(r.upTo(40 * time.Millisecond))
	}
	for range r.random.IntN(soakMaxVMFaults + 1) {
		r.startVMFault(&faults)
	}
	if hasDrill {
		r.drill(older)
	}
	r.markCalm()
	time.Sleep(soakStabilityWindow + r.upTo(time.Second))
	r.leave(false)
	faults.Wait()
	r.check()
}

// markCalm records that a fault has ended.
func (r *leavingRound) markCalm() {
	r.calmMu.Lock()
	defer r.calmMu.Unlock()
	r.calmAt = time.Now()
}

// upTo draws a duration up to limit.
func (r *leavingRound) upTo(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// leave has the early or the other targets leave.
func (r *leavingRound) leave(isEarly bool) {
	for _, target := range r.targets {
		if target.isEarly != isEarly {
			continue
		}
		time.Sleep(r.upTo(700 * time.Millisecond))
		r.writeLeaving(target)
		target.ackedAt = time.Now()
		r.log("%s leaves, with a record: %v", target.ID, target.isAnnounced)
	}
}

func (r *leavingRound) writeLeaving(target *leavingTarget) {
	if target.isAnnounced {
		r.store.Put("servers", target.ID, target.Record(target.service, "bandung", "draining"))
	} else {
		r.store.Remove("servers", target.ID)
	}
}

// drill makes the store come back from the copy, after which the operator and the targets write again what they wrote last.
func (r *leavingRound) drill(older radishadaptertest.Copy) {
	away := r.upTo(time.Second)
	r.log("store is away for %v and comes back from an older copy", away)
	r.store.SetFault(radishadaptertest.FaultUnavailable)
	time.Sleep(away)
	r.store.Restore(older, r.random.IntN(2) == 0)
	r.store.SetFault(radishadaptertest.FaultNone)
	time.Sleep(r.upTo(time.Second))
	r.rewriteConfig("/plain/")
	for _, target := range r.targets {
		if target.isEarly {
			r.writeLeaving(target)
		}
	}
}

// startVMFault starts a fault of a VM, or of its link to the store, at a moment before the check. It may last until long after the drill.
func (r *leavingRound) startVMFault(faults *sync.WaitGroup) {
	vm, kind := r.vms[r.random.IntN(len(r.vms))], r.random.IntN(5)
	wait, duration := r.upTo(2*soakStabilityWindow), r.upTo(2*soakStabilityWindow)
	faults.Go(func() {
		defer r.markCalm()
		time.Sleep(wait)
		switch kind {
		case 0:
			r.signal(vm, syscall.SIGSTOP, duration)
		case 1:
			r.signal(vm, syscall.SIGKILL, duration/4)
		case 2:
			r.signal(vm, syscall.SIGTERM, 0)
		case 3:
			r.log("%s: watches cut off", vm.name)
			r.injectLinkFault(vm.storeLink, linkReset, 0)
		default:
			r.log("%s: no link to the store for %v", vm.name, time.Second+duration)
			r.injectLinkFault(vm.storeLink, linkReset, time.Second+duration)
		}
	})
}

// check checks that the targets that left get no calls, and has them start again.
func (r *leavingRound) check() {
	boundAt := r.calmAt.Add(soakStabilityWindow)
	time.Sleep(max(time.Until(boundAt), soakDrainTime) + soakLeavingCheck)
	for _, target := range r.targets {
		var late []radishadaptertest.ObservedCall
		for _, call := range target.Calls() {
			if call.At.After(boundAt) && call.At.Sub(target.ackedAt) > soakDrainTime {
				late = append(late, call)
			}
		}
		if len(late) > 0 {
			r.t.Errorf("%s got %d calls later than %v after the store acknowledged that it leaves, the last one, %s, after %v",
				target.ID, len(late), soakDrainTime, late[len(late)-1].Path, late[len(late)-1].At.Sub(target.ackedAt))
		}
		target.Restart()
		r.store.Put("servers", target.ID, target.Record(target.service, "bandung", "ready"))
	}
}
