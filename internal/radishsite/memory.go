package radishsite

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishconn"
	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/internal/radishmemory"
	"radishramp.example/radishramp/pkg/radish"
)

// memoryLogInterval is the shortest time between two log lines about a lack of memory.
const memoryLogInterval = 5 * time.Second

// memoryBudget returns the bytes that calls may hold; 0 means no limit.
func (s *Server) memoryBudget() int64 {
	return radishmemory.Budget(s.currentSettings.Load().MemoryMB)
}

// BufferSizes returns the sizes of the kernel's buffers for requests and for responses, of connections of callers and to targets; 0 means
// the kernel's default.
func BufferSizes(settings *radish.PlatformSettings) (request, response int) {
	return radishmemory.BufferSizes(settings.MemoryMB, maxCallerConns(settings))
}

// callerListenConfig returns the configuration of the socket for callers, with buffers that fit the memory.
func (s *Server) callerListenConfig() *net.ListenConfig {
	request, response := BufferSizes(s.InitialSettings)
	return radishdial.NewCallerListenConfig(s.SendTimeout, radishdial.Buffers{Receive: request, Send: response})
}

// callerListener wraps the listener for callers so that connections are limited and heads of requests count towards the memory budget.
func (s *Server) callerListener(inner net.Listener) net.Listener {
	return s.callerConns.Listener(&radishconn.HeadListener{
		Listener: inner, Account: s.memory, MaxHeadBytes: s.maxHeaderBytes, HeaderTimeout: s.headerTimeout,
		OnDrop: radishconn.DropReporter(s.metrics, s.callerConns.Log),
	})
}

// maxHeaderBytes returns the configuration's limit on the head of a request, or 0 until a configuration is loaded.
func (s *Server) maxHeaderBytes() int {
	if cfg := s.state.config.Load(); cfg != nil {
		return cfg.Limits.MaxHeaderBytes
	}
	return 0
}

func (s *Server) registerMemoryGauges() error {
	gauges := []struct {
		name, description string
		read              func(radishmemory.Stats) int64
	}{
		{"radishramp_memory_held", "Bytes that calls hold.", func(m radishmemory.Stats) int64 { return m.Held }},
		{"radishramp_memory_budget", "Bytes that calls may hold; 0 means no limit.", func(m radishmemory.Stats) int64 { return m.Budget }},
		{"radishramp_memory_refused", "Requests of calls for memory that were refused.", func(m radishmemory.Stats) int64 { return m.Refused }},
		{"radishramp_memory_withdrawn", "Calls that lost their memory to others.", func(m radishmemory.Stats) int64 { return m.Evicted }},
	}
	for _, g := range gauges {
		if err := s.metrics.RegisterGauge(g.name, g.description, func() float64 { return float64(g.read(s.memory.Stats())) }); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// logMemory logs, at most once in the interval, that calls were refused or cut off for lack of memory.
func (s *Server) logMemory(ctx context.Context) error {
	var last radishmemory.Stats
	return radish.Every(ctx, memoryLogInterval, func(time.Time) {
		m := s.memory.Stats()
		if m.Refused != last.Refused || m.Evicted != last.Evicted {
			s.Log.Warn("memory is short", "held", m.Held, "budget", m.Budget, "grants", m.Grants,
				"refused", m.Refused-last.Refused, "withdrawn", m.Evicted-last.Evicted)
		}
		last = m
	})
}
