package radishsite

import (
	"radishramp.example/radishramp/pkg/radish"
)

// retryBurst returns this VM's share of the retry burst that all VMs have together, or 0 until the list of VMs is
// known.
func (s *Server) retryBurst() float64 {
	if !s.peers.hasVMList() {
		return 0
	}
	return s.currentSettings.Load().RetryBudgetBurst / float64(s.peers.vmCount())
}

// coldRateMargin keeps the sum of the VMs' quotas below the limit for all VMs, to allow for the time that calls spend
// in transit.
const coldRateMargin = 0.8

// coldQuota returns how many calls per second this VM may send to the cold target, as its share of the limit for all
// VMs. It is 0 until the list of VMs is known.
func (s *Server) coldQuota(t radish.Target) int {
	cfg := s.state.config.Load()
	if cfg == nil || cfg.Services[t.Service] == nil || !s.peers.hasVMList() {
		return 0
	}
	settings := s.currentSettings.Load()
	total := int(coldRateMargin * (cfg.Services[t.Service].ColdCallsPerSec*settings.ColdRateFactor + settings.ColdRateAllowance))
	names := s.peers.vmNames()
	quota := total / len(names)
	for _, name := range radish.RendezvousOwners(names, "cold/"+t.Name, total%len(names)) {
		if name == s.InitialSettings.VM {
			quota++
		}
	}
	return quota
}
