package radishstage

import (
	"fmt"
	"time"

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
	// plannedThroughput is the fraction of the targets' highest throughput that admission relies on.
	plannedThroughput = 0.85
)

// expectedTime returns the estimated time of the plan behind the work that was admitted before, or the error with which the
// plan is refused. A plan that cannot finish in time is admitted only while queues are short, so that it does not make
// others late. The result needsRoom is whether the plan can be in time only if work of lower classes gives way.
func (c *Coordinator) expectedTime(p *Plan, class int, now time.Time) (expected time.Duration, needsRoom bool, err error) {
	backlogs, needs := c.serviceBacklogs(p, radishbatch.LastClass, now), p.stageNeeds(p.dueTimes(c.typicalTime), now)
	expected, ok := radishbatch.EstimateDuration(backlogs, needs)
	if !ok {
		return 0, false, c.refuse(p, &RefusedError{RetryAfter: c.untilResumed(p, now), Reason: "a stage has no target"}, 0)
	}
	delaysOthers := radishbatch.DelaysOthers(backlogs, needs)
	unloaded, _ := radishbatch.EstimateDuration(radishbatch.Unloaded(backlogs), needs)
	isInTime := p.isInTime(expected, now)
	isQueueShort := expected-unloaded <= lateAdmissionMaxWait && expected < p.Deadline.Sub(now)
	if !delaysOthers && (isInTime || isQueueShort) {
		return expected, false, nil
	}
	if p.Urgency != nil {
		backlogs = c.serviceBacklogs(p, class, now)
		expected, _ = radishbatch.EstimateDuration(backlogs, needs)
		delaysOthers = radishbatch.DelaysOthers(backlogs, needs)
		if !delaysOthers && p.isInTime(expected, now) {
			return expected, true, nil
		}
	}
	c.recordShortage(p, now)
	reason := fmt.Sprintf("stages need %v, %v are left to be in time", expected.Round(time.Millisecond),
		p.Due.Sub(now).Round(time.Millisecond))
	if delaysOthers {
		reason += ", others would be late"
	}
	behindAll, _ := radishbatch.EstimateDuration(backlogs, radishbatch.DueLast(needs))
	return 0, false, c.refuse(p, &RefusedError{RetryAfter: max(minRetryAfter, behindAll-unloaded), Reason: reason}, expected)
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
	c.Metrics.RecordPlan("refused")
	c.Log.Info("plan refused", "id", p.CallID, "reason", err.Reason, "expected_ms", expected.Milliseconds(), "jobs", len(c.jobs),
		"waiting", waiting, "retry_after_ms", err.RetryAfter.Milliseconds())
	return err
}

// serviceBacklogs returns the demand of the classes up to the given one on, and the capacity of, each service that the plan uses.
func (c *Coordinator) serviceBacklogs(p *Plan, through int, now time.Time) map[string]radishbatch.Backlog {
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
		if upcoming := c.upcoming[s.Service]; upcoming != nil {
			upcoming.AddTo(&backlog.Demand, through, now)
		}
		if held := c.held[s.Service]; held != nil {
			held.AddTo(&backlog.Demand, through, now)
		}
		if q := c.queues[s.Service]; q != nil {
			q.AddClassesToDemand(&backlog.Demand, through, now)
		}
		c.addCapacity(&backlog, s.Service, s.ResultBytes, batch, now)
		backlogs[s.Service] = backlog
	}
	return backlogs
}

// addCapacity adds the throughput of the stage's usable targets, which is limited by call time or by space for results.
func (c *Coordinator) addCapacity(
	backlog *radishbatch.Backlog, service string, resultBytes int64, batch *radishroute.BatchSettings, now time.Time,
) {
	fullCallTime := batch.CallTime + time.Duration(batch.MaxPieces)*batch.PieceTime
	timeLimit := float64(batch.MaxPieces) / fullCallTime.Seconds()
	for _, t := range c.usableTargets(service, now) {
		state := c.stateOf(t)
		backlog.Targets++
		if state.activeCalls >= batch.Slots {
			backlog.BusyTargets++
		}
		perSecond := timeLimit
		if resultBytes > 0 {
			results := state.space.AvailableShare(batch.ResultMemoryBytes, now) * float64(batch.ResultMemoryBytes) / float64(resultBytes)
			perSecond = min(perSecond, results/(fullCallTime+c.expectedRetention(service)).Seconds())
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
		counts.Add(sign*stage.Pieces, j.dueTimes[i], j.class)
	}
}

func typicalCallTime(batch *radishroute.BatchSettings) time.Duration {
	return batch.CallTime + time.Duration(typicalFill*float64(batch.MaxPieces)*float64(batch.PieceTime))
}

// typicalTime returns the typical time of a stage of the service when nothing is queued.
func (c *Coordinator) typicalTime(service string) time.Duration {
	if batch := c.Batch(service); batch != nil {
		return typicalCallTime(batch)
	}
	return 0
}
