package radishsite

import (
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radishroute"
)

// coordinator returns this VM's coordinator for the shard and creates it on first use.
func (s *Server) coordinator(shard, shards int) *radishstage.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]int{shard, shards}
	coordinator := s.coordinators[key]
	if coordinator == nil {
		coordinator = &radishstage.Coordinator{
			Fleet: s.fleet, Client: s.StageClient, Batch: s.batchSettings, Shard: shard, Shards: shards, Metrics: s.metrics,
			Log: s.Log.Named("stage").With("shard", shard),
		}
		s.coordinators[key] = coordinator
	}
	return coordinator
}

func (s *Server) batchSettings(service string) *radishroute.BatchSettings {
	cfg := s.state.config.Load()
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}
	return cfg.Services[service].Batch
}

// shardCount returns the number of shards into which the stage targets are divided.
func (s *Server) shardCount() int {
	cfg := s.state.config.Load()
	if cfg == nil {
		return 1
	}
	var services []string
	for name, service := range cfg.Services {
		if service.Batch != nil {
			services = append(services, name)
		}
	}
	return s.fleet.ShardCount(services, s.peers.maxCores())
}

func (s *Server) redispatchAll() {
	for _, coordinator := range s.allCoordinators() {
		coordinator.Redispatch()
	}
}

// resultsOfOthers returns the number of stage results that this VM's coordinators have at the service's targets of other versions.
func (s *Server) resultsOfOthers(service, version string) int {
	n := 0
	for _, coordinator := range s.allCoordinators() {
		n += coordinator.ResultsOfOthers(service, version)
	}
	return n
}

func (s *Server) allCoordinators() []*radishstage.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	coordinators := make([]*radishstage.Coordinator, 0, len(s.coordinators))
	for _, coordinator := range s.coordinators {
		coordinators = append(coordinators, coordinator)
	}
	return coordinators
}
