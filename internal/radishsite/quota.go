package radishsite

import (
	"time"

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
// VMs. It is 0 until the list of VMs is known and the VM holds its share.
func (s *Server) coldQuota(t radish.Target) int {
	cfg := s.state.config.Load()
	if cfg == nil || cfg.Services[t.Service] == nil || !s.peers.hasVMList() || !s.membership.holdsShare(time.Now()) {
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

const (
	// reservedFDs is the number of descriptors of a process that are kept for files.
	reservedFDs = 200
	// callerFDShare is the share of the other descriptors for connections of callers. Each of their requests may need another one for the
	// connection to a target, and the rest is for peers, the store and calls to stage targets.
	callerFDShare = 0.4
)

// maxCallerConns returns the highest number of open connections of callers, or 0 if the number of descriptors is not limited.
func (s *Server) maxCallerConns() int { return maxCallerConns(s.currentSettings.Load()) }

func maxCallerConns(settings *radish.PlatformSettings) int {
	fds := settings.MaxFDs
	if fds <= 0 {
		return 0
	}
	return max(1, int(callerFDShare*float64(fds-reservedFDs)))
}

// headerTimeout returns how long a caller's new connection may stay open without a request.
func (s *Server) headerTimeout() time.Duration {
	if cfg := s.state.config.Load(); cfg != nil && cfg.Limits.HeaderTimeout > 0 {
		return min(headerTimeout, cfg.Limits.HeaderTimeout)
	}
	return headerTimeout
}

// idleTimeout returns how long a caller's connection may stay open between two requests.
func (s *Server) idleTimeout() time.Duration {
	if cfg := s.state.config.Load(); cfg != nil && cfg.Limits.IdleTimeout > 0 {
		return min(idleTimeout, cfg.Limits.IdleTimeout)
	}
	return idleTimeout
}
