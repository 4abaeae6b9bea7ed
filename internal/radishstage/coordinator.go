package radishstage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// recheckInterval is how often queued pieces are considered for dispatch while no other event triggers it.
	recheckInterval = 50 * time.Millisecond
	// maxAttempts limits the number of calls that a piece may be part of.
	maxAttempts = 4
	// minDispatchInterval is the shortest time between two rounds of dispatch. In a burst, plans and calls begin and end far
	// more often, and a round for each would use up the coordinator's processor.
	minDispatchInterval = 5 * time.Millisecond
)

// Coordinator executes the stages of requests at the targets of one shard, in calls that combine pieces of several requests.
// Set the exported fields before use.
type Coordinator struct {
	Fleet  *radishfleet.Fleet
	Client radish.StageClient
	// Batch returns the limits and timing of calls to a target of the service; nil while the service is not configured.
	Batch func(service string) *radishroute.BatchSettings
	// The coordinator uses shard number Shard of the Shards shards into which the targets of each service are divided.
	Shard, Shards int
	// Metrics counts plans and calls; nothing is counted if it is nil.
	Metrics *radishmetric.Metrics
	Log     hclog.Logger

	mu      sync.Mutex
	leaving bool
	jobs    map[*job]bool
	owners  map[*radishbatch.Item]*job
	queues  map[string]*radishbatch.Queue
	// upcoming counts, by service, the pieces of admitted plans that are not queued yet, apart from those of held jobs.
	upcoming map[string]*radishbatch.ClassCounts
	// heldJobs are the jobs that are not queued yet although their inputs are complete; held counts their pieces by service.
	heldJobs     map[*job]bool
	heldQueuedAt time.Time
	held         map[string]*radishbatch.ClassCounts
	arrivals     radishadmission.Arrivals
	floors       radishadmission.Floors
	shares       radishadmission.Shares
	// hopelessAt is when the jobs were last checked for whether they can still end in time.
	hopelessAt time.Time
	// reservations counts the calls for whose results space was reserved.
	reservations uint64
	// shortAt is when a plan last found too little capacity, by service.
	shortAt map[string]time.Time
	// usable caches the usable targets by service.
	usable map[string]usableTargets
	// targets is by address.
	targets map[string]*targetState
	// retention is, by service, the moving average of the time for which a target stores a result.
	retention      map[string]time.Duration
	byteRetentions map[string]byteRetention
	// contendedAt is when calls last showed that another VM's coordinator uses the same targets.
	contendedAt  time.Time
	recheckTimer *time.Timer
	// dispatchedAt is when queued pieces were last considered for dispatch.
	dispatchedAt      time.Time
	dispatchScheduled bool
}

// Run executes the plan's stages. It returns a *RefusedError if the stages have no capacity for the plan, and ErrFailed if a
// piece could not be completed. When ctx ends, the plan's queued pieces are dropped.
func (c *Coordinator) Run(ctx context.Context, p *Plan) (*Result, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	j, err := c.admit(p)
	if err != nil {
		return nil, err
	}
	select {
	case <-j.done:
		if j.err != nil {
			return nil, j.err
		}
		return &Result{Handles: j.unreleasedHandles()}, nil
	case <-ctx.Done():
		c.mu.Lock()
		c.endJob(j, ctx.Err())
		c.mu.Unlock()
		return nil, ctx.Err()
	}
}

// admit starts the plan, or returns an error if the stages have no capacity for it or the coordinator is leaving.
func (c *Coordinator) admit(p *Plan) (*job, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.leaving {
		return nil, ErrMoved
	}
	now := time.Now()
	kinds := c.kindsOf(p)
	class := c.classOf(p, now)
	c.recordDemand(p, class, kinds, now)
	a, err := c.decide(p, class, kinds, now)
	if err != nil {
		return nil, err
	}
	if a.needsPreemption {
		c.preemptExcess(p, a.class, now)
	}
	j := newJob(p, c.typicalTime)
	j.admittedAt, j.expected, j.class, j.kinds, j.density = now, a.expected, a.class, kinds, c.density(p)
	if a.class != class {
		// The plan is admitted for the floor of its priority.
		c.recordUse(j, now)
	}
	j.typicalDuration = c.typicalDuration(j)
	c.recordTeamUse(j, 1, now)
	c.jobs[j] = true
	c.countUpcoming(j, 1)
	if mayBeHeld(a.class) && !j.isComplete() {
		c.hold(j)
	} else {
		c.advance(j)
	}
	c.dispatch(now)
	return j, nil
}

func (c *Coordinator) init() {
	if c.jobs != nil {
		return
	}
	c.jobs = make(map[*job]bool)
	c.owners = make(map[*radishbatch.Item]*job)
	c.queues = make(map[string]*radishbatch.Queue)
	c.upcoming = make(map[string]*radishbatch.ClassCounts)
	c.heldJobs = make(map[*job]bool)
	c.held = make(map[string]*radishbatch.ClassCounts)
	c.shortAt = make(map[string]time.Time)
	c.usable = make(map[string]usableTargets)
	c.targets = make(map[string]*targetState)
	c.retention = make(map[string]time.Duration)
	c.byteRetentions = make(map[string]byteRetention)
}

