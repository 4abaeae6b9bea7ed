package e2e_test

import (
	"math/rand/v2"
	"net/http"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

const (
	// soakApplyTimeout is the time within which a change at the store must be in force on all VMs.
	soakApplyTimeout = 2 * time.Second
	// soakMaxLostChanges is the most changes by the operator that a drill loses.
	soakMaxLostChanges = 60
)

// drillStore makes the store come back from an older copy of itself once or twice in the period. VMs may start or be cut off meanwhile. Its draws
// are its own, so that those of the faults are the same for a seed as without it.
func (s *soak) drillStore(seed uint64, period time.Duration) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range 1 + random.IntN(2) {
		time.Sleep(time.Duration(random.Int64N(int64(period) / 4)))
		older := s.store.Copy()
		for range 1 + random.IntN(soakMaxLostChanges) {
			s.putConfig("/plain/")
			time.Sleep(time.Duration(random.IntN(80)) * time.Millisecond)
		}
		away := time.Duration(random.IntN(1000)) * time.Millisecond
		s.log("store is away for %v and comes back from an older copy", away)
		s.store.SetFault(radishadaptertest.FaultUnavailable)
		time.Sleep(away)
		s.store.Restore(older, random.IntN(2) == 0)
		s.store.SetFault(radishadaptertest.FaultNone)
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		s.writeAgain()
	}
}

// writeAgain writes what the operator and the targets wrote last, as they do when the store has lost it.
func (s *soak) writeAgain() {
	s.rewriteConfig("/plain/")
	for service, targets := range map[string][]*radishadaptertest.Target{"plain": s.plainTargets, "stage": s.stageTargets, "engine": s.engineTargets} {
		for _, target := range targets {
			s.store.Put("servers", target.ID, target.Record(service, "bandung", "ready"))
		}
	}
}

// checkChanges checks that changes at the store are in force on all VMs in time, whatever it lost before: a new route is served, and a target that
// leaves gets no calls.
func (s *soak) checkChanges() {
	leaving := s.plainTargets[0]
	s.store.Put("servers", leaving.ID, leaving.Record("plain", "bandung", "draining"))
	s.addedRoutes = append(s.addedRoutes, "/added/")
	s.putConfig("/plain/")
	time.Sleep(soakApplyTimeout)
	before := len(leaving.Executions())
	for _, vm := range s.vms {
		if status, body := s.call(vm.siteVM, "/added/x", nil); status == http.StatusNotFound {
			s.t.Errorf("%s does not serve a route that was added %v ago: %s", vm.name, soakApplyTimeout, body)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if got := len(leaving.Executions()) - before; got > 0 {
		s.t.Errorf("%s said %v ago that it leaves, and got %d calls", leaving.ID, soakApplyTimeout, got)
	}
}
