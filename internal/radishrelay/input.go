package radishrelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
)

const (
	// freeTimeout bounds the call that gives results up.
	freeTimeout = time.Second
	// engineOverhead is about the time from the send to an engine to its first event, beside the reading of the prompt.
	engineOverhead = 120 * time.Millisecond
	// promptTokensPerMs is about how fast engines read prompts.
	promptTokensPerMs = 40
	// remakeShare is the part of the call's time that must be left for its stages to run a second time.
	remakeShare = 0.4
	// maxPieces bounds the pieces that a caller may ask for in one stage.
	maxPieces = 1000
)

// pieces returns how many pieces the call has of the stage.
func (e *exchange) pieces(stage int) int {
	if stage < len(e.call.Pieces) {
		return e.call.Pieces[stage]
	}
	return 0
}

// largestStage returns the most pieces that the call has of any stage.
func (e *exchange) largestStage() int {
	most := 0
	for i := range e.route.Stages {
		most = max(most, e.pieces(i))
	}
	return most
}

// hasPieces tells whether any stage of the call has work.
func (e *exchange) hasPieces() bool {
	return e.largestStage() > 0
}

// makeInputs has the stages of the call run.
func (e *exchange) makeInputs(ctx context.Context) error {
	e.releaseInputs()
	if !e.hasPieces() {
		return nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-e.relay.stopping():
			cancel(errStopped)
		case <-ctx.Done():
		}
	}()
	began := time.Now()
	plan := e.plan()
	result, err := e.relay.Stages.Run(ctx, plan)
	if errors.Is(context.Cause(ctx), errStopped) {
		err = errStopped
	}
	if errors.Is(err, radishstage.ErrFailed) && e.mayRemake() {
		e.relay.Log.Info("stages run again", "id", e.call.ID, "error", err.Error())
		result, err = e.relay.Stages.Run(ctx, plan)
	}
	e.relay.Log.Info("stages ended", "id", e.call.ID, "route", e.route.Name, "pieces", e.call.Pieces, "near", plan.Near,
		"due_ms", plan.Due.Sub(began).Milliseconds(), "took_ms", time.Since(began).Milliseconds(), "error", radishlog.ErrorText(err))
	if err != nil {
		return err
	}
	e.inputs, e.stagesAfter = result.Handles, time.Since(e.call.ReceivedAt)
	return nil
}

func (e *exchange) mayRemake() bool {
	total := e.deadline.Sub(e.call.ReceivedAt)
	return float64(time.Until(e.deadline)) > remakeShare*float64(total)
}

func (e *exchange) plan() *radishstage.Plan {
	modelTime := engineOverhead + time.Duration(e.call.InputTokens/promptTokensPerMs)*time.Millisecond
	p := &radishstage.Plan{
		CallID: e.call.ID, Key: e.call.PieceKey, Due: e.due.Add(-modelTime), Deadline: e.deadline.Add(-modelTime), Near: e.near,
		Worth: 1 / float64(1+e.route.PriorityOf(e.team)),
	}
	for i, s := range e.route.Stages {
		p.Stages = append(p.Stages, radishstage.Stage{Service: s.Service, After: s.After, Pieces: e.pieces(i), ResultBytes: s.ResultBytes})
	}
	return p
}

// choosePlace chooses the data centre in which the call's large results are made and read: that of the engine which
// its prompt belongs to.
func (e *exchange) choosePlace() {
	if !e.service.IsEngine {
		return
	}
	for _, s := range e.route.Stages {
		if s.ResultBytes >= radishbatch.LargeResult {
			e.weights = e.relay.Fleet.Weights(s.Service, e.service.Name, time.Now())
		}
	}
	if e.hasLargeInputs() {
		e.near = e.relay.Fleet.Place(e.query(), time.Now())
	}
}

func (e *exchange) query() radishfleet.Query {
	q := radishfleet.Query{Service: e.service.Name, Exclude: e.tried, ColdLimit: e.service.ColdPerSec > 0}
	if e.service.IsEngine {
		q.Affinity, q.Weights = sharedPart(e.call.Prompt), e.weights
		if e.hasLargeInputs() {
			q.Near = e.inputPlace()
		}
	}
	return q
}

// hasLargeInputs tells whether the call's engine reads results that are worth staying near to.
func (e *exchange) hasLargeInputs() bool {
	bytes := int64(0)
	for _, i := range e.route.LastStages() {
		bytes += int64(e.pieces(i)) * e.route.Stages[i].ResultBytes
	}
	return bytes >= radishbatch.LargeResult
}

// inputPlace returns the data centre that holds the most bytes of what the engine reads first, or where they are to be
// made.
func (e *exchange) inputPlace() string {
	best, bytes := e.near, e.inputBytes()
	for place, n := range bytes {
		if n > bytes[best] {
			best = place
		}
	}
	return best
}

// inputBytes returns about how many bytes of what the engine reads first each data centre holds.
func (e *exchange) inputBytes() map[string]int64 {
	bytes := make(map[string]int64)
	if e.inputs == nil {
		return bytes
	}
	for _, i := range e.route.LastStages() {
		for _, handle := range e.inputs[i] {
			address, _, _ := strings.Cut(handle, "/")
			bytes[e.relay.Fleet.PlaceOf(address)] += e.route.Stages[i].ResultBytes
		}
	}
	return bytes
}

// sharedPart returns the longest prefix of the prompt that other calls may share.
func sharedPart(prompt []radish.PromptPart) string {
	switch len(prompt) {
	case 0:
		return ""
	case 1:
		return prompt[0].ID
	default:
		return prompt[len(prompt)-2].ID
	}
}

// lastHandles returns what the target reads first: the results of the stages that no other stage follows.
func (e *exchange) lastHandles() []string {
	if e.inputs == nil {
		return nil
	}
	var handles []string
	for _, i := range e.route.LastStages() {
		handles = append(handles, e.inputs[i]...)
	}
	return handles
}

// releaseInputs gives up all results that are left.
func (e *exchange) releaseInputs() {
	var handles []string
	for _, stage := range e.inputs {
		handles = append(handles, stage...)
	}
	e.inputs = nil
	if len(handles) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		e.relay.Stages.Free(ctx, e.call.ID, handles)
	}()
}

// refuseWithoutInputs ends a call whose stages failed: it has not run.
func (e *exchange) refuseWithoutInputs(ctx context.Context, err error) {
	if isGone(ctx) {
		e.breakOff(outcomeLeft)
		return
	}
	retryAfter := spread(capacityRetry)
	var refused *radishstage.RefusedError
	if errors.As(err, &refused) {
		retryAfter = returnAfter(refused.RetryAfter, time.Until(e.deadline))
	}
	if e.sends > 0 {
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: err.Error()})
		return
	}
	e.refuse(radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: retryAfter, Reason: err.Error()})
}

// Callers come back once, and within returnShare of the time that they have left. One that comes back while the load
// lasts is refused for good, so they are spread over the later part of that time.
const (
	returnShare = 0.32
	returnFirst = 0.5
)

// returnAfter is when a caller may come back to stages that are full for the given time.
func returnAfter(full, left time.Duration) time.Duration {
	last := time.Duration(returnShare * float64(left))
	first := min(last, max(full, time.Duration(returnFirst*float64(last))))
	return first + rand.N(max(time.Millisecond, last-first))
}

// isGone tells whether the caller has left, rather than that its time is up.
func isGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }
