package radishsite

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// outageMemory is how long after a failed call the store counts as away for records that vanish.
	outageMemory = 2 * time.Second
	// returnTime is how long targets whose records lapsed in an outage have to come back.
	returnTime = 2 * time.Second
)

// Decoder decodes the platform's records.
type Decoder interface {
	// Config decodes a configuration; ok is false for a record that is not the one in force.
	Config(r radish.Record) (cfg *radishroute.Config, ok bool, err error)
	// Target decodes a target; an error means that the record names no target to use.
	Target(r radish.Record) (radish.Target, error)
}

// beliefs is what the VM holds for true, made from the mirrored records.
type beliefs struct {
	decoder Decoder
	mirror  *radishmirror.Mirror
	fleet   *radishfleet.Fleet
	log     hclog.Logger
	// onChange is called after targets or the configuration have changed.
	onChange func()

	config   atomic.Pointer[radishroute.Config]
	configAt atomic.Pointer[time.Time]

	mu         sync.Mutex
	storeAway  bool
	storeSince time.Time
	lastFailed time.Time
}

// take turns records that were news into beliefs; source tells where they came from.
func (b *beliefs) take(news []radish.Record, source string) {
	hasEvacuations := false
	for _, r := range news {
		switch r.Kind {
		case radish.RecordConfig:
			b.takeConfig(r, source)
		case radish.RecordTarget:
			b.takeTarget(r, source)
		case radish.RecordEvacuation:
			hasEvacuations = true
		}
	}
	if hasEvacuations {
		b.takeEvacuations(source)
	}
	b.onChange()
}

func (b *beliefs) takeConfig(r radish.Record, source string) {
	cfg, ok, err := b.decoder.Config(r)
	if err != nil {
		b.log.Error("configuration ignored", "revision", r.Revision, "source", source, "error", err.Error())
		return
	}
	known := b.config.Load()
	if !ok || known != nil && cfg.Version <= known.Version {
		return
	}
	now := time.Now()
	b.configAt.Store(&now)
	b.config.Store(cfg)
	b.log.Info("configuration in force", "version", cfg.Version, "revision", r.Revision, "source", source, "routes", len(cfg.Routes), "services", len(cfg.Services))
}

func (b *beliefs) takeTarget(r radish.Record, source string) {
	if r.Removed {
		b.removeTarget(r, source)
		return
	}
	t, err := b.decoder.Target(r)
	if err != nil {
		b.fleet.Remove(r.Name)
		b.log.Warn("target's record ignored", "target", r.Name, "revision", r.Revision, "source", source, "error", err.Error())
		return
	}
	if b.fleet.Set(t, time.Now()) {
		b.log.Info("target known", "target", t.Name, "service", t.Service, "address", t.Address, "data_centre", t.DataCentre,
			"leaving", t.Leaving, "cold_ms", t.ColdRemaining.Milliseconds(), "revision", r.Revision, "source", source)
	}
}

// removeTarget forgets a target at once, or, when the store was away, unless its record comes back soon.
func (b *beliefs) removeTarget(r radish.Record, source string) {
	b.mu.Lock()
	wasAway := time.Since(b.lastFailed) < outageMemory
	b.mu.Unlock()
	if !wasAway {
		b.fleet.Remove(r.Name)
		b.log.Info("target gone", "target", r.Name, "revision", r.Revision, "source", source)
		return
	}
	b.log.Info("target's record lapsed while the store was away", "target", r.Name, "revision", r.Revision, "source", source)
	time.AfterFunc(returnTime, func() {
		for _, known := range b.mirror.Records(radish.RecordTarget) {
			if known.Name == r.Name {
				return
			}
		}
		b.fleet.Remove(r.Name)
		b.log.Info("target gone", "target", r.Name, "revision", r.Revision, "source", "timeout")
	})
}

func (b *beliefs) takeEvacuations(source string) {
	evacuated := make(map[string]bool)
	for _, r := range b.mirror.Records(radish.RecordEvacuation) {
		evacuated[r.Name] = true
	}
	b.fleet.SetEvacuated(evacuated)
	b.log.Info("data centres evacuated", "data_centres", keys(evacuated), "source", source)
}

func keys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	return names
}

// configAge is the time since the configuration came into force at this VM; 0 before the first.
func (b *beliefs) configAge() time.Duration {
	if at := b.configAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// reach notes whether the store answered a call.
func (b *beliefs) reach(reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if !reached {
		b.lastFailed = now
	}
	if b.storeAway == !reached {
		return
	}
	b.storeAway = !reached
	if reached {
		b.log.Info("store regained", "away_ms", now.Sub(b.storeSince).Milliseconds())
	} else {
		b.log.Warn("store lost")
	}
	b.storeSince = now
}

// isStoreAway tells whether the last call to the store failed.
func (b *beliefs) isStoreAway() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.storeAway
}

// isComplete tells whether the VM knows enough to serve.
func (b *beliefs) isComplete() bool {
	return b.config.Load() != nil && b.mirror.Complete(radish.RecordTarget) > 0
}
