package radishstage

import (
	"math"
	"strconv"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// Dimensions of the kinds of plans. Each kind has a floor: a minimum share of the capacity, which it gets also under more urgent load.
const (
	dimensionPriority   = "priority"
	dimensionTeam       = "team"
	dimensionSize       = "size"
	dimensionDataCentre = "data_centre"
)

// kindsOf returns the kinds that the plan belongs to, its priority first. Sizes are told apart by powers of four of the targets' time.
func (c *Coordinator) kindsOf(p *Plan) []radishadmission.Kind {
	if p.Urgency == nil {
		return nil
	}
	size := int(math.Log2(max(1, float64(c.targetTime(p).Milliseconds()))) / 2)
	kinds := []radishadmission.Kind{
		{Dimension: dimensionPriority, Value: strconv.Itoa(p.Urgency.Priority)}, {Dimension: dimensionSize, Value: strconv.Itoa(size)},
	}
	if p.Urgency.Team != "" {
		kinds = append(kinds, radishadmission.Kind{Dimension: dimensionTeam, Value: p.Urgency.Team})
	}
	if p.Near != "" {
		kinds = append(kinds, radishadmission.Kind{Dimension: dimensionDataCentre, Value: p.Near})
	}
	return kinds
}

// recordDemand records that the plan asks for capacity.
func (c *Coordinator) recordDemand(p *Plan, class int, kinds []radishadmission.Kind, now time.Time) {
	if p.Urgency == nil {
		return
	}
	for _, s := range p.Stages {
		if s.Pieces > 0 {
			c.arrivals.Record(s.Service, class, s.Pieces, now)
		}
	}
	c.floors.Ask(kinds, now)
	c.shares.Ask(p.Urgency.Team, now)
}

// recordUse records, once, that the job gets its part of the capacity.
func (c *Coordinator) recordUse(j *job, now time.Time) {
	if j.isUseRecorded {
		return
	}
	j.isUseRecorded = true
	for _, s := range j.plan.Stages {
		if s.Pieces > 0 {
			c.floors.Record(s.Service, j.kinds, s.Pieces, now)
		}
	}
}

// recordTeamUse records, times sign, that the job's team gets the time of targets that the job takes.
func (c *Coordinator) recordTeamUse(j *job, sign time.Duration, now time.Time) {
	if j.plan.Urgency != nil {
		c.shares.Record(j.plan.Urgency.Team, sign*c.targetTime(j.plan), now)
	}
}

// isBelowFloor reports whether plans of the kind got less than their floor at all services of the plan.
func (c *Coordinator) isBelowFloor(p *Plan, k radishadmission.Kind, now time.Time) bool {
	for _, s := range p.Stages {
		batch := c.Batch(s.Service)
		if s.Pieces == 0 || batch == nil {
			continue
		}
		var backlog radishbatch.Backlog
		c.addCapacity(&backlog, s.Service, 0, batch, now)
		if !c.floors.IsBelow(s.Service, k, backlog.PiecesPerSecond, now) {
			return false
		}
	}
	return true
}

// maxPassedOver is the highest number of jobs that are passed over for the floors of their kinds when jobs are preempted for a plan.
const maxPassedOver = 16

// isProtectedByFloor reports whether the job's team, size or data centre got less than its floor. The job is then preempted only if no
// other one can be.
func (c *Coordinator) isProtectedByFloor(j *job, now time.Time) bool {
	for _, k := range j.kinds[1:] {
		if c.isBelowFloor(j.plan, k, now) {
			return true
		}
	}
	return false
}

// maxPromotions is the highest number of held jobs of each class that are checked against the floor of their priority in one round of
// dispatch.
const maxPromotions = 4

// promoteBelowFloor queues the first held jobs of priorities that got less than their floor, in the most urgent class. The jobs must
// be sorted by [Coordinator.sortedHeldJobs].
func (c *Coordinator) promoteBelowFloor(jobs []*job, now time.Time) {
	considered := make(map[int]int)
	for _, j := range jobs {
		class := j.class
		if considered[class] == maxPromotions || !mayBeHeld(class) || j.isLate(now) {
			continue
		}
		considered[class]++
		if c.isBelowFloor(j.plan, j.kinds[0], now) {
			c.recordUse(j, now)
			c.endHold(j)
			c.setClass(j, radishbatch.FirstClass+1)
			c.advance(j)
		}
	}
}
