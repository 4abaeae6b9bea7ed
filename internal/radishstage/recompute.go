package radishstage

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// recomputeInputs has the inputs of a piece computed again, which were lost with the target that stored them or released
// too early.
func (c *Coordinator) recomputeInputs(j *job, item *radishbatch.Item) {
	if j == nil || !j.items[item] {
		return
	}
	stage := item.Piece.Stage
	// A request that would be late in any case is returned to its VM, whose next attempt is admitted only if there is capacity.
	if time.Now().Add(c.typicalTimeThrough(j, stage)).After(j.plan.Due) {
		c.failItem(item, radish.PieceInputMissing)
		return
	}
	c.countUpcoming(j, -1)
	dropped, releasable, ok := j.resetForRecompute(stage)
	c.countUpcoming(j, 1)
	if !ok {
		c.failItem(item, radish.PieceInputMissing)
		return
	}
	c.Log.Info("recomputing lost stage inputs", "id", j.plan.CallID, "stage", stage, "pieces", len(dropped))
	for _, d := range dropped {
		delete(c.owners, d)
		c.queueOf(j.plan.Stages[d.Piece.Stage].Service).RemoveItem(d)
	}
	c.release(releasable)
	c.advance(j)
}

// typicalDuration returns the typical time to execute all stages of the job if nothing else is queued.
func (c *Coordinator) typicalDuration(j *job) time.Duration {
	longest := time.Duration(0)
	for i, s := range j.plan.Stages {
		if s.Pieces > 0 {
			longest = max(longest, c.typicalTimeThrough(j, i))
		}
	}
	return longest
}

// typicalTimeThrough returns the typical time to execute all stages that the stage depends on and then the stage itself.
func (c *Coordinator) typicalTimeThrough(j *job, stage int) time.Duration {
	// Stages depend on earlier ones only, so that one pass is enough.
	ends := make([]time.Duration, stage+1)
	for i := range ends {
		for _, dep := range j.plan.Stages[i].After {
			ends[i] = max(ends[i], ends[dep])
		}
		ends[i] += c.typicalTime(j.plan.Stages[i].Service)
	}
	return ends[stage]
}
