package radishrelay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// maxUnexecutedAttempts bounds the attempts of one call that targets rejected without executing them or that
	// could not be sent.
	maxUnexecutedAttempts = 4
	// targetPollInterval is the interval at which a call without an available target checks for one again.
	targetPollInterval = 20 * time.Millisecond
	// targetWaitDivisor bounds the wait for an available target: the route's latency objective divided by this.
	targetWaitDivisor = 8
	// maxBufferedBytes is how much of a non-streaming response is buffered before any of it is relayed. Until then, a
	// failed attempt can still be retried.
	maxBufferedBytes = 256 << 10
)

// Outcomes of calls for logs and metrics. A refused call has the kind of its refusal as its outcome.
const (
	outcomeAnswered   = "answered"
	outcomeCallerLeft = "caller_left"
	outcomeTruncated  = "cut"
)

// decision is how the call proceeds after an attempt.
type decision int

const (
	// decisionDone ends the call: it was answered, refused or aborted.
	decisionDone decision = iota
	// decisionRetryUnexecuted allows another target for any call, since this attempt did not execute.
	decisionRetryUnexecuted
	// decisionRetry allows another target only for a call that may execute more than once, since this attempt may
	// have executed.
	decisionRetry
	// decisionRerunStages runs the stages again, since the target could not find their results.
	decisionRerunStages
)

// forward runs the call's stages and sends the call to one target after another until it gets a response or may not be retried.
func (e *exchange) forward(ctx context.Context) {
	for unexecuted := 0; ; {
		if e.needsInputs() {
			if err := e.runStages(ctx); err != nil {
				e.refuseStageFailure(ctx, err)
				return
			}
		}
		// A part of the prompt may have been quarantined while the stages ran.
		if refusal, ok := e.checkQuarantine(); !ok {
			e.refuse(refusal)
			return
		}
		t, ok := e.pickTarget(ctx)
		if !ok {
			e.refuseNoTarget(ctx)
			return
		}
		switch d := e.attempt(ctx, t); {
		case d == decisionDone:
			return
		case d == decisionRerunStages && unexecuted < maxUnexecutedAttempts:
			unexecuted++
			e.freeInputs()
		case d == decisionRetryUnexecuted && unexecuted < maxUnexecutedAttempts && e.spendRetryBudget(ctx):
			unexecuted++
		case d == decisionRetry && !e.isTrial && e.route.IsIdempotent() && e.possibleExecutions < e.route.MaxAttempts && e.spendRetryBudget(ctx):
		default:
			e.refuseUnanswered(ctx, d)
			return
		}
	}
}

// spendRetryBudget takes one retry from the service's retry budget, of which each VM holds an equal share.
func (e *exchange) spendRetryBudget(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	ok := e.relay.RetryBudget.AllowRetry(e.service.Name)
	if !ok {
		e.relay.Log.Info("retry denied by the retry budget", "id", e.call.ID, "service", e.service.Name)
		return false
	}
	e.relay.Metrics.RecordRetry(e.service.Name)
	return true
}

// pickTarget picks a target, waiting for one for a fraction of the latency objective.
func (e *exchange) pickTarget(ctx context.Context) (radish.Target, bool) {
	query := e.targetQuery()
	waitUntil := time.Now().Add(e.route.LatencyObjective / targetWaitDivisor)
	for {
		now := time.Now()
		if t, ok := e.relay.Fleet.Pick(query, now); ok {
			return t, true
		}
		if now.After(waitUntil) || ctx.Err() != nil || !e.mayTargetResume(waitUntil) {
			return radish.Target{}, false
		}
		select {
		case <-ctx.Done():
		case <-time.After(targetPollInterval):
		}
	}
}

// mayTargetResume reports whether waiting for a target until the time can help.
func (e *exchange) mayTargetResume(until time.Time) bool {
	now := time.Now()
	if e.relay.Fleet.HasUsableTarget(e.service.Name, now) {
		return true
	}
	wait := e.relay.Fleet.UntilResumed(e.service.Name, now)
	return wait > 0 && now.Add(wait).Before(until)
}

// noTargetRetryAfter returns when a caller should retry a call for which there is no target: after the first pause of a target, if all
// of them asked for one. The retries are spread over as much time again, within the time for which callers wait.
func (e *exchange) noTargetRetryAfter() time.Duration {
	wait := e.relay.Fleet.UntilResumed(e.service.Name, time.Now())
	if wait == 0 {
		return jitter(noCapacityRetryAfter)
	}
	latest := time.Duration(retryWindowShare * float64(time.Until(e.deadline)))
	return max(time.Millisecond, min(wait+rand.N(wait), latest))
}

