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
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// recheckInterval is how often waiting pieces are looked at when nothing happens.
	recheckInterval = 50 * time.Millisecond
	// maxTries is how many calls a piece may be part of.
	maxTries = 4
)

// Coordinator runs the stages of calls at the targets of one shard in shared calls; set the exported fields before use.
type Coordinator struct {
	Fleet  *radishfleet.Fleet
	Client radish.StageClient
	// Batch returns how a target of the service works; nil while the service is not configured.
	Batch func(service string) *radishroute.Batch
	// Shard of Shards is the part of each service's targets that this coordinator uses.
	Shard, Shards int
	// Metrics counts plans and calls; nil counts nothing.
	Metrics *radishmetric.Metrics
	Log     hclog.Logger

	mu      sync.Mutex
	leaving bool
	jobs    map[*job]bool
	owners  map[*radishbatch.Item]*job
	queues  map[string]*radishbatch.Queue
	slots   map[string]*slot
	// holds is, by service, the moving average of the time for which results take up room.
	holds map[string]time.Duration
	// rivalAt is when another VM's coordinator was last seen at the targets.
	rivalAt time.Time
	recheck *time.Timer
}

// Run runs the plan's stages; a *RefusedError when there is no room for them, ErrFailed when a piece was not made. When
// ctx ends, pieces that wait are dropped.
func (c *Coordinator) Run(ctx context.Context, p *Plan) (*Result, error) {
	if err := p.check(); err != nil {
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
		return &Result{Handles: j.remaining()}, nil
	case <-ctx.Done():
		c.mu.Lock()
		c.end(j, ctx.Err())
		c.mu.Unlock()
		return nil, ctx.Err()
	}
}

// admit starts the plan unless the stages have no room for it.
func (c *Coordinator) admit(p *Plan) (*job, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if c.leaving {
		return nil, ErrMoved
	}
	now := time.Now()
	expected, err := c.expect(p, now)
	if err != nil {
		return nil, err
	}
	j := newJob(p, c.usualTime)
	j.began, j.expected = now, expected
	c.jobs[j] = true
	c.advance(j)
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
	c.slots = make(map[string]*slot)
	c.holds = make(map[string]time.Duration)
}

// advance queues the stages of the job whose inputs are there, and ends it when all are made.
func (c *Coordinator) advance(j *job) {
	if j.isDone() {
		c.end(j, nil)
		return
	}
	for _, i := range j.ready() {
		items := j.enqueue(i, time.Now())
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

// end ends the job; on an error what it has made is given up.
func (c *Coordinator) end(j *job, err error) {
	if j.ended {
		return
	}
	j.ended, j.err = true, err
	delete(c.jobs, j)
	for item := range j.items {
		delete(c.owners, item)
	}
	if err != nil {
		for i, stage := range j.plan.Stages {
			if j.stages[i].queued && j.stages[i].left > 0 {
				c.queueOf(stage.Service).Remove(func(item *radishbatch.Item) bool { return j.items[item] })
			}
			if !j.stages[i].freed {
				c.giveUp(made(j.stages[i].handles))
			}
		}
	}
	c.Metrics.Plan(outcomeOf(err))
	c.Log.Info("plan ended", "id", j.plan.CallID, "took_ms", time.Since(j.began).Milliseconds(), "expected_ms", j.expected.Milliseconds(),
		"due_ms", j.plan.Due.Sub(j.began).Milliseconds(), "jobs", len(c.jobs), "error", radishlog.ErrorText(err))
	close(j.done)
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return "made"
	case errors.Is(err, ErrFailed):
		return "failed"
	case errors.Is(err, ErrMoved):
		return "moved"
	default:
		return "left"
	}
}

// Leave hands the plans over of which nothing has begun, and takes no more: two coordinators of a shard would be in each
// other's way.
func (c *Coordinator) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.leaving = true
	for j := range c.jobs {
		if !j.hasBegun() {
			c.end(j, ErrMoved)
		}
	}
}

// Stay takes plans again after Leave, as when the VM that they were handed to leaves as well.
func (c *Coordinator) Stay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = false
}

// Wake looks at the waiting pieces again, as when targets have changed.
func (c *Coordinator) Wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.dispatch(time.Now())
}

// dispatch starts calls at targets with room for one.
func (c *Coordinator) dispatch(now time.Time) {
	waiting := 0
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

func (c *Coordinator) dispatchService(service string, q *radishbatch.Queue, batch *radishroute.Batch, now time.Time) {
	for _, item := range q.Expire(now, batch.CallTime) {
		c.failItem(item, radish.PieceTimedOut)
	}
	usable := c.usable(service, now)
	places := make(map[string]bool)
	for _, t := range usable {
		places[t.DataCentre] = true
	}
	idle := c.idle(usable, batch, now)
	for n, t := range idle {
		call := radishbatch.Call{
			Target: t.Name, DataCentre: t.DataCentre, MaxPieces: batch.MaxPieces, RoomBytes: c.slotOf(t).room.Free(batch.RoomBytes, now),
			CallTime: batch.CallTime, PieceTime: batch.PieceTime, IdleTargets: len(idle) - n, UsableTargets: len(usable), Places: places,
		}
		if items := q.Take(call, now); len(items) > 0 {
			c.start(t, service, batch, items, now)
			if c.isAlone(now) && call.LeavesRoom(items, batch.RoomBytes) {
				c.freeInputsSoon(items)
			}
		}
	}
}

func (c *Coordinator) failItem(item *radishbatch.Item, outcome radish.PieceOutcome) {
	if j := c.owners[item]; j != nil {
		c.end(j, fmt.Errorf("%w: stage %d piece %d: %s", ErrFailed, item.Piece.Stage, item.Piece.Number, outcome))
	}
}

func (c *Coordinator) scheduleRecheck(waiting int) {
	if waiting == 0 {
		return
	}
	if c.recheck == nil {
		c.recheck = time.AfterFunc(recheckInterval, c.Wake)
		return
	}
	c.recheck.Reset(recheckInterval)
}

// Free gives up results, which makes room at their makers.
func (c *Coordinator) Free(handles []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	c.giveUp(handles)
}
