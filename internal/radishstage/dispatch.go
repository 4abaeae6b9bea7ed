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
		service: service, queue: q, batch: batch, maxPieces: batch.MaxPieces, usableTargets: len(usable),
		usableDataCentres: dataCentresOf(usable), now: now,
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
	maxPieces         int
	usableTargets     int
	usableDataCentres map[string]bool
	now               time.Time
}

// startBatches starts a call at each idle target for which the queue has pieces, and returns the targets that are still idle.
func (c *Coordinator) startBatches(d *serviceDispatch, idle []radish.Target, reserved map[string]bool) []radish.Target {
	var stillIdle []radish.Target
	for n, t := range idle {
		spec := radishbatch.BatchSpec{
			Target: t.Name, DataCentre: t.DataCentre,
			MaxPieces: d.maxPieces, MaxResultBytes: c.stateOf(t).space.FreeBytes(d.batch.ResultMemoryBytes, d.now),
			Overhead: d.batch.CallTime, PieceTime: d.batch.PieceTime,
			IdleTargets: len(stillIdle) + len(idle) - n, UsableTargets: d.usableTargets,
			UsableDataCentres: d.usableDataCentres, ReservedDataCentres: reserved,
		}
		items := d.queue.TakeBatch(spec, d.now)
		if len(items) == 0 {
			stillIdle = append(stillIdle, t)
			continue
		}
		c.startCall(t, d.service, d.batch, items, d.now)
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
