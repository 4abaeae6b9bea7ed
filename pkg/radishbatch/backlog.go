package radishbatch

import "time"

// Line is the work that is queued or expected for the targets of one stage service.
type Line struct {
	// Demand counts the queued pieces and those that admitted calls have yet to queue.
	Demand Demand
	// PerSecond is the throughput of all targets together when every batch is full.
	PerSecond float64
	// CallTime is the duration of a batch of typical size.
	CallTime time.Duration
	// Targets is the number of usable targets.
	Targets int
	// Busy is the number of targets that cannot start another batch now.
	Busy int
}

// Need is the work that a call requires from one of its stages.
type Need struct {
	// Service is the name of the stage service.
	Service string
	// After lists the indexes of the stages whose results this stage reads; they come earlier in the list of stages.
	After []int
	// Pieces is the number of pieces; 0 skips the stage.
	Pieces int
	// Due is the time from now within which the results are needed; work that is due later does not run before them.
	Due time.Duration
}

// Finish estimates how long the stages of a new call take, given the current backlog of each service. The
// result ok is false if a stage has no target.
func Finish(backlogs map[string]Line, stages []Need) (total time.Duration, ok bool) {
	ends := make([]time.Duration, len(stages))
	for i, stage := range stages {
		begin := time.Duration(0)
		for _, dependency := range stage.After {
			begin = max(begin, ends[dependency])
		}
		ends[i] = begin
		if stage.Pieces == 0 {
			continue
		}
		backlog, known := backlogs[stage.Service]
		if !known || backlog.Targets == 0 || backlog.PerSecond <= 0 {
			return 0, false
		}
		ends[i] = begin + backlog.wait(stage.Due, begin) + backlog.CallTime
		total = max(total, ends[i])
	}
	return total, true
}

// Emptied returns a copy of the backlogs in which no piece is queued and all targets are idle.
func Emptied(backlogs map[string]Line) map[string]Line {
	idle := make(map[string]Line, len(backlogs))
	for service, backlog := range backlogs {
		backlog.Demand, backlog.Busy = Demand{}, 0
		idle[service] = backlog
	}
	return idle
}

// processingTime returns how long the targets together take to process the pieces.
func (b *Line) processingTime(pieces int) time.Duration {
	return time.Duration(float64(pieces) / b.PerSecond * float64(time.Second))
}

// wait returns the queueing time of a piece with the due time that joins the queue after the given time from now.
func (b *Line) wait(due, after time.Duration) time.Duration {
	wait := max(0, b.processingTime(b.Demand.DueBy(due+orderTolerance))-after)
	if b.Busy >= b.Targets {
		// All targets are busy: the expected time until the first of them is free is a fraction of a batch.
		wait = max(wait, b.CallTime/time.Duration(b.Targets+1))
	}
	return wait
}

// Delays reports whether admitting a call now would make pieces late that would otherwise be in time.
func Delays(backlogs map[string]Line, stages []Need) bool {
	for _, stage := range stages {
		backlog := backlogs[stage.Service]
		if stage.Pieces > 0 && backlog.DelaysOthers(stage.Pieces, stage.Due) {
			return true
		}
	}
	return false
}

// Last returns a copy of the stages with due times so late that all other work runs first.
func Last(stages []Need) []Need {
	last := make([]Need, len(stages))
	for i, stage := range stages {
		stage.Due = demandBuckets * bucketWidth
		last[i] = stage
	}
	return last
}