func (e *exchange) refuseNoTarget(ctx context.Context) {
	if callerLeft(ctx) {
		e.abort(outcomeCallerLeft)
		return
	}
	if e.possibleExecutions > 0 {
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: "no other target for a repeat"})
		return
	}
	e.refuse(radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: e.noTargetRetryAfter(), Reason: "no target can take the call"})
}

// refuseUnanswered ends a call that no target responded to.
func (e *exchange) refuseUnanswered(ctx context.Context, d decision) {
	switch {
	case callerLeft(ctx):
		e.abort(outcomeCallerLeft)
	case ctx.Err() != nil && e.possibleExecutions > 0:
		e.refuse(radish.Refusal{Kind: radish.RefusalTimedOut, Reason: "no answer in time"})
	case e.possibleExecutions > 0:
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: "the target failed"})
	case d == decisionRetryUnexecuted || d == decisionRerunStages:
		e.refuse(radish.Refusal{
			Kind: radish.RefusalNotExecuted, RetryAfter: e.noTargetRetryAfter(), Reason: "all targets turned the call away",
		})
	default:
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: "the target failed"})
	}
}

// abort ends the call without a complete response. It closes the connection, so that a partial response cannot be
// taken for a complete one.
func (e *exchange) abort(outcome string) {
	e.outcome = outcome
	e.w.Abort()
}

// attempt sends the call to the target once and reports the outcome to the fleet.
func (e *exchange) attempt(ctx context.Context, t radish.Target) decision {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := time.Now()
	snapshot := e.relay.Fleet.TargetSnapshot(t.Name, startedAt)
	req := &radish.ForwardRequest{
		Call: e.call, Target: t, Timeout: time.Until(e.deadline), Inputs: e.finalStageHandles(), ResumeAfter: e.resumeAfter(), Priority: -1,
	}
	if e.team != nil {
		req.Team = e.team.Name
	}
	if e.service.IsEngine {
		req.Priority = min(maxTargetPriority, e.route.PriorityOf(e.team))
	}
	e.attemptTimeout, e.attemptStartedAt, e.attemptEvents = req.Timeout, time.Now(), 0
	inputBytesByDataCentre := e.inputBytesByDataCentre()
	resp, err := e.relay.Forwarder.Forward(ctx, req)
	d, outcome := e.handleResponse(ctx, t, resp, err)
	outcome.Load = loadOf(resp)
	if outcome.Cut {
		outcome.Down = e.recordCutAttempt(t)
	}
	e.relay.Fleet.Done(t.Name, outcome, time.Now())
	e.relay.Metrics.RecordAttempt(e.service.Name, attemptLabel(d, outcome))
	e.relay.Log.Info("attempt ended", "id", e.call.ID, "target", t.Name, "data_centre", t.DataCentre, "verdict", attemptLabel(d, outcome),
		"status", statusOf(resp), "took_ms", time.Since(startedAt).Milliseconds(), "left_ms", req.Timeout.Milliseconds(),
		"record_age_ms", snapshot.RecordAge.Milliseconds(), "busy", snapshot.CallsInFlight, "failure_share", snapshot.FailureRate,
		"error_share", snapshot.ErrorRate,
		"cold", snapshot.IsCold, "usable", snapshot.UsableTargets, "targets", snapshot.TotalTargets, "resume_after", req.ResumeAfter,
		"input_bytes", inputBytesByDataCentre, "prompt", promptIDs(e.call.Prompt), "events", e.attemptEvents, "error", radishlog.ErrorText(err))
	return d
}

// maxTargetPriority is the lowest priority that targets accept; 0 is the highest.
const maxTargetPriority = 9

func (e *exchange) resumeAfter() string {
	if e.lastEventID != "" {
		return e.lastEventID
	}
	return e.call.LastEventID
}

func loadOf(resp *radish.TargetResponse) radish.TargetLoad {
	if resp == nil {
		return radish.TargetLoad{}
	}
	return resp.Load
}

func statusOf(resp *radish.TargetResponse) int {
	if resp == nil {
		return 0
	}
	return resp.Status
}

func attemptLabel(d decision, o radishfleet.Outcome) string {
	switch {
	case d == decisionRetryUnexecuted:
		return "not_run"
	case d == decisionRerunStages:
		return "no_inputs"
	case o.Failed:
		return "failed"
	case d == decisionRetry:
		return "error"
	default:
		return "answered"
	}
}

