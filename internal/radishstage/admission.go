package radishstage

import (
	"fmt"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// lateWait is the longest time in queues for which a call is let in that cannot be in time.
	lateWait = 300 * time.Millisecond
	// retryFloor is the least time after which a refused call may come back.
	retryFloor = 300 * time.Millisecond
	// usualLoad is the part of a full call that a usual call holds.
	usualLoad = 0.5
	// admitMargin is how many times its expected time a plan must have left to count as in time: half of them take longer.
	admitMargin = 1.07
	// fullEfficiency is the part of the targets' highest rate that is counted on.
	fullEfficiency = 0.85
)

// expect returns about how long the plan takes behind what was let in before, or why it is refused. A plan that cannot
// be in time is let in only while little waits, so that it does not make others late.
func (c *Coordinator) expect(p *Plan, now time.Time) (time.Duration, error) {
	lines, needs := c.lines(p, now), p.needs(p.dues(c.usualTime), now)
	took, ok := radishbatch.Finish(lines, needs)
	if !ok {
		return 0, c.refused(p, &RefusedError{RetryAfter: time.Second, Reason: "a stage has no target"}, 0)
	}
	delays := radishbatch.Delays(lines, needs)
	alone, _ := radishbatch.Finish(radishbatch.Emptied(lines), needs)
	isInTime := !now.Add(time.Duration(admitMargin * float64(took))).After(p.Due)
	isShort := took-alone <= lateWait && took < p.Deadline.Sub(now)
	if !delays && (isInTime || isShort) {
		return took, nil
	}
	reason := fmt.Sprintf("stages need %v, %v are left to be in time", took.Round(time.Millisecond), p.Due.Sub(now).Round(time.Millisecond))
	if delays {
		reason += ", others would be late"
	}
	behind, _ := radishbatch.Finish(lines, radishbatch.Last(needs))
	return 0, c.refused(p, &RefusedError{RetryAfter: max(retryFloor, behind-alone), Reason: reason}, took)
}

func (c *Coordinator) refused(p *Plan, err *RefusedError, took time.Duration) error {
	waiting := make(map[string]int, len(c.queues))
	for service, q := range c.queues {
		waiting[service] = q.Len()
	}
	c.Metrics.Plan("refused")
	c.Log.Info("plan refused", "id", p.CallID, "reason", err.Reason, "expected_ms", took.Milliseconds(), "jobs", len(c.jobs), "waiting", waiting,
		"retry_after_ms", err.RetryAfter.Milliseconds())
	return err
}

// lines describes what lies before the targets of the plan's services.
func (c *Coordinator) lines(p *Plan, now time.Time) map[string]radishbatch.Line {
	lines := make(map[string]radishbatch.Line)
	coming := c.coming(now)
	for _, s := range p.Stages {
		if _, ok := lines[s.Service]; ok || s.Pieces == 0 {
			continue
		}
		batch := c.Batch(s.Service)
		if batch == nil {
			continue
		}
		line := radishbatch.Line{CallTime: usualTime(batch)}
		if d := coming[s.Service]; d != nil {
			line.Demand = *d
		}
		if q := c.queues[s.Service]; q != nil {
			q.AddTo(&line.Demand, now)
		}
		c.addTargets(&line, s, batch, now)
		lines[s.Service] = line
	}
	return lines
}

func (c *Coordinator) addTargets(line *radishbatch.Line, s Stage, batch *radishroute.Batch, now time.Time) {
	full := batch.CallTime + time.Duration(batch.MaxPieces)*batch.PieceTime
	byTime := float64(batch.MaxPieces) / full.Seconds()
	for _, t := range c.usable(s.Service, now) {
		slot := c.slotOf(t)
		line.Targets++
		if slot.calls >= batch.Slots {
			line.Busy++
		}
		perSecond := byTime
		if s.ResultBytes > 0 {
			results := slot.room.Part(batch.RoomBytes, now) * float64(batch.RoomBytes) / float64(s.ResultBytes)
			perSecond = min(perSecond, results/(full+c.hold(s.Service)).Seconds())
		}
		line.PerSecond += fullEfficiency * perSecond / max(1, slot.slowness)
	}
}

// coming counts, by service, the pieces that the jobs let in have not queued yet.
func (c *Coordinator) coming(now time.Time) map[string]*radishbatch.Demand {
	coming := make(map[string]*radishbatch.Demand)
	for j := range c.jobs {
		for i := range j.stages {
			if j.stages[i].queued {
				continue
			}
			service := j.plan.Stages[i].Service
			if coming[service] == nil {
				coming[service] = &radishbatch.Demand{}
			}
			coming[service].Add(j.plan.Stages[i].Pieces, j.dueOf[i].Sub(now))
		}
	}
	return coming
}

func usualTime(batch *radishroute.Batch) time.Duration {
	return batch.CallTime + time.Duration(usualLoad*float64(batch.MaxPieces)*float64(batch.PieceTime))
}

// usualTime is about how long a stage of the service takes without a queue.
func (c *Coordinator) usualTime(service string) time.Duration {
	if batch := c.Batch(service); batch != nil {
		return usualTime(batch)
	}
	return 0
}
