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
	// pollWorkers bounds the reports that are read at the same time.
	pollWorkers = 16
	// wantedFor is how long after a permit was asked for the steward goes on reading a cold target's reports.
	wantedFor = 5 * time.Second
	// stewardPolls is how many times in a report interval the steward reads the reports of wanted cold targets.
	stewardPolls = 4
)

// poller reads the load reports of the targets that this VM owns among its data centre's VMs; peers learn of
// changes by the heartbeats.
type poller struct {
	server *Server

	mu   sync.Mutex
	last map[string]radishtarget.News
}

// Run polls until ctx ends.
func (p *poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.server.Settings.Routing.ReportInterval)
	defer ticker.Stop()
	for {
		p.pollOwn(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *poller) pollOwn(ctx context.Context) {
	candidates := p.server.roster.Candidates()
	owned := make(map[string]bool)
	limit := make(chan struct{}, pollWorkers)
	var wg sync.WaitGroup
	for _, target := range p.server.table.LocalTargets() {
		owners := radish.RendezvousOwners(candidates, "poll/"+target.Name, 1)
		if len(owners) == 0 || owners[0] != p.server.Settings.VM.Name {
			continue
		}
		owned[target.Name] = true
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			p.poll(ctx, target)
		})
	}
	wg.Wait()
	p.forget(owned)
}

func (p *poller) poll(ctx context.Context, target radish.Target) {
	started := time.Now()
	report, err := p.server.targets.Load(ctx, target)
	n := radishtarget.News{Target: target.Name, State: report.State, InFlight: report.InFlight, Seen: started}
	if err != nil {
		// A target that does not answer is vouched for by nobody.
		n.State = radish.TargetUnknown
	}
	p.server.table.Observe(n)
	p.mu.Lock()
	last, known := p.last[target.Name]
	p.last[target.Name] = n
	p.mu.Unlock()
	if !known || last.State != n.State {
		p.server.heartbeats.addNews(n)
		p.server.heartbeats.sendSoon()
	}
}

func (p *poller) forget(owned map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.last {
		if !owned[name] {
			delete(p.last, name)
		}
	}
}

// own returns what this VM last read of each target that it owns.
func (p *poller) own() map[string]radishtarget.News {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := make(map[string]radishtarget.News, len(p.last))
	for name, n := range p.last {
		news[name] = n
	}
	return news
}

// coldReporter feeds the steward with fresh load reports of the cold targets for which permits are asked.
type coldReporter struct {
	server  *Server
	steward *radishpermit.Steward
}

// Run reads reports until ctx ends.
func (c *coldReporter) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.server.Settings.Routing.ReportInterval / stewardPolls)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for _, name := range c.steward.Wanted(wantedFor) {
			if target, ok := c.server.table.Target(name); ok {
				c.report(ctx, target)
			}
		}
	}
}

func (c *coldReporter) report(ctx context.Context, target radish.Target) {
	covered := c.steward.Covered(target.Name)
	report, err := c.server.targets.Load(ctx, target)
	if err == nil {
		c.steward.Report(target.Name, covered, report.InFlight)
	}
}
