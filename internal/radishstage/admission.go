package radishstage

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// lateAdmissionMaxWait is the longest queueing time for which a plan is admitted that cannot finish in time.
	lateAdmissionMaxWait = 300 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused request may be retried.
	minRetryAfter = 300 * time.Millisecond
	// typicalFill is the number of pieces in a typical call as a fraction of a full one.
	typicalFill = 0.5
	// inTimeMargin is the factor by which the time left must exceed a plan's expected time for the plan to count as in time,
	// since half of the plans take longer than expected.
	inTimeMargin = 1.07
	// besideArrivalsMargin is the part of its estimated time that is added for a plan that competes with more urgent classes, whose arrivals
	// are uneven. A plan that is refused at once can be retried earlier than one that is preempted.
	besideArrivalsMargin = 0.2
	// plannedThroughput is the fraction of the targets' highest throughput that admission relies on.
	plannedThroughput = 0.85
)

// admission is the decision to admit a plan.
type admission struct {
	// class is the class of the plan's pieces.
	class int
	// expected is the estimated time of the plan.
	expected time.Duration
	// needsPreemption is whether the plan can be in time only if jobs of later classes are preempted.
	needsPreemption bool
}

// decide returns the decision to admit the plan, with the estimated time behind the work that was admitted before, or the error with which
// the plan is refused. A plan that cannot finish in time is admitted only while queues are short, so that it does not make others late.
func (c *Coordinator) decide(p *Plan, class int, kinds []radishadmission.Kind, now time.Time) (admission, error) {
	needs := p.stageNeeds(p.dueTimes(c.typicalTime), now)
	behindAll := c.serviceBacklogs(p, radishbatch.FirstClass, radishbatch.LastClass, now)
	expected, ok := radishbatch.EstimateDuration(behindAll, needs)
	expected = max(expected, c.besideArrivals(p, class, radishbatch.LastClass, needs, now))
	if !ok {
		return admission{}, c.refuse(p, &RefusedError{RetryAfter: c.untilResumed(p, now), Reason: "a stage has no target"}, 0)
	}
	delaysOthers := radishbatch.DelaysOthers(behindAll, needs)
	unloaded, _ := radishbatch.EstimateDuration(radishbatch.Unloaded(behindAll), needs)
	if !delaysOthers && (p.isInTime(expected, now) || p.isQueueShort(expected, unloaded, now)) {
		return admission{class: class, expected: expected}, nil
	}
	if a, ok := c.decideByClass(p, class, kinds, needs, now); ok {
		return a, nil
	}
	c.recordShortage(p, now)
	reason := fmt.Sprintf("stages need %v, %v are left to be in time", expected.Round(time.Millisecond),
		p.Due.Sub(now).Round(time.Millisecond))
	if delaysOthers {
		reason += ", others would be late"
	}
	if p.Urgency != nil {
		// Work of later classes gives way when the caller returns.
		behindAll = c.serviceBacklogs(p, radishbatch.FirstClass, class, now)
	}
	last, _ := radishbatch.EstimateDuration(behindAll, radishbatch.DueLast(needs))
	return admission{}, c.refuse(p, &RefusedError{RetryAfter: max(minRetryAfter, last-unloaded), Reason: reason}, expected)
}

// decideByClass decides about a plan that is in time only if work of later classes gives way. Plans of a priority that got less than its
// floor are in the most urgent class.
func (c *Coordinator) decideByClass(
	p *Plan, class int, kinds []radishadmission.Kind, needs []radishbatch.StageWork, now time.Time,
) (a admission, ok bool) {
	if p.Urgency == nil {
		return admission{}, false
	}
	if expected, ok := c.fitsBefore(p, class, needs, now); ok {
		return admission{class: class, expected: expected, needsPreemption: true}, true
	}
	if !mayBeHeld(class) || !c.isBelowFloor(p, kinds[0], now) {
		return admission{}, false
	}
	class = radishbatch.FirstClass + 1
	expected, ok := c.fitsBefore(p, class, needs, now)
	return admission{class: class, expected: expected, needsPreemption: true}, ok
}

// fitsBefore reports whether the plan is in time, or its queue short, and whether it makes no other late, if it waits only for work of the
// classes up to its own. The condition is that of plans without a priority: work that gives way to the plan must not keep it out.
func (c *Coordinator) fitsBefore(p *Plan, class int, needs []radishbatch.StageWork, now time.Time) (expected time.Duration, ok bool) {
	backlogs := c.serviceBacklogs(p, radishbatch.FirstClass, class, now)
	expected, _ = radishbatch.EstimateDuration(backlogs, needs)
	expected = max(expected, c.besideArrivals(p, class, class, needs, now))
	unloaded, _ := radishbatch.EstimateDuration(radishbatch.Unloaded(backlogs), needs)
	isAdmissible := p.isInTime(expected, now) || p.isQueueShort(expected, unloaded, now)
	return expected, isAdmissible && !radishbatch.DelaysOthers(backlogs, needs)
}

