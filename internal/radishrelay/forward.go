package radishrelay

import (
	"context"
	"errors"
	"io"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// maxNotRun is how many targets may turn a call away or be out of reach before it is given up.
	maxNotRun = 4
	// pickWait is the pause before a call that found no target looks again.
	pickWait = 20 * time.Millisecond
	// pickShare is the part of the aim for which a call waits for a target.
	pickShare = 8
	// maxBuffered is the largest answer that is read whole before it is passed on, in bytes.
	maxBuffered = 256 << 10
)

// Outcomes of calls beside the kinds of refusals.
const (
	outcomeAnswered = "answered"
	outcomeLeft     = "caller_left"
	outcomeCut      = "cut"
)

// verdict is what to do after an attempt.
type verdict int

const (
	// verdictDone ends the call.
	verdictDone verdict = iota
	// verdictNotRun lets the call go to another target, for it has not run.
	verdictNotRun
	// verdictRepeat lets the call go to another target if it may run again.
	verdictRepeat
	// verdictNoInputs lets the stages run again, for their results are gone.
	verdictNoInputs
)

// forward sends the call to targets until one answers or it may not be sent again.
func (e *exchange) forward(ctx context.Context) {
	for notRun := 0; ; {
		t, ok := e.pick(ctx)
		if !ok {
			e.refuseWithoutTarget(ctx)
			return
		}
		switch v := e.attempt(ctx, t); {
		case v == verdictDone:
			return
		case v == verdictNoInputs && notRun < maxNotRun:
			notRun++
			if err := e.makeInputs(ctx); err != nil {
				e.refuseWithoutInputs(ctx, err)
				return
			}
		case v == verdictNotRun && notRun < maxNotRun && e.mayRepeat(ctx):
			notRun++
		case v == verdictRepeat && e.route.IsIdempotent() && e.sends < e.route.MaxAttempts && e.mayRepeat(ctx):
		default:
			e.giveUp(ctx, v)
			return
		}
	}
}

// mayRepeat takes a repeat from the budget that all VMs share.
func (e *exchange) mayRepeat(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	ok := e.relay.Budget.Spend(e.service.Name)
	if !ok {
		e.relay.Log.Info("repeat refused by the retry budget", "id", e.call.ID, "service", e.service.Name)
	}
	e.relay.Metrics.Retry(e.service.Name)
	return ok
}

// pick chooses a target, waiting a small part of the aim for one.
func (e *exchange) pick(ctx context.Context) (radish.Target, bool) {
	q := e.query()
	end := time.Now().Add(e.route.Aim / pickShare)
	for {
		now := time.Now()
		if t, ok := e.relay.Fleet.Pick(q, now); ok {
			return t, true
		}
		if now.After(end) || ctx.Err() != nil {
			return radish.Target{}, false
		}
		select {
		case <-ctx.Done():
		case <-time.After(pickWait):
		}
	}
}

func (e *exchange) refuseWithoutTarget(ctx context.Context) {
	if isGone(ctx) {
		e.breakOff(outcomeLeft)
		return
	}
	if e.sends > 0 {
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: "no other target for a repeat"})
		return
	}
	e.refuse(radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: spread(capacityRetry), Reason: "no target can take the call"})
}

// giveUp ends a call that no target has answered.
func (e *exchange) giveUp(ctx context.Context, v verdict) {
	switch {
	case isGone(ctx):
		e.breakOff(outcomeLeft)
	case ctx.Err() != nil && e.sends > 0:
		e.refuse(radish.Refusal{Kind: radish.RefusalTimedOut, Reason: "no answer in time"})
	case e.sends > 0:
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: "the target failed"})
	case v == verdictNotRun || v == verdictNoInputs:
		e.refuse(radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: spread(capacityRetry), Reason: "all targets turned the call away"})
	default:
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: "the target failed"})
	}
}

// breakOff ends the call without an answer, or in the middle of one, so that it cannot look complete.
func (e *exchange) breakOff(outcome string) {
	e.outcome = outcome
	e.w.Abort()
}

// attempt sends the call to the target once.
func (e *exchange) attempt(ctx context.Context, t radish.Target) verdict {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	known := e.relay.Fleet.Known(t.Name, began)
	send := &radish.ForwardRequest{
		Call: e.call, Target: t, Timeout: time.Until(e.deadline), Inputs: e.lastHandles(), ResumeAfter: e.resumeAfter(), Priority: -1,
	}
	if e.team != nil {
		send.Team = e.team.Name
	}
	if e.service.IsEngine {
		send.Priority = min(maxTargetPriority, e.route.PriorityOf(e.team))
	}
	e.given = send.Timeout
	inputBytes := e.inputBytes()
	answer, err := e.relay.Forwarder.Forward(ctx, send)
	v, outcome := e.judge(ctx, t, answer, err)
	outcome.Load = loadOf(answer)
	e.relay.Fleet.Done(t.Name, outcome, time.Now())
	e.relay.Metrics.Attempt(e.service.Name, verdictName(v, outcome))
	e.relay.Log.Info("attempt ended", "id", e.call.ID, "target", t.Name, "data_centre", t.DataCentre, "verdict", verdictName(v, outcome),
		"status", statusOf(answer), "took_ms", time.Since(began).Milliseconds(), "left_ms", send.Timeout.Milliseconds(),
		"record_age_ms", known.RecordAge.Milliseconds(), "busy", known.Busy, "failure_share", known.FailureShare, "cold", known.IsCold,
		"usable", known.Usable, "targets", known.Targets, "resume_after", send.ResumeAfter, "input_bytes", inputBytes, "error", radishlog.ErrorText(err))
	return v
}

