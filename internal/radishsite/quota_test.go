package radishsite

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishroute"
)

// newQuotaServer returns a VM that has run for long, with limits that apply to all VMs together: 20 calls per second to a cold target, which is
// the service's rate of 10 times 1.5 plus 5, and a retry burst of 100.
func newQuotaServer(name string) *Server {
	state := newTestState()
	s := &Server{
		InitialSettings: &radish.PlatformSettings{VM: name, ColdRateFactor: 1.5, ColdRateAllowance: 5, RetryBudgetBurst: 100},
		Log:             hclog.NewNullLogger(), state: state,
	}
	s.currentSettings.Store(s.InitialSettings)
	s.membership.setKnown()
	s.peers = &peerManager{
		self: radish.VMRecord{Name: name}, mirror: state.mirror, log: hclog.NewNullLogger(), node: &radishpeer.Node{},
		seeds: func() []string { return nil },
	}
	state.config.Store(&radishroute.Config{Services: map[string]*radishroute.Service{"s": {Name: "s", ColdCallsPerSec: 10}}})
	return s
}

// setVMList gives the VM the list of the VMs vm-0 to vm-(n-1).
func (s *Server) setVMList(t *testing.T, n int) {
	t.Helper()
	var records []radish.Record
	for i := range n {
		name := fmt.Sprint("vm-", i)
		value, err := json.Marshal(radish.VMRecord{Name: name, Address: name})
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, radish.Record{Kind: radish.RecordVM, Name: name, Revision: radish.Revision(i + 1), Value: value})
	}
	s.peers.mirror.ApplyUpTo(radish.RecordVM, records, radish.Revision(n))
	s.peers.updateLinks()
}

// TestReplayAllVMsStartWithoutVMList starts all VMs at once while the store is unreachable. A VM that has no list of
// the VMs yet must not use the limits of a single VM, since all VMs together would exceed them many times over.
func TestReplayAllVMsStartWithoutVMList(t *testing.T) {
	const vms = 17
	coldLimit := 10*1.5 + 5.0
	cold, retries := 0, 0.0
	for i := range vms {
		s := newQuotaServer(fmt.Sprint("vm-", i))
		cold += s.coldQuota(radish.Target{Name: "t", Service: "s"})
		retries += s.retryBurst()
	}
	if float64(cold) > coldLimit || retries > 100 {
		t.Errorf("VMs without the VM list use %d cold calls per second and %.0f retries, limits are %.0f and 100", cold, retries, coldLimit)
	}
}

func TestVMsShareTheLimits(t *testing.T) {
	const vms = 17
	cold, retries := 0, 0.0
	for i := range vms {
		s := newQuotaServer(fmt.Sprint("vm-", i))
		s.setVMList(t, vms)
		cold += s.coldQuota(radish.Target{Name: "t", Service: "s"})
		retries += s.retryBurst()
	}
	if cold != 16 || retries < 99 || retries > 101 {
		t.Errorf("all VMs together use %d cold calls per second and %.0f retries, want 16 (0.8 of 20) and 100", cold, retries)
	}
}
