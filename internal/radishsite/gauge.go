package radishsite

import (
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishmetric"
)

func (s *Server) registerGauges() error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"radishramp_in_flight", "Requests in flight.", func() float64 { return float64(s.inFlight.Load()) }},
		{"radishramp_config_version", "Version of the configuration in force.", func() float64 { return float64(s.configVersion()) }},
		{"radishramp_config_age_seconds", "Time since the configuration came into force here.", func() float64 { return s.state.configAge().Seconds() }},
		{"radishramp_peers_linked", "Peers with an open link.", func() float64 { return float64(len(s.peers.node.Linked())) }},
		{"radishramp_peer_bytes_sent", "Bytes sent over the peer links.", func() float64 { sent, _ := s.peers.node.Traffic(); return float64(sent) }},
		{"radishramp_peer_bytes_received", "Bytes received over the peer links.", func() float64 { _, received := s.peers.node.Traffic(); return float64(received) }},
		{"radishramp_panics", "Requests and calls of peers that ended because their handler panicked.", func() float64 {
			return float64(s.panics.Load() + s.peers.node.Panics())
		}},
		{"radishramp_quarantined_groups", "Groups of prompt parts whose calls are refused because they crash targets.", func() float64 {
			return float64(len(s.quarantine.Groups(time.Now())))
		}},
		{"radishramp_invalid_pauses", "Responses of targets that asked for a pause of no valid length.", func() float64 { return float64(s.invalidPauses.Load()) }},
		{"radishramp_peer_accept_errors", "Failures to accept a link of a peer, for example for lack of descriptors.", func() float64 {
			return float64(s.peers.node.AcceptErrors())
		}},
		{"radishramp_caller_connections", "Open connections of callers.", func() float64 { return float64(s.callerConns.Stats().Open) }},
		{"radishramp_caller_connections_refused", "Connections of callers closed when they were accepted, beyond the limit.", func() float64 {
			return float64(s.callerConns.Stats().Refused)
		}},
		{"radishramp_caller_connections_closed", "Unused connections of callers closed after their time or in favour of new ones.", func() float64 {
			return float64(s.callerConns.Stats().Closed)
		}},
		{"radishramp_rollouts_running", "Orders to roll out a version that have no final state.", func() float64 { return float64(s.rollouts.runningCount()) }},
		{"radishramp_store_away", "1 while the store does not answer.", func() float64 { return radishmetric.BoolValue(s.state.isStoreUnreachable()) }},
		{"radishramp_store_era", "How often the store has come back from an older copy, as it reports.", func() float64 { return float64(s.mirror.Era()) }},
		{"radishramp_invalid_store_eras", "Responses of the store whose era was ignored.", func() float64 { return float64(s.invalidEras.Load()) }},
		{"radishramp_is_ready", "1 while the VM says that it is ready.", func() float64 { return radishmetric.BoolValue(s.isReady()) }},
	}
	for _, g := range gauges {
		if err := s.metrics.RegisterGauge(g.name, g.description, g.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *Server) configVersion() int64 {
	if cfg := s.state.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}
