package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

// storeDrill is a way in which the store comes back from an older copy of itself.
type storeDrill struct {
	// away is how long the store is away; 0 means that no call fails, and the watches that wait go on waiting.
	away time.Duration
	// times is how often it comes back.
	times int
	// restartsVM restarts one of the VMs after it.
	restartsVM bool
}

// play makes the store come back from its state before the last versions of the configuration, of which the operator then writes the newest again.
func (d storeDrill) play(s *siteCluster) {
	for range d.times {
		older := s.store.Copy()
		for range 3 {
			s.putConfig("/plain/")
			time.Sleep(300 * time.Millisecond)
		}
		if d.away > 0 {
			s.store.SetFault(radishadaptertest.FaultUnavailable)
			time.Sleep(d.away)
		}
		s.store.Restore(older, d.away > 0)
		s.store.SetFault(radishadaptertest.FaultNone)
		time.Sleep(time.Second)
		s.rewriteConfig("/plain/")
	}
}

// TestChangesAfterStoreDrill guards against VMs that ignore all changes after the store has come back from an older copy, since the revisions of
// the changes were given out before: a moved route goes on being served by its old path, and a target that leaves gets new calls.
func TestChangesAfterStoreDrill(t *testing.T) {
	const stabilityWindow = 3 * time.Second
	for name, drill := range map[string]storeDrill{
		"away":      {away: time.Second, times: 1},
		"unnoticed": {times: 1},
		"twice":     {away: 500 * time.Millisecond, times: 2},
		"restart":   {away: time.Second, times: 1, restartsVM: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSiteCluster(t)
			s.store.SetEra(1)
			vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
			drill.play(s)
			if drill.restartsVM {
				s.restartVM(vms[0])
			}
			time.Sleep(stabilityWindow)
			s.checkDrain(vms, "/plain/x")
			s.putConfig("/moved/")
			for _, vm := range vms {
				s.eventually(vm.name+" serves only the new path", func() bool {
					newStatus, _ := s.call(vm, "/moved/x", nil)
					oldStatus, _ := s.call(vm, "/plain/x", nil)
					return newStatus == http.StatusOK && oldStatus == http.StatusNotFound
				})
			}
		})
	}
}

// restartVM ends the VM's process and starts it again.
func (s *siteCluster) restartVM(vm *siteVM) {
	s.t.Helper()
	if err := vm.cmd.Process.Signal(syscall.SIGKILL); err != nil {
		s.t.Fatal(err)
	}
	_ = vm.cmd.Wait()
	s.startProcess(vm)
	if !vm.waitUntilReady(readyTimeout) {
		s.t.Fatalf("entry VM %s was not ready within %v", vm.name, readyTimeout)
	}
}
