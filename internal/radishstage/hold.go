package radishstage

import (
	"cmp"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

// Jobs of all but the most urgent class are held: their first pieces are queued only shortly before the targets of all their stages can
// take them. Holding does not delay their end. Held jobs can still be preempted, and they have no results that take up space or expire.

// More than fewHeldJobs held jobs are considered only every heldInterval, to limit the processor time: in a burst there are hundreds, and a
// round of dispatch every few milliseconds. The interval is short in relation to the time of a batch.
const (
	fewHeldJobs  = 50
	heldInterval = 20 * time.Millisecond
)

// maxPrecedingWork is the most work, as a fraction of the typical time of a batch, that may precede a held job at each of its stages when
// it is queued. A lower value leaves targets idle; a higher one delays urgent plans with several stages.
const maxPrecedingWork = 0.5

// mayBeHeld reports whether jobs of the class are held while the targets have enough other work.
func mayBeHeld(class int) bool { return class > radishbatch.FirstClass+1 }

// hold keeps the job from being queued until its stages have capacity.
func (c *Coordinator) hold(j *job) {
	c.countUpcoming(j, -1)
	j.isHeld = true
	c.countUpcoming(j, 1)
	c.heldJobs[j] = true
}

// endHold ends the hold, if there is one.
func (c *Coordinator) endHold(j *job) {
	if !j.isHeld {
		return
	}
	c.countUpcoming(j, -1)
	j.isHeld = false
	c.countUpcoming(j, 1)
	delete(c.heldJobs, j)
}

// queueHeld queues the held jobs whose stages have capacity, those of the most urgent class first, and then those that are due first.
// Jobs that would be late are refused if capacity is short or they would have to wait for long, and come last otherwise.
func (c *Coordinator) queueHeld(now time.Time) {
	isSoon := now.Sub(c.heldQueuedAt) < heldInterval && len(c.heldJobs) > fewHeldJobs
	if len(c.heldJobs) == 0 || isSoon {
		return
	}
	c.heldQueuedAt = now
	jobs := c.sortedHeldJobs(now)
	c.promoteBelowFloor(jobs, now)
	loads := make(map[string]*serviceLoad)
	for _, j := range jobs {
		if !j.isHeld {
			continue
		}
		f := c.forecastOf(j, loads, now)
		isWaitLong := f.typical-j.typicalDuration > lateAdmissionMaxWait
		if !j.plan.isInTime(f.full, now) && (isWaitLong || c.isShortFor(j, loads, now)) {
			c.recordShortage(j.plan, now)
			c.endJob(j, &RefusedError{RetryAfter: max(minRetryAfter, f.typical), Reason: "more urgent plans took the capacity"})
			continue
		}
		if f.hasCapacity {
			j.addTo(loads, now)
			c.endHold(j)
			c.advance(j)
		}
	}
}

// sortedHeldJobs returns the held jobs in the order in which they are queued.
func (c *Coordinator) sortedHeldJobs(now time.Time) []*job {
	jobs := make([]*job, 0, len(c.heldJobs))
	for j := range c.heldJobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		if lateA := a.isLate(now); lateA != b.isLate(now) {
			if lateA {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.class, b.class), a.plan.Due.Compare(b.plan.Due),
			cmp.Compare(a.plan.CallID, b.plan.CallID))
	})
	return jobs
}

// isLate reports whether a job that has not begun can no longer be in time.
func (j *job) isLate(now time.Time) bool { return now.Add(j.typicalDuration).After(j.plan.Due) }

// isShortFor reports whether a service of the job has too little capacity.
func (c *Coordinator) isShortFor(j *job, loads map[string]*serviceLoad, now time.Time) bool {
	for _, s := range j.plan.Stages {
		if s.Pieces > 0 && c.loadOf(s, loads, now).isShort {
			return true
		}
	}
	return false
}

// serviceLoad is the load of a stage service without the held jobs.
type serviceLoad struct {
	radishbatch.Backlog
	// fullBatchTime is the duration of a full batch.
	fullBatchTime time.Duration
	// isShort is whether the capacity is too small for this load and the held jobs together.
	isShort bool
}

// pieces returns the number of pieces that run before those that are due after the given time.
func (l *serviceLoad) pieces(due time.Duration) int {
	if l.isShort {
		return l.Demand.Total()
	}
	return l.Demand.DueBy(due)
}

// loadOf returns the load of the stage's service; loads caches it.
func (c *Coordinator) loadOf(s Stage, loads map[string]*serviceLoad, now time.Time) *serviceLoad {
	if l := loads[s.Service]; l != nil {
		return l
	}
	l := &serviceLoad{}
	loads[s.Service] = l
	batch := c.Batch(s.Service)
	if batch == nil {
		return l
	}
	l.TypicalBatchTime, l.fullBatchTime = typicalCallTime(batch), fullCallTime(batch)
	c.addCapacityAndSpace(&l.Backlog, s.Service, s.ResultBytes, batch, now)
	if q := c.queues[s.Service]; q != nil {
		q.AddToDemand(&l.Demand, now)
		l.ResultBytes += q.ResultBytes(radishbatch.FirstClass, radishbatch.LastClass)
	}
	addCounts(&l.Backlog, c.upcoming[s.Service], radishbatch.FirstClass, radishbatch.LastClass, now)
	all := l.Backlog
	addCounts(&all, c.held[s.Service], radishbatch.FirstClass, radishbatch.LastClass, now)
	l.isShort = all.IsShort() || c.wasShort(s.Service, now)
	return l
}

// addTo adds the job's pieces to the loads.
func (j *job) addTo(loads map[string]*serviceLoad, now time.Time) {
	for i, s := range j.plan.Stages {
		if l := loads[s.Service]; l != nil {
			l.Demand.Add(s.Pieces, j.dueTimes[i].Sub(now))
			l.ResultBytes += int64(s.Pieces) * s.ResultBytes
		}
	}
}

// forecast is what is expected of a held job if it is queued now.
type forecast struct {
	// typical is its time if batches are of typical size, full if they are full, as they are when much work is queued.
	typical, full time.Duration
	// hasCapacity is whether the targets of each stage will have done most of the work that precedes the job when it gets there.
	hasCapacity bool
}

// forecastOf estimates the time of the job if it is queued now.
func (c *Coordinator) forecastOf(j *job, loads map[string]*serviceLoad, now time.Time) forecast {
	ends, fullEnds := make([]time.Duration, len(j.plan.Stages)), make([]time.Duration, len(j.plan.Stages))
	f := forecast{hasCapacity: true}
	for i, s := range j.plan.Stages {
		for _, dep := range s.After {
			ends[i], fullEnds[i] = max(ends[i], ends[dep]), max(fullEnds[i], fullEnds[dep])
		}
		if s.Pieces == 0 {
			continue
		}
		l := c.loadOf(s, loads, now)
		wait := max(0, l.TimeOf(l.pieces(j.dueTimes[i].Sub(now)), int64(s.Pieces)*s.ResultBytes)-ends[i])
		f.hasCapacity = f.hasCapacity && wait <= time.Duration(maxPrecedingWork*float64(l.TypicalBatchTime))
		ends[i] += wait + l.TypicalBatchTime
		fullEnds[i] += wait + l.fullBatchTime
		f.typical, f.full = max(f.typical, ends[i]), max(f.full, fullEnds[i])
	}
	return f
}
