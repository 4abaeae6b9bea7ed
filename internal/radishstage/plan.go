package radishstage

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// Plan is the stages of one request and the time limits for them.
type Plan struct {
	// CallID is the id of the request.
	CallID string
	// Key names the input of the stages that depend on no other stage.
	Key    string
	Stages []Stage
	// Due is when the last results are needed for the request to be in time; after Deadline they are of no use.
	Due      time.Time
	Deadline time.Time
	// Near is the data centre in which the results are needed; "" for any.
	Near string
	// Worth orders late requests: pieces of those with the highest worth go first.
	Worth float64
	// Urgency decides which plans run, wait or are refused if there is too little capacity; nil if due times alone do.
	Urgency *radishadmission.Urgency
}

// Stage is one stage of a plan.
type Stage struct {
	Service string
	// After are the numbers of the stages whose results this one reads; they are lower than its own number.
	After       []int
	Pieces      int
	ResultBytes int64
}

// Result holds the handles of a plan's results by stage. Only stages that no other stage depends on have handles.
type Result struct {
	Handles [][]string
}

// ErrFailed reports that a piece could not be completed.
var ErrFailed = errors.New("piece of a stage was not made")

// ErrMoved reports that the VM is leaving and coordinates no more plans. No piece of the plan has been executed.
var ErrMoved = errors.New("another VM coordinates the stages")

// RefusedError reports that the stages have no capacity for the request. No piece of it has been executed.
type RefusedError struct {
	// RetryAfter is the estimated time until there is capacity again.
	RetryAfter time.Duration
	Reason     string
}

// Error returns the reason.
func (e *RefusedError) Error() string { return "stages are full: " + e.Reason }

// stageNeeds returns the stages in the form in which radishbatch estimates their time.
func (p *Plan) stageNeeds(dueTimes []time.Time, now time.Time) []radishbatch.StageWork {
	needs := make([]radishbatch.StageWork, len(p.Stages))
	for i, s := range p.Stages {
		needs[i] = radishbatch.StageWork{Service: s.Service, DependsOn: s.After, Pieces: s.Pieces, ResultBytes: s.ResultBytes, DueIn: max(0, dueTimes[i].Sub(now))}
	}
	return needs
}

// dueTimes returns when the results of each stage are needed for the request to be in time.
func (p *Plan) dueTimes(stageTime func(service string) time.Duration) []time.Time {
	dueTimes := make([]time.Time, len(p.Stages))
	for i := len(p.Stages) - 1; i >= 0; i-- {
		dueTimes[i] = p.Due
		for k := i + 1; k < len(p.Stages); k++ {
			if p.dependsOn(k, i) {
				dueTimes[i] = earlier(dueTimes[i], dueTimes[k].Add(-stageTime(p.Stages[k].Service)))
			}
		}
	}
	return dueTimes
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// dependsOn reports whether the stage has pieces and reads the results of stage dep.
func (p *Plan) dependsOn(stage, dep int) bool {
	return p.Stages[stage].Pieces > 0 && slices.Contains(p.Stages[stage].After, dep)
}

const (
	// MaxPieces is the largest number of pieces that one stage of a request may have.
	MaxPieces = 1000
	// maxStages is the largest number of stages of a plan.
	maxStages = 64
	// maxShards is the largest number of shards; a coordinator is kept for each shard that a peer names.
	maxShards = 1024
)

// validate returns an error if the plan has too many stages or pieces, or if a stage depends on itself, on a later stage or on one
// that does not exist. A plan may come from a peer, and its numbers decide how much memory it takes.
func (p *Plan) validate() error {
	if len(p.Stages) > maxStages {
		return fmt.Errorf("%w: %d stages, at most %d are allowed", ErrFailed, len(p.Stages), maxStages)
	}
	for i, s := range p.Stages {
		if s.Pieces < 0 || s.Pieces > MaxPieces || s.ResultBytes < 0 {
			return fmt.Errorf("%w: stage %d has %d pieces of %d bytes", ErrFailed, i, s.Pieces, s.ResultBytes)
		}
		for _, dep := range s.After {
			if dep < 0 || dep >= i {
				return fmt.Errorf("%w: stage %d comes after stage %d", ErrFailed, i, dep)
			}
		}
	}
	return nil
}