// advance queues the stages of the job whose inputs are complete, and ends the job once all stages are.
func (c *Coordinator) advance(j *job) {
	if j.isComplete() {
		c.endJob(j, nil)
		return
	}
	c.countUpcoming(j, -1)
	defer c.countUpcoming(j, 1)
	for _, i := range j.readyStages() {
		items := j.queueStage(i, time.Now())
		for _, item := range items {
			c.owners[item] = j
		}
		c.queueOf(j.plan.Stages[i].Service).Add(items...)
	}
}

func (c *Coordinator) queueOf(service string) *radishbatch.Queue {
	q := c.queues[service]
	if q == nil {
		q = &radishbatch.Queue{}
		c.queues[service] = q
	}
	return q
}

// endJob ends the job. On an error its queued pieces are dropped and its results are released.
func (c *Coordinator) endJob(j *job, err error) {
	if j.ended {
		return
	}
	j.ended, j.err = true, err
	delete(c.jobs, j)
	c.endHold(j)
	if !j.begun {
		c.recordTeamUse(j, -1, time.Now())
	}
	c.countUpcoming(j, -1)
	for item := range j.items {
		delete(c.owners, item)
	}
	if err != nil {
		for i, stage := range j.plan.Stages {
			if j.stages[i].queued && j.stages[i].incomplete > 0 {
				c.queueOf(stage.Service).Remove(func(item *radishbatch.Item) bool { return j.items[item] })
			}
			if !j.stages[i].released {
				c.release(nonEmpty(j.stages[i].handles))
			}
		}
	}
	c.Metrics.RecordPlan(outcomeOf(err), priorityLabel(j.plan))
	fields := []any{
		"id", j.plan.CallID, "took_ms", time.Since(j.admittedAt).Milliseconds(), "expected_ms", j.expected.Milliseconds(),
		"due_ms", j.plan.Due.Sub(j.admittedAt).Milliseconds(), "jobs", len(c.jobs), "error", radishlog.ErrorText(err),
	}
	if u := j.plan.Urgency; u != nil {
		fields = append(fields, "priority", u.Priority, "team", u.Team)
	}
	c.Log.Info("plan ended", fields...)
	close(j.done)
}

func outcomeOf(err error) string {
	var refused *RefusedError
	switch {
	case err == nil:
		return "made"
	case errors.As(err, &refused):
		return "gave_way"
	case errors.Is(err, errHopeless):
		return "hopeless"
	case errors.Is(err, ErrFailed):
		return "failed"
	case errors.Is(err, ErrMoved):
		return "moved"
	default:
		return "left"
	}
}

// Leave ends the plans of which no piece has started with ErrMoved, so that another VM executes them, and accepts no new ones.
// Two active coordinators of a shard would compete for its targets.
func (c *Coordinator) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.leaving = true
	for j := range c.jobs {
		if !j.hasStarted() {
			c.endJob(j, ErrMoved)
		}
	}
}

// Resume makes a leaving coordinator accept plans again. This is needed when the VM that should take over is leaving too.
func (c *Coordinator) Resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = false
}

// Redispatch assigns queued pieces to idle targets; call it after targets have changed.
func (c *Coordinator) Redispatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	clear(c.usable)
	c.dispatch(time.Now())
}

// dispatch starts calls with queued pieces at idle targets, at once or, if it did so just before, after minDispatchInterval.
func (c *Coordinator) dispatch(now time.Time) {
	if wait := minDispatchInterval - now.Sub(c.dispatchedAt); wait > 0 {
		if !c.dispatchScheduled {
			c.dispatchScheduled = true
			time.AfterFunc(wait, c.dispatchScheduledRound)
		}
		return
	}
	c.dispatchRound(now)
}

func (c *Coordinator) dispatchScheduledRound() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dispatchScheduled = false
	c.dispatchRound(time.Now())
}

func (c *Coordinator) dispatchRound(now time.Time) {
	c.dispatchedAt = now
	c.dropHopeless(now)
	c.queueHeld(now)
	waiting := len(c.heldJobs)
	for service, q := range c.queues {
		if q.Len() == 0 {
			continue
		}
		if batch := c.Batch(service); batch != nil {
			c.dispatchService(service, q, batch, now)
		}
		waiting += q.Len()
	}
	c.scheduleRecheck(waiting)
}

func (c *Coordinator) failItem(item *radishbatch.Item, outcome radish.PieceOutcome) {
	if j := c.owners[item]; j != nil {
		c.endJob(j, fmt.Errorf("%w: stage %d piece %d: %s", ErrFailed, item.Piece.Stage, item.Piece.Number, outcome))
	}
}

func (c *Coordinator) scheduleRecheck(waiting int) {
	if waiting == 0 {
		return
	}
	if c.recheckTimer == nil {
		c.recheckTimer = time.AfterFunc(recheckInterval, c.Redispatch)
		return
	}
	c.recheckTimer.Reset(recheckInterval)
}

// Free releases results, which makes space at the targets that store them.
func (c *Coordinator) Free(handles []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.release(handles)
}
