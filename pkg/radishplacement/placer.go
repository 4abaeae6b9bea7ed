package radishplacement

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishlease"
)

// reportReaders bounds the reports that are read at the same time.
const reportReaders = 16

// firstTerm is the term of a lease that nobody held before, so that no orders of a predecessor are under way.
const firstTerm = 1

// arrivalMargin is how long a target may take to act on an order that was sent in time.
const arrivalMargin = 500 * time.Millisecond

// Plan is the wanted state of all targets by one generation of the configuration.
type Plan struct {
	// Generation is the fencing number of the plan's orders.
	Generation uint64
	Groups     []Group
}

// Group are the targets of one service.
type Group struct {
	Service string
	// ChecksFencing tells whether the targets refuse orders with a lower fencing number than they took.
	ChecksFencing bool
	Wants         []Want
}

// Want is the wanted state of one target.
type Want struct {
	Target radish.Target
	Engine radish.Engine
	// AtATime is how many targets of the group may load when this one is ordered to, at least 1.
	AtATime int
}

// Placer gives orders while it holds the lease; set the exported fields before Run.
type Placer struct {
	Lease  radishlease.Holder
	Client radish.OrderClient
	// Plan returns the wanted state by the configuration in force here.
	Plan func() Plan
	// Newest reads the newest accepted generation from the platform.
	Newest func(ctx context.Context) (uint64, error)
	// Interval is the time between two comparisons of the wanted state with the targets' reports.
	Interval time.Duration
	// OrderTimeout bounds an order, and so the time for which a new holder of the lease waits before its first one.
	OrderTimeout time.Duration
	// OnOrder is told each order's service and outcome.
	OnOrder func(service, outcome string)
	Log     hclog.Logger

	settledTerm uint64
}

// Run compares and orders until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.Interval)
	defer ticker.Stop()
	for {
		p.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *Placer) round(ctx context.Context) {
	if !p.Lease.IsHeld() {
		return
	}
	plan := p.Plan()
	if len(plan.Groups) == 0 {
		return
	}
	isSettled := p.isSettled(ctx, plan.Generation)
	var groups errgroup.Group
	groups.SetLimit(reportReaders)
	for _, g := range plan.Groups {
		if g.ChecksFencing || isSettled {
			groups.Go(func() error { p.place(ctx, g, plan.Generation); return nil })
		}
	}
	_ = groups.Wait()
}

// isSettled (spec: Settle) tells whether targets that check no fencing number may get orders in this term: orders of the predecessor
// have run out, and this VM's configuration is not behind what the predecessor can have ordered.
func (p *Placer) isSettled(ctx context.Context, generation uint64) bool {
	lease := p.Lease.Current()
	if lease.Term == p.settledTerm {
		return true
	}
	if lease.Since.IsZero() || (lease.Term > firstTerm && time.Since(lease.Since) < p.OrderTimeout+arrivalMargin) {
		return false
	}
	newest, err := p.Newest(ctx)
	if err != nil || newest > generation {
		return false
	}
	p.settledTerm = lease.Term
	return true
}

// place orders the targets of a group that differ from what is wanted, as many at a time as may load.
func (p *Placer) place(ctx context.Context, g Group, generation uint64) {
	reports := p.readReports(ctx, g)
	loading := 0
	for _, r := range reports {
		if r != nil && r.IsLoading {
			loading++
		}
	}
	for i, want := range g.Wants {
		r := reports[i]
		if r == nil || r.IsLoading || r.IsEqual(want.Engine) || loading >= want.AtATime {
			continue
		}
		err := p.order(ctx, g, want, generation)
		if isKnownNotTaken(err) {
			continue
		}
		loading++
		if err != nil {
			// The order may still arrive, and the next one must not be overtaken by it.
			sleep(ctx, arrivalMargin)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readReports returns the report of each target of the group, nil where there is none.
func (p *Placer) readReports(ctx context.Context, g Group) []*radish.EngineReport {
	reports := make([]*radish.EngineReport, len(g.Wants))
	var readers errgroup.Group
	readers.SetLimit(reportReaders)
	for i, want := range g.Wants {
		readers.Go(func() error {
			if r, err := p.Client.Engine(ctx, want.Target); err == nil {
				reports[i] = &r
			}
			return nil
		})
	}
	_ = readers.Wait()
	return reports
}

// order (spec: Order) sends one order and reports its outcome.
func (p *Placer) order(ctx context.Context, g Group, want Want, generation uint64) error {
	err := p.send(ctx, &radish.Order{Target: want.Target, Engine: want.Engine, Fence: generation, NotAfter: time.Now().Add(p.OrderTimeout)})
	outcome := outcomeOf(err)
	if p.OnOrder != nil {
		p.OnOrder(g.Service, outcome)
	}
	p.Log.Info("order", "target", want.Target.Name, "service", g.Service, "fence", generation, "model", want.Engine.Model,
		"version", want.Engine.Version, "role", want.Engine.Role, "outcome", outcome)
	return err
}

func (p *Placer) send(ctx context.Context, o *radish.Order) error {
	ctx, cancel := context.WithDeadline(ctx, o.NotAfter)
	defer cancel()
	// The lease is tested last: whatever delayed this call until here, a lapsed lease orders nothing.
	if !p.Lease.IsHeld() {
		return radish.ErrLeaseLost
	}
	return p.Client.Order(ctx, o)
}

func isKnownNotTaken(err error) bool {
	return errors.Is(err, radish.ErrFenced) || errors.Is(err, radish.ErrNotSent) || errors.Is(err, radish.ErrLeaseLost)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "taken"
	case errors.Is(err, radish.ErrFenced):
		return "fenced"
	case isKnownNotTaken(err):
		return "not_sent"
	default:
		return "unknown"
	}
}
