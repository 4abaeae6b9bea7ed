package radishstage

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

// Plan is the stages of one call.
type Plan struct {
	CallID string
	// Key names the input of the stages that need no other stage's results.
	Key    string
	Stages []Stage
	// Due is when the last results are needed for the call to be in time, Deadline when they are of no more use.
	Due      time.Time
	Deadline time.Time
	// Near is the data centre in which the results are needed; "" when it does not matter.
	Near  string
	Worth float64
}

// Stage is one stage of a plan.
type Stage struct {
	Service string
	// After are the numbers of the stages whose results this one needs; they come before it.
	After       []int
	Pieces      int
	ResultBytes int64
}

// Result holds the handles of a plan's results by stage; only stages that no other stage follows have any.
type Result struct {
	Handles [][]string
}

// ErrFailed reports that a piece could not be made.
var ErrFailed = errors.New("piece of a stage was not made")

// ErrMoved reports that the VM coordinates no more plans, since it leaves; nothing of the plan was made.
var ErrMoved = errors.New("another VM coordinates the stages")

// RefusedError reports that the stages have no room for the call; nothing of it was made.
type RefusedError struct {
	// RetryAfter is about when there is room again.
	RetryAfter time.Duration
	Reason     string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "stages are full: " + e.Reason }

func (p *Plan) needs(dues []time.Time, now time.Time) []radishbatch.Need {
	needs := make([]radishbatch.Need, len(p.Stages))
	for i, s := range p.Stages {
		needs[i] = radishbatch.Need{Service: s.Service, After: s.After, Pieces: s.Pieces, Due: max(0, dues[i].Sub(now))}
	}
	return needs
}

// dues returns when the results of each stage are needed for the call to be in time.
func (p *Plan) dues(timeOf func(service string) time.Duration) []time.Time {
	dues := make([]time.Time, len(p.Stages))
	for i := len(p.Stages) - 1; i >= 0; i-- {
		dues[i] = p.Due
		for k := i + 1; k < len(p.Stages); k++ {
			if p.needsResults(k, i) {
				dues[i] = earlier(dues[i], dues[k].Add(-timeOf(p.Stages[k].Service)))
			}
		}
	}
	return dues
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// needsResults tells whether a stage with pieces needs the results of another one.
func (p *Plan) needsResults(stage, before int) bool {
	return p.Stages[stage].Pieces > 0 && slices.Contains(p.Stages[stage].After, before)
}

// check reports a plan whose stages do not come in order.
func (p *Plan) check() error {
	for i, s := range p.Stages {
		for _, before := range s.After {
			if before < 0 || before >= i {
				return fmt.Errorf("%w: stage %d comes after stage %d", ErrFailed, i, before)
			}
		}
	}
	return nil
}
