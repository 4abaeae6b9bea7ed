package radishsite

import (
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// coordinator returns the VM's own coordinator of the shard.
func (s *Server) coordinator(shard, shards int) *radishstage.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]int{shard, shards}
	c := s.coordinators[key]
	if c == nil {
		c = &radishstage.Coordinator{
			Fleet: s.fleet, Client: s.Stages, Batch: s.batchOf, Shard: shard, Shards: shards, Metrics: s.metrics, Log: s.Log.Named("stage").With("shard", shard),
		}
		s.coordinators[key] = c
	}
	return c
}

func (s *Server) batchOf(service string) *radishroute.Batch {
	cfg := s.beliefs.config.Load()
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}
	return cfg.Services[service].Batch
}

// shards returns how many shards the stage targets are divided into.
func (s *Server) shards() int {
	cfg := s.beliefs.config.Load()
	if cfg == nil {
		return 1
	}
	var services []string
	for name, service := range cfg.Services {
		if service.Batch != nil {
			services = append(services, name)
		}
	}
	return s.fleet.Shards(services, s.peers.mostCores())
}

func (s *Server) wakeCoordinators() {
	for _, c := range s.allCoordinators() {
		c.Wake()
	}
}

func (s *Server) allCoordinators() []*radishstage.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	coordinators := make([]*radishstage.Coordinator, 0, len(s.coordinators))
	for _, c := range s.coordinators {
		coordinators = append(coordinators, c)
	}
	return coordinators
}

// retryBurst is the VM's part of the repeats that all VMs may save up; none while it does not know the others.
func (s *Server) retryBurst() float64 {
	if !s.peers.isListed() {
		return 0
	}
	return s.site.Load().RetryBudgetBurst / float64(s.peers.count())
}

// coldMargin keeps the VMs' parts below the bound of all, for the time that a call is on its way.
const coldMargin = 0.8

// coldQuota is the VM's part of what the cold target bears in a second; none while it does not know the others.
func (s *Server) coldQuota(t radish.Target) int {
	cfg := s.beliefs.config.Load()
	if cfg == nil || cfg.Services[t.Service] == nil || !s.peers.isListed() {
		return 0
	}
	site := s.site.Load()
	all := int(coldMargin * (cfg.Services[t.Service].ColdPerSec*site.ColdRateFactor + site.ColdRateAllowance))
	names := s.peers.names()
	quota := all / len(names)
	for _, name := range radish.RendezvousOwners(names, "cold/"+t.Name, all%len(names)) {
		if name == s.Site.VM {
			quota++
		}
	}
	return quota
}
