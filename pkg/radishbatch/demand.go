package radishbatch

import "time"

const (
	// demandStep and demandSteps divide the time ahead, in which pieces are due, into steps; what is due later counts as due in
	// the last one.
	demandStep  = 100 * time.Millisecond
	demandSteps = 200
	// orderSlack is by how much later others must be due to surely go after a piece: calls, rooms and data centres keep the
	// order of dues only roughly.
	orderSlack = time.Second
)

// Demand counts pieces by when their results are due; the zero value has none.
type Demand struct {
	pieces [demandSteps]int
}

// Add counts pieces that are due after the given time from now. Those that are late already count with what is due last, as
// they go after all that can be in time.
func (d *Demand) Add(pieces int, due time.Duration) {
	if due < 0 {
		due = demandSteps * demandStep
	}
	d.pieces[stepOf(due)] += pieces
}

func stepOf(due time.Duration) int { return min(demandSteps-1, int(max(0, due)/demandStep)) }

// Before returns how many pieces are due no later than the given time from now.
func (d *Demand) Before(due time.Duration) int {
	n := 0
	for _, pieces := range d.pieces[:stepOf(due)+1] {
		n += pieces
	}
	return n
}

// Delays tells whether more pieces, due after the given time, would make others late that are in time now, when the earliest
// due go first.
func (l *Line) Delays(pieces int, due time.Duration) bool {
	ahead := 0
	for i, n := range l.Demand.pieces {
		ahead += n
		if n == 0 || i < stepOf(due) {
			continue
		}
		end := time.Duration(i+1) * demandStep
		if l.work(ahead)+l.CallTime <= end && l.work(ahead+pieces)+l.CallTime > end {
			return true
		}
	}
	return false
}
