package radishbatch

import (
	"math"
	"time"
)

// Backlog is the work that is queued or expected for the targets of one stage service.
type Backlog struct {
	// Demand counts the queued pieces and those that admitted calls have yet to queue.
	Demand Demand
	// PiecesPerSecond is the throughput of all targets together when every batch is full.
	PiecesPerSecond float64
	// TypicalBatchTime is the duration of a batch of typical size.
	TypicalBatchTime time.Duration
	// Targets is the number of usable targets.
	Targets int
	// BusyTargets is the number of targets that cannot start another batch now.
	BusyTargets int
}

// StageWork is the work that a call requires from one of its stages.
type StageWork struct {
	// Service is the name of the stage service.
	Service string
	// DependsOn lists the indexes of the stages whose results this stage reads; they come earlier in the list of stages.
	DependsOn []int
	// Pieces is the number of pieces; 0 skips the stage.
	Pieces int
	// DueIn is the time from now within which the results are needed; work that is due later does not run before them.
	DueIn time.Duration
}

// EstimateDuration estimates how long the stages of a new call take, given the current backlog of each service. The
// result ok is false if a stage has no target.
func EstimateDuration(backlogs map[string]Backlog, stages []StageWork) (total time.Duration, ok bool) {
	ends := make([]time.Duration, len(stages))
	for i, stage := range stages {
		begin := time.Duration(0)
		for _, dependency := range stage.DependsOn {
			begin = max(begin, ends[dependency])
		}
		ends[i] = begin
		if stage.Pieces == 0 {
			continue
		}
		backlog, exists := backlogs[stage.Service]
		if !exists || backlog.Targets == 0 || backlog.PiecesPerSecond <= 0 {
			return 0, false
		}
		ends[i] = begin + backlog.wait(stage.DueIn, begin) + backlog.TypicalBatchTime
		total = max(total, ends[i])
	}
	return total, true
}

// Unloaded returns a copy of the backlogs in which no piece is queued and all targets are idle.
func Unloaded(backlogs map[string]Backlog) map[string]Backlog {
	idle := make(map[string]Backlog, len(backlogs))
	for service, backlog := range backlogs {
		backlog.Demand, backlog.BusyTargets = Demand{}, 0
		idle[service] = backlog
	}
	return idle
}

// processingTime returns how long the targets together take to process the pieces.
func (b *Backlog) processingTime(pieces int) time.Duration {
	return time.Duration(float64(pieces) / b.PiecesPerSecond * float64(time.Second))
}

// wait returns the queueing time of a piece with the due time that joins the queue after the given time from now.
func (b *Backlog) wait(due, after time.Duration) time.Duration {
	wait := max(0, b.processingTime(b.Demand.DueBy(due+orderTolerance))-after)
	if b.BusyTargets >= b.Targets {
		// All targets are busy: the expected time until the first of them is free is a fraction of a batch.
		wait = max(wait, b.TypicalBatchTime/time.Duration(b.Targets+1))
	}
	return wait
}

// DelaysOthers reports whether admitting a call now would make pieces late that would otherwise be in time.
func DelaysOthers(backlogs map[string]Backlog, stages []StageWork) bool {
	for _, stage := range stages {
		backlog := backlogs[stage.Service]
		if stage.Pieces > 0 && backlog.DelaysOthers(stage.Pieces, stage.DueIn) {
			return true
		}
	}
	return false
}

// IsShort reports whether the capacity is too small for all pieces to be in time that could be if they ran alone.
func (b *Backlog) IsShort() bool {
	ahead := 0
	for i, queued := range b.Demand.pieces[:demandBuckets-1] {
		ahead += queued
		end := time.Duration(i+1) * bucketWidth
		if queued > 0 && b.TypicalBatchTime <= end && b.processingTime(ahead)+b.TypicalBatchTime > end {
			return true
		}
	}
	return false
}

// Excess returns how many pieces too many there are for all to be in time once the given pieces with the due time are added, but no more
// than the added ones, and the time from now by which the pieces are due of which some must give way.
func (b *Backlog) Excess(pieces int, due time.Duration) (excess int, dueBy time.Duration) {
	ahead := pieces
	for i, queued := range b.Demand.pieces[:demandBuckets-1] {
		ahead += queued
		if i < bucketOf(due) || (queued == 0 && i != bucketOf(due)) {
			continue
		}
		end := time.Duration(i+1) * bucketWidth
		inTime := b.PiecesPerSecond * max(0, end-b.TypicalBatchTime).Seconds()
		if tooMany := int(math.Ceil(float64(ahead) - inTime)); tooMany > excess {
			excess, dueBy = tooMany, end
		}
	}
	return min(pieces, excess), dueBy
}

// DueLast returns a copy of the stages with due times so late that all other work runs first.
func DueLast(stages []StageWork) []StageWork {
	last := make([]StageWork, len(stages))
	for i, stage := range stages {
		stage.DueIn = demandBuckets * bucketWidth
		last[i] = stage
	}
	return last
}