// handleResponse relays the response, if there is one to relay, and returns how the call proceeds and what the
// attempt indicates about the target's health.
func (e *exchange) handleResponse(
	ctx context.Context, t radish.Target, resp *radish.TargetResponse, err error,
) (decision, radishfleet.Outcome) {
	if errors.Is(err, radish.ErrBadRequest) {
		e.refuse(radish.Refusal{Kind: radish.RefusalBadRequest, Reason: err.Error()})
		return decisionDone, radishfleet.Outcome{}
	}
	if errors.Is(err, radish.ErrNotSent) {
		e.triedTargets[t.Name] = true
		outcome := e.outcomeWithoutResponse(ctx, true)
		outcome.Down = outcome.Failed && radishfleet.IsRefused(err)
		return decisionRetryUnexecuted, outcome
	}
	if err != nil {
		e.possibleExecutions++
		e.triedTargets[t.Name] = true
		return decisionRetry, e.outcomeWithoutResponse(ctx, false)
	}
	defer resp.Body.Close()
	switch {
	case resp.InputsMissing:
		return decisionRerunStages, radishfleet.Outcome{}
	case resp.NotExecuted:
		e.triedTargets[t.Name] = true
		return decisionRetryUnexecuted, radishfleet.Outcome{Rejected: true, Failed: resp.WrongInstance}
	}
	e.possibleExecutions++
	e.triedTargets[t.Name] = true
	if resp.IsStream && resp.Status/100 == 2 {
		return e.relayStream(ctx, resp)
	}
	return e.relayResponse(ctx, resp)
}

// outcomeWithoutResponse returns what an attempt without a complete response indicates about the target's health. It
// is inconclusive when the caller disconnected, or when the attempt had less time than the route's latency objective.
func (e *exchange) outcomeWithoutResponse(ctx context.Context, unreachable bool) radishfleet.Outcome {
	switch {
	case ctx.Err() == nil:
		return radishfleet.Outcome{Failed: true, Unreachable: unreachable, Cut: !unreachable}
	case callerLeft(ctx) || e.attemptTimeout < e.route.LatencyObjective:
		return radishfleet.Outcome{Inconclusive: true}
	default:
		return radishfleet.Outcome{Failed: true}
	}
}

// relayResponse relays a response that is not an event stream.
func (e *exchange) relayResponse(ctx context.Context, resp *radish.TargetResponse) (decision, radishfleet.Outcome) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		return decisionRetry, e.outcomeWithoutResponse(ctx, false)
	}
	isError := resp.Status >= 500
	if e.responseStarted {
		// A stream that is being resumed cannot end with a response of another type.
		return decisionRetry, radishfleet.Outcome{Failed: isError}
	}
	if isError && e.mayRetryErrorResponse(ctx) {
		return decisionRetry, radishfleet.Outcome{ErrorResponse: true}
	}
	e.startResponse(resp)
	if _, err := e.w.Write(body); err != nil {
		e.outcome = outcomeCallerLeft
		return decisionDone, radishfleet.Outcome{ErrorResponse: isError}
	}
	if len(body) < maxBufferedBytes {
		e.outcome = outcomeAnswered
		e.recordAnswer()
		return decisionDone, radishfleet.Outcome{ErrorResponse: isError}
	}
	return e.relayRemainder(ctx, resp)
}

// mayRetryErrorResponse reports whether a call may be retried on another target after the target responded with a
// server error.
func (e *exchange) mayRetryErrorResponse(ctx context.Context) bool {
	return ctx.Err() == nil && e.route.IsIdempotent() && e.route.Kind == radishroute.KindIdempotent &&
		e.possibleExecutions < e.route.MaxAttempts
}

func (e *exchange) startResponse(resp *radish.TargetResponse) {
	e.responseStarted = true
	e.responseStartedAfter = time.Since(e.call.ReceivedAt)
	e.w.Begin(resp.Status, resp.Header)
}

// relayRemainder relays the part of the body beyond the buffered part.
func (e *exchange) relayRemainder(ctx context.Context, resp *radish.TargetResponse) (decision, radishfleet.Outcome) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			if _, writeErr := e.w.Write(buffer[:n]); writeErr != nil {
				e.outcome = outcomeCallerLeft
				return decisionDone, radishfleet.Outcome{}
			}
		}
		if errors.Is(err, io.EOF) {
			e.outcome = outcomeAnswered
			return decisionDone, radishfleet.Outcome{}
		}
		if err != nil {
			e.abort(outcomeTruncated)
			return decisionDone, e.outcomeWithoutResponse(ctx, false)
		}
	}
}
