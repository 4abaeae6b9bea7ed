package radishbatch

import "time"

// Line is what lies before the targets of one stage service.
type Line struct {
	// Waiting are pieces that wait, Coming those that the calls let in will bring.
	Waiting int
	Coming  int
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
		ends[i] = begin + line.wait(begin) + line.CallTime
		took = max(took, ends[i])
	}
	return took, true
}

// Emptied returns the lines as they are when nothing waits.
func Emptied(lines map[string]Line) map[string]Line {
	empty := make(map[string]Line, len(lines))
	for service, line := range lines {
		line.Waiting, line.Coming, line.Busy = 0, 0, 0
		empty[service] = line
	}
	return empty
}

// wait is how long a piece waits that joins the line after the given time.
func (l Line) wait(after time.Duration) time.Duration {
	work := time.Duration(float64(l.Waiting+l.Coming) / l.PerSecond * float64(time.Second))
	wait := max(0, work-after)
	if l.Busy >= l.Targets {
		// All targets work: the next one is free after a part of a call.
		wait = max(wait, l.CallTime/time.Duration(l.Targets+1))
	}
	return wait
}
