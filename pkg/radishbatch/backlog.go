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
	// ResultBytes is the total size of the results of the pieces in Demand, for which no space is in use yet.
	ResultBytes int64
	// FreeBytes is the space for results that is free now, and BytesPerSecond the rate at which space is given back when all of it is in
	// use. If the rate is 0, space is not considered.
	FreeBytes      int64
	BytesPerSecond float64
}

// StageWork is the work that a call requires from one of its stages.
type StageWork struct {
	// Service is the name of the stage service.
	Service string
	// DependsOn lists the indexes of the stages whose results this stage reads; they come earlier in the list of stages.
	DependsOn []int
	// Pieces is the number of pieces; 0 skips the stage.
	Pieces int
	// ResultBytes is the size of the result of each piece.
	ResultBytes int64
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
		ends[i] = begin + backlog.wait(stage, begin) + backlog.TypicalBatchTime
		total = max(total, ends[i])
	}
	return total, true
}

// Unloaded returns a copy of the backlogs in which no piece is queued, all targets are idle and their space is free.
func Unloaded(backlogs map[string]Backlog) map[string]Backlog {
	idle := make(map[string]Backlog, len(backlogs))
	for service, backlog := range backlogs {
		backlog.Demand, backlog.BusyTargets, backlog.BytesPerSecond = Demand{}, 0, 0
		idle[service] = backlog
	}
	return idle
}

// never is the processing time at a service that processes nothing; no call waits so long.
const never = time.Hour

// processingTime returns how long the targets together take to process the pieces.
func (b *Backlog) processingTime(pieces int) time.Duration {
	if pieces == 0 {
		return 0
	}
	if b.PiecesPerSecond <= 0 {
		return never
	}
	return time.Duration(float64(pieces) / b.PiecesPerSecond * float64(time.Second))
}

// spaceTime returns the time from now after which there is space for the results of the given pieces of the demand and for further ones of
// the given size.
func (b *Backlog) spaceTime(pieces int, added int64) time.Duration {
	return b.timeOfSpace(float64(pieces)*b.meanResultBytes() + float64(added))
}

// timeOfSpace returns the time from now after which there is space for results of the given total size.
func (b *Backlog) timeOfSpace(bytes float64) time.Duration {
	if b.BytesPerSecond <= 0 {
		return 0
	}
	missing := bytes - float64(b.FreeBytes)
	return time.Duration(max(0, missing) / b.BytesPerSecond * float64(time.Second))
}

// meanResultBytes returns the mean size of the results of the pieces in the demand.
func (b *Backlog) meanResultBytes() float64 {
	return float64(b.ResultBytes) / float64(max(1, b.Demand.Total()))
}

// TimeOf returns the time from now after which the given pieces of the demand are done and there is space for their results and for further
// ones of the given size.
func (b *Backlog) TimeOf(pieces int, added int64) time.Duration {
	return max(b.processingTime(pieces), b.spaceTime(pieces, added))
}

// wait returns the queueing time of a stage's pieces that join the queue after the given time from now.
func (b *Backlog) wait(stage StageWork, after time.Duration) time.Duration {
	ahead := b.Demand.DueBy(stage.DueIn + orderTolerance)
	wait := max(0, b.TimeOf(ahead, int64(stage.Pieces)*stage.ResultBytes)-after)
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
	ahead, mean := 0, b.meanResultBytes()
	for i, queued := range b.Demand.pieces[:demandBuckets-1] {
		ahead += queued
		end := time.Duration(i+1) * bucketWidth
		needed := max(b.processingTime(ahead), b.timeOfSpace(float64(ahead)*mean)) + b.TypicalBatchTime
		if queued > 0 && b.TypicalBatchTime <= end && needed > end {
			return true
		}
	}
	return false
}

// Excess returns how many pieces cannot be in time once the stage's pieces are added, at most as many as these displace, and the time from now
// by which the pieces are due of which that many must be dropped.
func (b *Backlog) Excess(stage StageWork) (excess int, dueBy time.Duration) {
	ahead, added := 0, int64(stage.Pieces)*stage.ResultBytes
	first, mean := bucketOf(stage.DueIn), b.meanResultBytes()
	for i, queued := range b.Demand.pieces[:demandBuckets-1] {
		ahead += queued
		if i < first || (queued == 0 && i != first) {
			continue
		}
		end := time.Duration(i+1) * bucketWidth
		begin := max(0, end-b.TypicalBatchTime)
		tooMany := min(stage.Pieces, int(math.Ceil(float64(ahead+stage.Pieces)-b.PiecesPerSecond*begin.Seconds())))
		if late := b.timeOfSpace(float64(ahead)*mean+float64(added)) - begin; late > 0 && mean > 0 {
			bytes := min(float64(added), b.BytesPerSecond*late.Seconds())
			tooMany = max(tooMany, int(math.Ceil(bytes/mean)))
		}
		if tooMany > excess {
			excess, dueBy = tooMany, end
		}
	}
	return excess, dueBy
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