// maxTargetPriority is the last rank that targets know.
const maxTargetPriority = 9

func (e *exchange) resumeAfter() string {
	if e.lastEvent != "" {
		return e.lastEvent
	}
	return e.call.LastEventID
}

func loadOf(a *radish.TargetResponse) radish.TargetLoad {
	if a == nil {
		return radish.TargetLoad{}
	}
	return a.Load
}

func statusOf(a *radish.TargetResponse) int {
	if a == nil {
		return 0
	}
	return a.Status
}

func verdictName(v verdict, o radishfleet.Outcome) string {
	switch {
	case v == verdictNotRun:
		return "not_run"
	case v == verdictNoInputs:
		return "no_inputs"
	case o.Failed:
		return "failed"
	case v == verdictRepeat:
		return "error"
	default:
		return "answered"
	}
}

// judge reads the answer, passes it on if it is one, and tells what it says of the target.
func (e *exchange) judge(ctx context.Context, t radish.Target, a *radish.TargetResponse, err error) (verdict, radishfleet.Outcome) {
	if errors.Is(err, radish.ErrBadRequest) {
		e.refuse(radish.Refusal{Kind: radish.RefusalBadRequest, Reason: err.Error()})
		return verdictDone, radishfleet.Outcome{}
	}
	if errors.Is(err, radish.ErrNotSent) {
		e.tried[t.Name] = true
		return verdictNotRun, e.unanswered(ctx, true)
	}
	if err != nil {
		e.sends++
		e.tried[t.Name] = true
		return verdictRepeat, e.unanswered(ctx, false)
	}
	defer a.Body.Close()
	switch {
	case a.InputsMissing:
		return verdictNoInputs, radishfleet.Outcome{}
	case a.NotExecuted:
		e.tried[t.Name] = true
		return verdictNotRun, radishfleet.Outcome{Rejected: true, Failed: a.WrongInstance}
	}
	e.sends++
	e.tried[t.Name] = true
	if a.IsStream && a.Status/100 == 2 {
		return e.passStream(ctx, a)
	}
	return e.passWhole(ctx, a)
}

// unanswered tells what an attempt without a whole answer says of its target: nothing when the caller left or gave the target
// less time than the aim.
func (e *exchange) unanswered(ctx context.Context, unreached bool) radishfleet.Outcome {
	switch {
	case ctx.Err() == nil:
		return radishfleet.Outcome{Failed: true, Unreached: unreached}
	case isGone(ctx) || e.given < e.route.Aim:
		return radishfleet.Outcome{Unknown: true}
	default:
		return radishfleet.Outcome{Failed: true}
	}
}

// passWhole passes an answer on that is no stream.
func (e *exchange) passWhole(ctx context.Context, a *radish.TargetResponse) (verdict, radishfleet.Outcome) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		return verdictRepeat, e.unanswered(ctx, false)
	}
	isError := a.Status >= 500
	if e.begun {
		// A stream that was to go on cannot end in an answer of another kind.
		return verdictRepeat, radishfleet.Outcome{Failed: isError}
	}
	if isError && e.canRepeat(ctx) {
		return verdictRepeat, radishfleet.Outcome{}
	}
	e.begin(a)
	if _, err := e.w.Write(body); err != nil {
		e.outcome = outcomeLeft
		return verdictDone, radishfleet.Outcome{}
	}
	if len(body) < maxBuffered {
		e.outcome = outcomeAnswered
		return verdictDone, radishfleet.Outcome{}
	}
	return e.passRest(ctx, a)
}

// canRepeat tells whether a failure that the target itself answered may be tried elsewhere.
func (e *exchange) canRepeat(ctx context.Context) bool {
	return ctx.Err() == nil && e.route.IsIdempotent() && e.route.Kind == radishroute.KindIdempotent && e.sends < e.route.MaxAttempts
}

func (e *exchange) begin(a *radish.TargetResponse) {
	e.begun = true
	e.firstAfter = time.Since(e.call.ReceivedAt)
	e.w.Begin(a.Status, a.Header)
}

// passRest passes on what follows the part that was read whole.
func (e *exchange) passRest(ctx context.Context, a *radish.TargetResponse) (verdict, radishfleet.Outcome) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.Body.Read(buffer)
		if n > 0 {
			if _, werr := e.w.Write(buffer[:n]); werr != nil {
				e.outcome = outcomeLeft
				return verdictDone, radishfleet.Outcome{}
			}
		}
		if errors.Is(err, io.EOF) {
			e.outcome = outcomeAnswered
			return verdictDone, radishfleet.Outcome{}
		}
		if err != nil {
			e.breakOff(outcomeCut)
			return verdictDone, e.unanswered(ctx, false)
		}
	}
}
