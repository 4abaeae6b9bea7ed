package radishbatch

import "time"

// Line is what lies before the targets of one stage service.
type Line struct {
	// Demand are the pieces that wait, and those that the calls let in will bring.
	Demand Demand
	// PerSecond is how many pieces the targets make in a second in full calls.
	PerSecond float64
	// CallTime is the time of a usual call, Targets how many there are, Busy how many of them work.
	CallTime time.Duration
	Targets  int
	Busy     int
}

// Need is one stage of a call.
type Need struct {
	Service string
	After   []int
	Pieces  int
	// Due is when the results must be there, from now on; what is due later does not go before them.
	Due time.Duration
}

// Finish returns about how long the stages of a call take that comes now, with the lines as they are; ok is false when
// a stage has no target.
func Finish(lines map[string]Line, needs []Need) (took time.Duration, ok bool) {
	ends := make([]time.Duration, len(needs))
	for i, need := range needs {
		begin := time.Duration(0)
		for _, before := range need.After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin
		if need.Pieces == 0 {
			continue
		}
		line, known := lines[need.Service]
		if !known || line.Targets == 0 || line.PerSecond <= 0 {
			return 0, false
		}
		ends[i] = begin + line.wait(need.Due, begin) + line.CallTime
		took = max(took, ends[i])
	}
	return took, true
}

// Emptied returns the lines as they are when nothing waits.
func Emptied(lines map[string]Line) map[string]Line {
	empty := make(map[string]Line, len(lines))
	for service, line := range lines {
		line.Demand, line.Busy = Demand{}, 0
		empty[service] = line
	}
	return empty
}

// work is how long the targets take to make so many pieces.
func (l *Line) work(pieces int) time.Duration {
	return time.Duration(float64(pieces) / l.PerSecond * float64(time.Second))
}

// wait is how long a piece waits that joins the line after the given time.
func (l *Line) wait(due, after time.Duration) time.Duration {
	wait := max(0, l.work(l.Demand.Before(due+orderSlack))-after)
	if l.Busy >= l.Targets {
		// All targets work: the next one is free after a part of a call.
		wait = max(wait, l.CallTime/time.Duration(l.Targets+1))
	}
	return wait
}

// Delays tells whether a call, let in now, would make others late that are in time.
func Delays(lines map[string]Line, needs []Need) bool {
	for _, need := range needs {
		line := lines[need.Service]
		if need.Pieces > 0 && line.Delays(need.Pieces, need.Due) {
			return true
		}
	}
	return false
}

// Last returns the needs as they are when all others go before them.
func Last(needs []Need) []Need {
	last := make([]Need, len(needs))
	for i, need := range needs {
		need.Due = demandSteps * demandStep
		last[i] = need
	}
	return last
}