// isQueueShort reports whether the plan waits so little that it may be late: it takes the expected time, and the unloaded time if nothing
// is queued.
func (p *Plan) isQueueShort(expected, unloaded time.Duration, now time.Time) bool {
	return expected-unloaded <= lateAdmissionMaxWait && expected < p.Deadline.Sub(now)
}

// besideArrivals returns the estimated time of a plan that may be held if the plans of earlier classes take the capacity that they are expected
// to ask for, and the waiting work of the plan's class up to the given one shares the rest; 0 for other plans.
func (c *Coordinator) besideArrivals(p *Plan, class, through int, needs []radishbatch.StageWork, now time.Time) time.Duration {
	if !mayBeHeld(class) {
		return 0
	}
	backlogs := c.serviceBacklogs(p, class, through, now)
	for service, b := range backlogs {
		b.PiecesPerSecond *= c.arrivals.LeftShare(service, class, b.PiecesPerSecond/plannedThroughput, now)
		backlogs[service] = b
	}
	expected, _ := radishbatch.EstimateDuration(backlogs, needs)
	unloaded, _ := radishbatch.EstimateDuration(radishbatch.Unloaded(backlogs), needs)
	// While little waits, the estimate is reliable.
	margin := min(expected-unloaded, time.Duration(besideArrivalsMargin*float64(expected)))
	return max(expected+margin, c.withFullBatches(p, through, needs, now))
}

// withFullBatches returns the estimated time of a plan that is held until its stages can take it soon, behind the work of the classes up to
// the given one: batches are full while much work waits.
func (c *Coordinator) withFullBatches(p *Plan, through int, needs []radishbatch.StageWork, now time.Time) time.Duration {
	backlogs := c.serviceBacklogs(p, radishbatch.FirstClass, through, now)
	for service, b := range backlogs {
		// The configuration may have changed since the backlogs were determined.
		if batch := c.Batch(service); batch != nil && b.TimeOf(b.Demand.Total(), 0) > b.TypicalBatchTime {
			b.TypicalBatchTime = fullCallTime(batch)
		}
		backlogs[service] = b
	}
	expected, _ := radishbatch.EstimateDuration(backlogs, needs)
	return expected
}

// isInTime reports whether the plan is in time if it takes the expected time.
func (p *Plan) isInTime(expected time.Duration, now time.Time) bool {
	return !now.Add(time.Duration(inTimeMargin * float64(expected))).After(p.Due)
}

// noTargetRetryAfter is the time after which a plan may be retried for which a stage has no target.
const noTargetRetryAfter = time.Second

// untilResumed returns the time after which a plan may be retried for which a stage has no target: the end of the first pause, if all
// targets of a stage asked for one.
func (c *Coordinator) untilResumed(p *Plan, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, s := range p.Stages {
		if s.Pieces > 0 {
			longest = max(longest, c.Fleet.UntilResumed(s.Service, now))
		}
	}
	if longest == 0 {
		return noTargetRetryAfter
	}
	return longest
}

// refuse counts and logs the refusal of the plan and returns err.
func (c *Coordinator) refuse(p *Plan, err *RefusedError, expected time.Duration) error {
	waiting := make(map[string]int, len(c.queues))
	for service, q := range c.queues {
		waiting[service] = q.Len()
	}
	c.Metrics.RecordPlan("refused", priorityLabel(p))
	fields := []any{
		"id", p.CallID, "reason", err.Reason, "expected_ms", expected.Milliseconds(), "jobs", len(c.jobs), "waiting", waiting,
		"retry_after_ms", err.RetryAfter.Milliseconds(),
	}
	c.Log.Info("plan refused", append(fields, c.urgencyFields(p)...)...)
	return err
}

// urgencyFields returns the log fields for the plan's urgency and its team's use of the capacity.
func (c *Coordinator) urgencyFields(p *Plan) []any {
	if p.Urgency == nil {
		return nil
	}
	use := c.shares.Use(p.Urgency.Team, time.Now())
	return []any{
		"priority", p.Urgency.Priority, "team", p.Urgency.Team, "team_share", round2(use.Share), "fair_share", round2(use.FairShare),
		"held", len(c.heldJobs),
	}
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }

// priorityLabel returns the priority of the plan for metrics; empty if it has none.
func priorityLabel(p *Plan) string {
	if p.Urgency == nil {
		return ""
	}
	return strconv.Itoa(p.Urgency.Priority)
}

