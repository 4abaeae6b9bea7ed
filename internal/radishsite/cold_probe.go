package radishsite

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// coldProbeTick is how often a VM looks for targets that it has to ask, and coldProbeInterval how often each target is asked.
	coldProbeTick     = 100 * time.Millisecond
	coldProbeInterval = time.Second
	coldProbeTimeout  = 700 * time.Millisecond
	// maxColdProbes limits the health checks in flight.
	maxColdProbes = 16
)

// coldProber asks targets for their health while neither this VM nor a peer of it reaches the store: their records cannot say then that they
// have become cold. Each target is asked by one of the VMs that are in touch with each other; what it says, the VMs tell each other.
type coldProber struct {
	server  *Server
	checker radish.TargetHealthChecker
	log     hclog.Logger

	// dueAt holds, by name, when it is next decided which VM asks the target.
	dueAt  map[string]time.Time
	slots  chan struct{}
	checks sync.WaitGroup
}

// Run asks targets until ctx ends.
func (p *coldProber) Run(ctx context.Context) error {
	p.dueAt, p.slots = make(map[string]time.Time), make(chan struct{}, maxColdProbes)
	defer p.checks.Wait()
	return radish.Every(ctx, coldProbeTick, func(now time.Time) { p.step(ctx, now) })
}

func (p *coldProber) step(ctx context.Context, now time.Time) {
	if !p.server.state.isStoreUnreachable() || !p.server.peers.lacksStorePeer() {
		clear(p.dueAt)
		return
	}
	cfg := p.server.state.config.Load()
	if cfg == nil {
		return
	}
	vms := p.server.peers.availableVMs()
	for _, service := range cfg.Services {
		if service.ColdCallsPerSec <= 0 || service.HealthPath == "" {
			continue
		}
		for _, t := range p.server.fleet.WarmTargets(service.Name, now) {
			if now.Before(p.dueAt[t.Name]) {
				continue
			}
			if p.isProberOf(t, vms) && !p.ask(ctx, t, service.HealthPath) {
				return
			}
			p.dueAt[t.Name] = now.Add(coldProbeInterval)
		}
	}
}

// isProberOf reports whether this VM is the one of the given VMs that asks the target.
func (p *coldProber) isProberOf(t radish.Target, vms []string) bool {
	return radish.RendezvousOwners(vms, "health/"+t.Name, 1)[0] == p.server.peers.self.Name
}

// ask starts a health check of the target, and reports whether there was a slot for it.
func (p *coldProber) ask(ctx context.Context, t radish.Target, path string) bool {
	select {
	case p.slots <- struct{}{}:
	default:
		return false
	}
	p.checks.Go(func() {
		defer func() { <-p.slots }()
		ctx, cancel := context.WithTimeout(ctx, coldProbeTimeout)
		defer cancel()
		if err := p.checker.CheckHealth(ctx, t, path); err != nil {
			p.log.Debug("health check failed", "target", t.Name, "error", err.Error())
		}
	})
	return true
}
