package radishstage

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

// dispatchService starts calls at the idle targets of the service, in two passes. In the first one, data-heavy pieces are left to
// the idle targets of the data centre that they prefer, so that their results do not cross data centres without need. In the
// second one, the targets that are still idle take any piece that is due soon.
func (c *Coordinator) dispatchService(service string, q *radishbatch.Queue, batch *radishroute.BatchSettings, now time.Time) {
	for _, item := range q.Expire(now, batch.CallTime) {
		c.failItem(item, radish.PieceTimedOut)
	}
	usable := c.usableTargets(service, now)
	idle := c.idleTargets(usable, batch, now)
	d := &serviceDispatch{
		service: service, queue: q, batch: batch, maxPieces: batch.MaxPieces, usable: usable, usableDataCentres: dataCentresOf(usable), now: now,
		ordersByClass: q.HasSeveralClasses() && c.isShort(service, q, batch, now), timeFactors: c.Fleet.TimeFactors(service, now),
	}
	if d.timeFactors != nil {
		c.sortBySpeed(d, idle)
	}
	c.startCandidateBatches(*d, idle)
	idle = c.startBatches(d, idle, dataCentresOf(idle))
	c.startBatches(d, idle, nil)
}

// serviceDispatch is one round of dispatch for a service.
type serviceDispatch struct {
	service           string
	queue             *radishbatch.Queue
	batch             *radishroute.BatchSettings
	usable            []radish.Target
	maxPieces         int
	usableDataCentres map[string]bool
	now               time.Time
	// ordersByClass is whether the order of classes precedes that of due times.
	ordersByClass bool
	// timeFactors holds, by name, the time of work at each target relative to the usual one; nil if the targets' speeds do not differ.
	timeFactors map[string]float64
	// busy caches the targets that are expected to end a batch.
	busy []radishbatch.BusyTarget
}

// isShort reports whether the service has too little capacity for all queued pieces to be in time.
func (c *Coordinator) isShort(service string, q *radishbatch.Queue, batch *radishroute.BatchSettings, now time.Time) bool {
	if c.wasShort(service, now) {
		return true
	}
	backlog := radishbatch.Backlog{TypicalBatchTime: typicalCallTime(batch)}
	q.AddToDemand(&backlog.Demand, now)
	backlog.ResultBytes = q.ResultBytes(radishbatch.FirstClass, radishbatch.LastClass)
	c.addCapacityAndSpace(&backlog, service, 0, batch, now)
	return backlog.IsShort()
}

// startBatches starts a call at each idle target for which the queue has pieces, and returns the targets that are still idle.
func (c *Coordinator) startBatches(d *serviceDispatch, idle []radish.Target, reserved map[string]bool) []radish.Target {
	var stillIdle []radish.Target
	idleSpeed := d.speedOf(idle)
	for n, t := range idle {
		spec := radishbatch.BatchSpec{
			Target: t.Name, DataCentre: t.DataCentre,
			MaxPieces: d.maxPieces, MaxResultBytes: c.stateOf(t).space.FreeBytes(d.batch.ResultMemoryBytes, d.now),
			Overhead: d.batch.CallTime, PieceTime: d.batch.PieceTime,
			IdleTargets: len(stillIdle) + len(idle) - n, UsableTargets: len(d.usable),
			UsableDataCentres: d.usableDataCentres, ReservedDataCentres: reserved, OrdersByClass: d.ordersByClass,
		}
		if d.timeFactors != nil {
			c.adaptToSpeed(d, &spec, t, idleSpeed)
		}
		items := d.queue.TakeBatch(spec, d.now)
		if len(items) == 0 {
			stillIdle = append(stillIdle, t)
			continue
		}
		idleSpeed -= 1 / d.timeFactor(t)
		c.startCall(t, d, items)
		if c.isUncontended(d.now) && spec.LeavesFreeSpace(items, d.batch.ResultMemoryBytes) {
			c.scheduleInputRelease(items)
		}
	}
	return stillIdle
}

func dataCentresOf(targets []radish.Target) map[string]bool {
	dataCentres := make(map[string]bool)
	for _, t := range targets {
		dataCentres[t.DataCentre] = true
	}
	return dataCentres
}
