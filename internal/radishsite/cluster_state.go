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
	// minOutage is how long no call to the store must have succeeded for that to count as an outage, in which records of targets may expire.
	minOutage = time.Second
	// lapsedRecordGrace is how long after an outage of the store the removal of a target's record is attributed to the outage. The target stays
	// in use until then, so that a running one can write its record again.
	lapsedRecordGrace = 2 * time.Second
)

// Decoder decodes the platform's records.
type Decoder interface {
	// Config decodes a configuration; ok is false if the record is not the configuration in force.
	Config(r radish.Record) (cfg *radishroute.Config, ok bool, err error)
	// Target decodes a target; an error means that the record does not describe a usable target.
	Target(r radish.Record) (radish.Target, error)
	// Rollout decodes an order; an error means that the record does not describe one.
	Rollout(r radish.Record) (radish.RolloutOrder, error)
}

// clusterState is the VM's current view of the configuration, the targets and the store's availability, decoded from
// the mirrored records.
type clusterState struct {
	decoder Decoder
	mirror  *radishmirror.Mirror
	fleet   *radishfleet.Fleet
	// rollouts keeps the operator's orders; nil where they are not in force.
	rollouts *rolloutManager
	log      hclog.Logger
	// onChange is called after targets or the configuration have changed.
	onChange func()

	// keepsEvidence is whether the store keeps evidence on prompts that crash targets.
	keepsEvidence bool
	// orders and evidence are the waits for the lists without which the VM must not serve.
	orders, evidence listWait

	// applyMu is held while records are applied.
	applyMu sync.Mutex

	config   atomic.Pointer[radishroute.Config]
	configAt atomic.Pointer[time.Time]

	mu               sync.Mutex
	storeUnreachable bool
	storeChangedAt   time.Time
	// lastStoreSuccess is when a call to the store succeeded; failingSince is since when none has, the zero time if the last one did.
	lastStoreSuccess, failingSince time.Time
	// outageEndedAt is the end of the last outage of the store.
	outageEndedAt time.Time
}

func newClusterState(
	decoder Decoder, mirror *radishmirror.Mirror, fleet *radishfleet.Fleet, log hclog.Logger, onChange func(),
) *clusterState {
	return &clusterState{
		decoder: decoder, mirror: mirror, fleet: fleet, log: log, onChange: onChange,
		orders: listWait{name: "orders", max: maxOrdersWait, log: log}, evidence: listWait{name: "evidence on crashes", max: maxEvidenceWait, log: log},
	}
}

// apply updates the state from changed records of the mirror. source names their origin in log lines. Changes from several sources may come in
// another order than the mirror got them, so that the mirror's newest record counts.
func (c *clusterState) apply(changed []radish.Record, source string) {
	c.applyRecords(changed, source)
	c.onChange()
}

func (c *clusterState) applyRecords(changed []radish.Record, source string) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	hasEvacuations := false
	for _, r := range changed {
		if newest, ok := c.mirror.Record(r.Kind, r.Name); ok && newest.Revision > r.Revision {
			r = newest
		}
		switch r.Kind {
		case radish.RecordConfig:
			c.applyConfig(r, source)
		case radish.RecordTarget:
			c.applyTarget(r, source)
		case radish.RecordEvacuation:
			hasEvacuations = true
		case radish.RecordRollout:
			c.applyRollout(r, source)
		}
	}
	if c.mirror.CompleteRevision(radish.RecordTarget) > 0 {
		c.fleet.HoldNewVersions()
	}
	if hasEvacuations {
		c.applyEvacuations(source)
	}
}

func (c *clusterState) applyConfig(r radish.Record, source string) {
	cfg, ok, err := c.decoder.Config(r)
	if err != nil {
		c.log.Error("invalid configuration record ignored", "revision", r.Revision.String(), "source", source, "error", err.Error())
		return
	}
	current := c.config.Load()
	if !ok || current != nil && cfg.Version <= current.Version {
		return
	}
	now := time.Now()
	c.configAt.Store(&now)
	c.config.Store(cfg)
	c.log.Info("configuration in force", "version", cfg.Version, "revision", r.Revision.String(), "source", source,
		"routes", len(cfg.Routes), "services", len(cfg.Services))
}

func (c *clusterState) applyTarget(r radish.Record, source string) {
	if r.Removed {
		c.removeTarget(r, source)
		return
	}
	t, err := c.decoder.Target(r)
	if err != nil {
		c.fleet.Remove(r.Name)
		c.log.Warn("invalid target record ignored", "target", r.Name, "revision", r.Revision.String(), "source", source, "error", err.Error())
		return
	}
	if c.fleet.Set(t, time.Now()) {
		c.log.Info("target known", "target", t.Name, "service", t.Service, "address", t.Address, "data_centre", t.DataCentre,
			"leaving", t.Leaving, "cold_ms", t.ColdRemaining.Milliseconds(), "revision", r.Revision.String(), "source", source)
	}
}

// removeTarget removes a target at once. If there was an outage of the store shortly before, it removes the target at the end of a grace period
// unless its record has reappeared.
func (c *clusterState) removeTarget(r radish.Record, source string) {
	grace := c.outageGrace(time.Now())
	if grace <= 0 {
		c.fleet.Remove(r.Name)
		c.log.Info("target gone", "target", r.Name, "revision", r.Revision.String(), "source", source)
		return
	}
	c.log.Info("target's record lapsed while the store was away", "target", r.Name, "revision", r.Revision.String(), "source", source,
		"grace_ms", grace.Milliseconds())
	time.AfterFunc(grace, func() { c.removeLapsed(r) })
}

// removeLapsed removes a target whose record has not reappeared.
func (c *clusterState) removeLapsed(r radish.Record) {
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if newest, ok := c.mirror.Record(r.Kind, r.Name); ok && !newest.Removed {
		return
	}
	c.fleet.Remove(r.Name)
	c.log.Info("target gone", "target", r.Name, "revision", r.Revision.String(), "source", "timeout")
}

func (c *clusterState) applyRollout(r radish.Record, source string) {
	if c.rollouts == nil {
		return
	}
	if r.Removed {
		c.rollouts.removeOrder(r.Name, source)
		return
	}
	order, err := c.decoder.Rollout(r)
	if err != nil {
		c.log.Error("invalid rollout record ignored", "rollout", r.Name, "revision", r.Revision.String(), "source", source, "error", err.Error())
		return
	}
	c.rollouts.setOrder(order, source, time.Now())
}

func (c *clusterState) applyEvacuations(source string) {
	evacuated := make(map[string]bool)
	for _, r := range c.mirror.Records(radish.RecordEvacuation) {
		evacuated[r.Name] = true
	}
	c.fleet.SetEvacuated(evacuated)
	c.log.Info("data centres evacuated", "data_centres", keys(evacuated), "source", source)
}

func keys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	return names
}

// configAge returns the time since the configuration came into force at this VM, or 0 before the first configuration.
func (c *clusterState) configAge() time.Duration {
	if at := c.configAt.Load(); at != nil {
		return time.Since(*at)
	}
	return 0
}

// recordStoreCall records whether a call to the store that started at the time succeeded, and logs changes of the store's availability.
func (c *clusterState) recordStoreCall(startedAt time.Time, succeeded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case succeeded:
		if c.isOutage(now) {
			c.outageEndedAt = now
		}
		c.lastStoreSuccess, c.failingSince = now, time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = startedAt
		if c.lastStoreSuccess.After(startedAt) {
			c.failingSince = c.lastStoreSuccess
		}
	}
	if c.storeUnreachable == !succeeded {
		return
	}
	c.storeUnreachable = !succeeded
	if succeeded {
		c.log.Info("store regained", "away_ms", now.Sub(c.storeChangedAt).Milliseconds())
	} else {
		c.log.Warn("store lost")
	}
	c.storeChangedAt = now
}

// isOutage reports whether no call to the store has succeeded for so long that records of targets may have expired. One call that failed says
// nothing about the store: its connection, or this VM alone, may have been turned away. The caller holds c.mu.
func (c *clusterState) isOutage(now time.Time) bool {
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) >= minOutage
}

// outageGrace returns how much longer targets stay in use whose records are removed now: 0 or less if there was no outage of the store shortly
// before. The time runs from the end of the outage, since the removal of a target that leaves must not take effect later for it.
func (c *clusterState) outageGrace(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isOutage(now) {
		return lapsedRecordGrace
	}
	if c.outageEndedAt.IsZero() {
		return 0
	}
	return c.outageEndedAt.Add(lapsedRecordGrace).Sub(now)
}

// isStoreUnreachable reports whether the last call to the store failed.
func (c *clusterState) isStoreUnreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeUnreachable
}

// isSynced reports whether the VM has a configuration and the complete list of targets, which it needs to serve, and the other lists without
// which it must not serve.
func (c *clusterState) isSynced() bool {
	now := time.Now()
	return c.config.Load() != nil && c.mirror.CompleteRevision(radish.RecordTarget) > 0 && c.hasOrders(now) && c.hasEvidence(now)
}

// maxOrdersWait and maxEvidenceWait are how long a VM that lacks nothing else waits for the list of orders and for the evidence on prompts
// that crash targets.
const (
	maxOrdersWait   = 3 * time.Second
	maxEvidenceWait = 2 * time.Second
)

// hasOrders reports whether the VM has the list of orders, where they are in force, and what its peers know of earlier ones, or has waited
// long enough for them.
func (c *clusterState) hasOrders(now time.Time) bool {
	if c.rollouts == nil {
		return true
	}
	return c.orders.isOver(now, func() bool { return c.mirror.CompleteRevision(radish.RecordRollout) > 0 && c.rollouts.knowsHistory() })
}

// hasEvidence reports whether the VM has the evidence of the store, where it is kept, or has waited long enough for it.
func (c *clusterState) hasEvidence(now time.Time) bool {
	return !c.keepsEvidence || c.evidence.isOver(now, func() bool { return c.mirror.CompleteRevision(radish.RecordCrashEvidence) > 0 })
}

// servedConfig returns the configuration by which calls are served, or nil before there is one. A VM that does not know the orders yet must
// not serve calls with all versions, and one without the evidence must not send prompts that have crashed targets.
func (c *clusterState) servedConfig() *radishroute.Config {
	now := time.Now()
	if cfg := c.config.Load(); cfg != nil && c.hasOrders(now) && c.hasEvidence(now) {
		return cfg
	}
	return nil
}
