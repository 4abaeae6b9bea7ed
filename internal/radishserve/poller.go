package radishserve

import (
	"context"
	"sync"
	"time"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpermit"
)

// Polling of load reports.
const (
	// pollWorkers is the maximum number of load reports that are read concurrently.
	pollWorkers = 16
	// permitRequestPeriod is how long after a permit request for a cold target the steward continues to read its load
	// report.
	permitRequestPeriod = 5 * time.Second
	// stewardPollsPerInterval is how many times per report interval the steward reads the load reports of cold targets
	// with recent permit requests.
	stewardPollsPerInterval = 4
)

// loadPoller reads the load reports of the targets in this VM's data centre that rendezvous hashing assigns to this VM.
// Changes of their states are sent to the peers in heartbeats.
type loadPoller struct {
	server *Server

	mu   sync.Mutex
	last map[string]radishtarget.Observation // last observed state by target name
}

// Run polls at the report interval until ctx is cancelled.
func (p *loadPoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.server.Settings.Routing.ReportInterval)
	defer ticker.Stop()
	for {
		p.pollAssigned(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// pollAssigned reads the load reports of the targets that are assigned to this VM.
func (p *loadPoller) pollAssigned(ctx context.Context) {
	candidates := p.server.roster.Candidates()
	assigned := make(map[string]bool)
	slots := make(chan struct{}, pollWorkers)
	var wg sync.WaitGroup
	for _, target := range p.server.targetTable.LocalTargets() {
		owners := radish.RendezvousOwners(candidates, "poll/"+target.Name, 1)
		if len(owners) == 0 || owners[0] != p.server.Settings.VM.Name {
			continue
		}
		assigned[target.Name] = true
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			p.poll(ctx, target)
		})
	}
	wg.Wait()
	p.removeUnassigned(assigned)
}

func (p *loadPoller) poll(ctx context.Context, target radish.Target) {
	requestedAt := time.Now()
	report, err := p.server.targets.Load(ctx, target)
	observed := radishtarget.Observation{Target: target.Name, State: report.State, InFlight: report.InFlight, ObservedAt: requestedAt}
	if err != nil {
		// Without a report the state is unknown, and no VM confirms the last known state any longer.
		observed.State = radish.TargetUnknown
	}
	p.server.targetTable.Observe(observed)
	p.mu.Lock()
	last, known := p.last[target.Name]
	p.last[target.Name] = observed
	p.mu.Unlock()
	if !known || last.State != observed.State {
		p.server.heartbeats.queueState(observed)
		p.server.heartbeats.triggerSend()
	}
}

// removeUnassigned removes the states of targets that are no longer assigned to this VM.
func (p *loadPoller) removeUnassigned(assigned map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.last {
		if !assigned[name] {
			delete(p.last, name)
		}
	}
}

// states returns the last observed state of each target that is assigned to this VM.
func (p *loadPoller) states() map[string]radishtarget.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make(map[string]radishtarget.Observation, len(p.last))
	for name, observed := range p.last {
		states[name] = observed
	}
	return states
}

// coldPoller passes fresh load reports of cold targets with recent permit requests to the steward.
type coldPoller struct {
	server  *Server
	steward *radishpermit.Granter
}

// Run reads load reports until ctx is cancelled.
func (c *coldPoller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.server.Settings.Routing.ReportInterval / stewardPollsPerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, name := range c.steward.RequestedTargets(permitRequestPeriod) {
			if target, ok := c.server.targetTable.Target(name); ok {
				c.report(ctx, target)
			}
		}
	}
}

func (c *coldPoller) report(ctx context.Context, target radish.Target) {
	arrived := c.steward.ArrivedPermits(target.Name)
	report, err := c.server.targets.Load(ctx, target)
	if err == nil {
		c.steward.ReportLoad(target.Name, arrived, report.InFlight)
	}
}
