package radishrelay

import (
	"context"
	"time"

	"radishramp.example/radishramp/pkg/radish"
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
	case isStopping(ctx) && e.possibleExecutions > 0:
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: errStopping.Error()})
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
