package radishstage

import (
	"cmp"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// timeFactorStep is the width of the steps to which times are rounded down when targets of different speeds are sorted by them.
const timeFactorStep = 0.25

// timeFactor returns the time of a batch at the target relative to the usual one.
func (d *serviceDispatch) timeFactor(t radish.Target) float64 {
	if factor, ok := d.timeFactors[t.Name]; ok {
		return factor
	}
	return 1
}

// sortBySpeed sorts idle targets whose speeds differ, the fastest first.
func (c *Coordinator) sortBySpeed(d *serviceDispatch, idle []radish.Target) {
	step := func(t radish.Target) int {
		return int(max(d.timeFactor(t), c.stateOf(t).slowness) / timeFactorStep)
	}
	slices.SortStableFunc(idle, func(a, b radish.Target) int { return cmp.Compare(step(a), step(b)) })
}

// speedOf returns the sum of the targets' speeds relative to the usual one.
func (d *serviceDispatch) speedOf(targets []radish.Target) float64 {
	speed := 0.0
	for _, t := range targets {
		speed += 1 / d.timeFactor(t)
	}
	return speed
}

// adaptToSpeed adapts the limits of a batch to the target's speed; idleSpeed is that of all targets that can start a batch now.
func (c *Coordinator) adaptToSpeed(d *serviceDispatch, spec *radishbatch.BatchSpec, t radish.Target, idleSpeed float64) {
	factor := d.timeFactor(t)
	spec.IdleShare = 1 / (factor * idleSpeed)
	spec.Overhead = scale(spec.Overhead, factor)
	spec.PieceTime = scale(spec.PieceTime, factor)
	spec.Reserved = radishbatch.ReservedPieces(d.busyTargets(c), spec, factor, d.queue.Len())
}

// busyTargets returns the targets that are expected to end a batch, which they can then follow with another one. A target that should
// have ended it already is not counted on.
func (d *serviceDispatch) busyTargets(c *Coordinator) []radishbatch.BusyTarget {
	if d.busy != nil {
		return d.busy
	}
	d.busy = []radishbatch.BusyTarget{}
	for _, t := range d.usable {
		s := c.stateOf(t)
		if s.activeCalls < d.batch.Slots || len(s.expectedEnds) == 0 || d.now.Before(s.blockedUntil) {
			continue
		}
		if wait := slices.MinFunc(s.expectedEnds, time.Time.Compare).Sub(d.now); wait > 0 {
			d.busy = append(d.busy, radishbatch.BusyTarget{FreeIn: wait, TimeFactor: d.timeFactor(t)})
		}
	}
	return d.busy
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