// serviceBacklogs returns, for each service that the plan uses, the demand of the given classes and the capacity.
func (c *Coordinator) serviceBacklogs(p *Plan, from, through int, now time.Time) map[string]radishbatch.Backlog {
	backlogs := make(map[string]radishbatch.Backlog)
	for _, s := range p.Stages {
		if _, ok := backlogs[s.Service]; ok || s.Pieces == 0 {
			continue
		}
		batch := c.Batch(s.Service)
		if batch == nil {
			continue
		}
		backlog := radishbatch.Backlog{TypicalBatchTime: typicalCallTime(batch)}
		addCounts(&backlog, c.upcoming[s.Service], from, through, now)
		addCounts(&backlog, c.held[s.Service], from, through, now)
		if q := c.queues[s.Service]; q != nil {
			q.AddClassesToDemand(&backlog.Demand, from, through, now)
			backlog.ResultBytes += q.ResultBytes(from, through)
		}
		if p.Urgency != nil {
			c.addCapacityAndSpace(&backlog, s.Service, s.ResultBytes, batch, now)
		} else {
			c.addCapacity(&backlog, s.Service, s.ResultBytes, batch, now)
		}
		backlogs[s.Service] = backlog
	}
	return backlogs
}

// addCounts adds the counted pieces of the classes and the size of their results to the backlog.
func addCounts(backlog *radishbatch.Backlog, counts *radishbatch.ClassCounts, from, through int, now time.Time) {
	if counts != nil {
		counts.AddTo(&backlog.Demand, from, through, now)
		backlog.ResultBytes += counts.ResultBytes(from, through)
	}
}

// addCapacityAndSpace adds the throughput of the service's usable targets, the space that is free at them for results of the given size, and
// the rate at which they give it back. Space is counted apart from time, since the results of different plans differ in size.
func (c *Coordinator) addCapacityAndSpace(
	backlog *radishbatch.Backlog, service string, resultBytes int64, batch *radishroute.BatchSettings, now time.Time,
) {
	c.addCapacity(backlog, service, 0, batch, now)
	if batch.ResultMemoryBytes <= 0 {
		return
	}
	kept := (fullCallTime(batch) + c.byteRetention(service)).Seconds()
	for _, t := range c.usableTargets(service, now) {
		state := c.stateOf(t)
		backlog.FreeBytes += usableBytes(state.space.FreeBytes(batch.ResultMemoryBytes, now), resultBytes)
		backlog.BytesPerSecond += float64(usableBytes(state.space.PlannedBytes(batch.ResultMemoryBytes, now), resultBytes)) / kept
	}
}

// usableBytes returns the part of the space at a target that whole results of the given size can take.
func usableBytes(space, resultBytes int64) int64 {
	space = max(0, space)
	return space - space%max(1, resultBytes)
}

// addCapacity adds the throughput of the stage's usable targets, which is limited by call time or by space for results.
func (c *Coordinator) addCapacity(
	backlog *radishbatch.Backlog, service string, resultBytes int64, batch *radishroute.BatchSettings, now time.Time,
) {
	fullTime := fullCallTime(batch)
	timeLimit := float64(batch.MaxPieces) / fullTime.Seconds()
	for _, t := range c.usableTargets(service, now) {
		state := c.stateOf(t)
		backlog.Targets++
		if state.activeCalls >= batch.Slots {
			backlog.BusyTargets++
		}
		perSecond := timeLimit
		if resultBytes > 0 {
			results := state.space.AvailableShare(batch.ResultMemoryBytes, now) * float64(batch.ResultMemoryBytes) / float64(resultBytes)
			perSecond = min(perSecond, results/(fullTime+c.expectedRetention(service)).Seconds())
		}
		backlog.PiecesPerSecond += plannedThroughput * perSecond / max(1, state.slowness)
	}
}

// countUpcoming adds the pieces of the job's stages that are not queued yet, times sign, to the counts of upcoming pieces. Call
// it with -1 before these stages change and with 1 after that.
func (c *Coordinator) countUpcoming(j *job, sign int) {
	for i, stage := range j.plan.Stages {
		if j.stages[i].queued || stage.Pieces == 0 {
			continue
		}
		upcoming := c.upcoming
		if j.isHeld {
			upcoming = c.held
		}
		counts := upcoming[stage.Service]
		if counts == nil {
			counts = &radishbatch.ClassCounts{}
			upcoming[stage.Service] = counts
		}
		counts.Add(sign*stage.Pieces, stage.ResultBytes, j.dueTimes[i], j.class)
	}
}

// typicalCallTime returns the time of a call with typicalFill of the highest number of pieces.
func typicalCallTime(batch *radishroute.BatchSettings) time.Duration {
	return batch.CallTime + time.Duration(typicalFill*float64(batch.MaxPieces)*float64(batch.PieceTime))
}

// fullCallTime returns the time of a call with the highest number of pieces.
func fullCallTime(batch *radishroute.BatchSettings) time.Duration {
	return batch.CallTime + time.Duration(batch.MaxPieces)*batch.PieceTime
}

// typicalTime returns the typical time of a stage of the service when nothing is queued.
func (c *Coordinator) typicalTime(service string) time.Duration {
	if batch := c.Batch(service); batch != nil {
		return typicalCallTime(batch)
	}
	return 0
}
