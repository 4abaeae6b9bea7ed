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

// newSharing returns a VM with a service whose cold targets bear 10 calls a second of all VMs, and 100 repeats for all.
func newSharing(name string) *Server {
	b := newBeliefs()
	s := &Server{Site: &radish.PlatformSettings{VM: name, ColdRateFactor: 1.5, ColdRateAllowance: 5, RetryBudgetBurst: 100}, Log: hclog.NewNullLogger(), beliefs: b}
	s.site.Store(s.Site)
	s.peers = &peers{self: radish.VMRecord{Name: name}, mirror: b.mirror, log: hclog.NewNullLogger(), node: &radishpeer.Node{}, seeds: func() []string { return nil }}
	b.config.Store(&radishroute.Config{Services: map[string]*radishroute.Service{"s": {Name: "s", ColdPerSec: 10}}})
	return s
}

// TestReplayAllVMsStartWithoutTheirList plays the start of all VMs at once while the store is away: until they know of each
// other, none takes the part of a VM that is alone, since all of them together would pass the bounds many times over.
func TestReplayAllVMsStartWithoutTheirList(t *testing.T) {
	const vms = 17
	coldBound := 10*1.5 + 5.0
	cold, repeats := 0, 0.0
	for i := range vms {
		s := newSharing(fmt.Sprint("vm-", i))
		cold += s.coldQuota(radish.Target{Name: "t", Service: "s"})
		repeats += s.retryBurst()
	}
	if float64(cold) > coldBound || repeats > 100 {
		t.Errorf("VMs that know of no other take %d cold calls a second and %.0f repeats, bounds are %.0f and 100", cold, repeats, coldBound)
	}
}

func TestVMsShareTheBounds(t *testing.T) {
	const vms = 17
	cold, repeats := 0, 0.0
	for i := range vms {
		s := newSharing(fmt.Sprint("vm-", i))
		var records []radish.Record
		for n := range vms {
			name := fmt.Sprint("vm-", n)
			value, err := json.Marshal(radish.VMRecord{Name: name, Address: name})
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, radish.Record{Kind: radish.RecordVM, Name: name, Revision: int64(n + 1), Value: value})
		}
		s.peers.mirror.ApplyUpTo(radish.RecordVM, records, vms)
		s.peers.update()
		cold += s.coldQuota(radish.Target{Name: "t", Service: "s"})
		repeats += s.retryBurst()
	}
	if cold != 16 || repeats < 99 || repeats > 101 {
		t.Errorf("all VMs together take %d cold calls a second and %.0f repeats, want 0.8 of 20, and 100", cold, repeats)
	}
}
