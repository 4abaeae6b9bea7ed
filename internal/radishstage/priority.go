package radishstage

import (
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// classOf returns the class of the pieces of a plan that is admitted now.
func (c *Coordinator) classOf(p *Plan, now time.Time) int {
	if p.Urgency == nil {
		return radishbatch.FirstClass
	}
	return radishadmission.ClassOf(p.Urgency, c.shares.Use(p.Urgency.Team, now).Standing)
}

// setClass changes the class of the job's pieces.
func (c *Coordinator) setClass(j *job, class int) {
	if j.class == class {
		return
	}
	c.countUpcoming(j, -1)
	j.class = class
	c.countUpcoming(j, 1)
	for item := range j.items {
		c.queueOf(j.plan.Stages[item.Piece.Stage].Service).SetClass(item, class)
	}
}

// begin records that a piece of the job is part of a call. From then on the job is not preempted, since its results would be lost.
func (c *Coordinator) begin(j *job) {
	if j.begun || j.plan.Urgency == nil {
		j.begun = true
		return
	}
	j.begun = true
	for item := range j.items {
		item.HasBegun = true
	}
	c.recordUse(j, time.Now())
	c.setClass(j, radishbatch.FirstClass)
}

// shortageTTL is how long a service counts as short of capacity after a plan was refused. Admission refuses what does not fit, so that the
// queues alone do not show that capacity is short.
const shortageTTL = time.Second

// recordShortage records that the stages of the plan had too little capacity.
func (c *Coordinator) recordShortage(p *Plan, now time.Time) {
	for _, s := range p.Stages {
		if s.Pieces > 0 {
			c.shortAt[s.Service] = now
		}
	}
}

// wasShort reports whether the service had too little capacity a short time ago.
func (c *Coordinator) wasShort(service string, now time.Time) bool {
	at, ok := c.shortAt[service]
	return ok && now.Sub(at) < shortageTTL
}

// preemptExcess ends jobs of less urgent classes that have not begun until the services of the plan have no excess work. It must be called
// before the pieces of the plan are counted as upcoming.
func (c *Coordinator) preemptExcess(p *Plan, class int, now time.Time) {
	excess := c.excessOf(p, now)
	if len(excess) == 0 {
		return
	}
	c.recordShortage(p, now)
	candidates := c.candidates(class, excess)
	kept := c.preemptFor(p, candidates, excess, now, func(j *job) bool { return c.isProtectedByFloor(j, now) })
	c.preemptFor(p, kept, excess, now, func(*job) bool { return false })
}

// preemptFor ends candidates in favour of the plan until no service has excess work. It returns those that it passed over because isKept
// reports true, at most maxPassedOver.
func (c *Coordinator) preemptFor(
	p *Plan, candidates []*job, list map[string]*excess, now time.Time, isKept func(*job) bool,
) (kept []*job) {
	for _, j := range candidates {
		if !j.relieves(list) {
			continue
		}
		if len(kept) < maxPassedOver && isKept(j) {
			kept = append(kept, j)
			continue
		}
		for _, s := range j.plan.Stages {
			if e := list[s.Service]; e != nil {
				e.pieces -= s.Pieces
			}
		}
		c.preempt(j, p, now)
	}
	return kept
}

// excess is the work at a service that must be ended so that the rest is in time.
type excess struct {
	// pieces is the number of pieces, dueBy the latest due time of pieces that count.
	pieces int
	dueBy  time.Time
}

// excessOf returns, by service, the work that cannot be in time beside the plan.
func (c *Coordinator) excessOf(p *Plan, now time.Time) map[string]*excess {
	backlogs, needs := c.serviceBacklogs(p, radishbatch.FirstClass, radishbatch.LastClass, now), p.stageNeeds(p.dueTimes(c.typicalTime), now)
	list := make(map[string]*excess)
	for _, need := range needs {
		if need.Pieces == 0 {
			continue
		}
		backlog := backlogs[need.Service]
		pieces, dueBy := backlog.Excess(need)
		if pieces == 0 {
			continue
		}
		e := list[need.Service]
		if e == nil {
			e = &excess{}
			list[need.Service] = e
		}
		e.pieces += pieces
		if by := now.Add(dueBy); by.After(e.dueBy) {
			e.dueBy = by
		}
	}
	return list
}

// candidates returns the jobs of less urgent classes than the given one that have not begun and whose end relieves a service, in the order in
// which they are preempted.
func (c *Coordinator) candidates(class int, list map[string]*excess) []*job {
	var jobs []*job
	for j := range c.jobs {
		if !j.begun && j.class > max(class, radishbatch.FirstClass) && j.relieves(list) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return a.candidate().GivesWayBefore(b.candidate()) })
	return jobs
}

// relieves reports whether a service has less excess work without the job.
func (j *job) relieves(list map[string]*excess) bool {
	for i, s := range j.plan.Stages {
		e := list[s.Service]
		if e != nil && e.pieces > 0 && s.Pieces > 0 && !j.dueTimes[i].After(e.dueBy) {
			return true
		}
	}
	return false
}

// candidate returns what decides the order in which jobs are preempted.
func (j *job) candidate() radishadmission.Candidate {
	return radishadmission.Candidate{Class: j.class, Density: j.density, Due: j.plan.Due}
}

// preempt ends a job that has not begun in favour of the plan. Its caller is told when to retry.
func (c *Coordinator) preempt(j *job, p *Plan, now time.Time) {
	fields := []any{
		"id", j.plan.CallID, "to", p.CallID, "to_priority", p.Urgency.Priority, "to_team", p.Urgency.Team,
		"waited_ms", now.Sub(j.admittedAt).Milliseconds(),
	}
	c.Log.Info("plan gives way", append(fields, c.urgencyFields(j.plan)...)...)
	c.endJob(j, &RefusedError{RetryAfter: max(minRetryAfter, j.expected), Reason: "more urgent plans need the capacity"})
}

// targetTime returns the time of a target that the plan takes, in calls of typical size.
func (c *Coordinator) targetTime(p *Plan) time.Duration {
	total := time.Duration(0)
	for _, s := range p.Stages {
		if batch := c.Batch(s.Service); batch != nil {
			perPiece := batch.PieceTime + time.Duration(float64(batch.CallTime)/max(1, typicalFill*float64(batch.MaxPieces)))
			total += time.Duration(s.Pieces) * perPiece
		}
	}
	return total
}

// density returns the value of the plan for each second of a target's time.
func (c *Coordinator) density(p *Plan) float64 {
	if p.Urgency == nil {
		return 0
	}
	return p.Urgency.Value / max(time.Millisecond, c.targetTime(p)).Seconds()
}
