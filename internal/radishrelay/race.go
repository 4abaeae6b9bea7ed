package radishrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishhedge"
)

// leg is one send of an attempt: the first one or the copy.
type leg struct {
	target    radish.Target
	req       *radish.ForwardRequest
	startedAt time.Time
	snapshot  radishfleet.TargetSnapshot
	isCopy    bool
	// copiedAfter is the time from the first send to the copy, 0 if there is no copy.
	copiedAfter time.Duration
	cancel      context.CancelFunc
	hasEnded    bool
	isSettled   bool
	legResult
}

// legResult is how a leg ended.
type legResult struct {
	resp *radish.TargetResponse
	err  error
	// readErr is the error with which the response ended before it was usable; reading its body yields the error again.
	readErr error
}

// isUsable reports whether the response may be relayed without waiting for that of the other leg.
func (r *legResult) isUsable() bool {
	if r.err != nil {
		return errors.Is(r.err, radish.ErrBadRequest)
	}
	return r.readErr == nil && !r.resp.NotExecuted && !r.resp.InputsMissing && !r.isErrorResponse()
}

// isErrorResponse reports whether the target executed the call and responded with a server error.
func (r *legResult) isErrorResponse() bool {
	return r.err == nil && r.readErr == nil && !r.resp.NotExecuted && !r.resp.InputsMissing && r.resp.Status >= http.StatusInternalServerError
}

// race is an attempt that may be sent to a second target. The first usable response is relayed, and the other leg is cancelled.
type race struct {
	e       *exchange
	results chan legEnd
	// over is closed once the response to relay has been chosen.
	over        chan struct{}
	first, copy *leg
}

// legEnd is the message that a leg has ended.
type legEnd struct {
	leg *leg
	legResult
	// panicked describes the panic that ended the leg, "" if there was none.
	panicked string
}

// send sends the attempt, and a copy of it if that is allowed and the response takes long. It returns the send whose response is relayed.
func (e *exchange) send(ctx context.Context, first *leg) *leg {
	if !e.mayCopy() {
		first.resp, first.err = e.relay.Forwarder.Forward(ctx, first.req)
		return first
	}
	r := &race{e: e, results: make(chan legEnd), over: make(chan struct{}), first: first}
	defer close(r.over)
	r.start(ctx, first)
	chosen := r.decide(ctx)
	e.recordFirstTime(first)
	if r.copy != nil {
		chosen.copiedAfter = r.copy.startedAt.Sub(first.startedAt)
	}
	return chosen
}

func (r *race) start(ctx context.Context, l *leg) {
	ctx, l.cancel = context.WithCancel(ctx)
	go func() {
		end := r.run(ctx, l)
		select {
		case r.results <- end:
		case <-r.over:
			r.discard(end)
		}
	}()
}

// run sends the call and waits until the response is usable. A panic is reported, since it would end the process here.
func (r *race) run(ctx context.Context, l *leg) (end legEnd) {
	end.leg = l
	defer func() {
		if cause := recover(); cause != nil {
			end.panicked = fmt.Sprintf("%v\n%s", cause, debug.Stack())
		}
	}()
	end.resp, end.err = r.e.relay.Forwarder.Forward(ctx, l.req)
	if end.err == nil {
		end.readErr = awaitUsable(end.resp)
	}
	return end
}

// discard ends a leg after the race was decided.
func (r *race) discard(end legEnd) {
	if end.panicked != "" {
		r.e.relay.Log.Error("hedged attempt panicked", "id", r.e.call.ID, "target", end.leg.target.Name, "panic", end.panicked)
	}
	if end.resp != nil {
		_ = end.resp.Body.Close()
	}
}

// decide waits for a usable response, or for the end of all legs.
func (r *race) decide(ctx context.Context) *leg {
	estimate, isCopyDue, stop := r.e.copyTimer()
	defer stop()
	for {
		select {
		case end := <-r.results:
			if end.panicked != "" {
				panic(end.panicked)
			}
			end.leg.hasEnded, end.leg.legResult = true, end.legResult
			if chosen := r.choose(ctx, end.leg); chosen != nil {
				return chosen
			}
		case <-isCopyDue:
			if r.copy = r.e.newCopy(r.first, estimate); r.copy != nil {
				r.start(ctx, r.copy)
			}
		}
	}
}

// choose returns the leg whose response is relayed after one has ended, or nil if the other one may still be better. A leg that is not
// chosen is settled.
func (r *race) choose(ctx context.Context, ended *leg) *leg {
	other := r.other(ended)
	switch {
	case other == nil:
		return ended
	case ended.isUsable():
		r.e.settle(ctx, other)
		return ended
	case !other.hasEnded:
		if !ended.isErrorResponse() {
			r.e.settle(ctx, ended)
		}
		return nil
	case other.isErrorResponse():
		// The caller may get this response, if the call is not retried.
		r.e.settle(ctx, ended)
		return other
	default:
		return ended
	}
}

func (r *race) other(l *leg) *leg {
	if l == r.first {
		return r.copy
	}
	return r.first
}

// settle ends a leg whose response is not relayed: it is cancelled if it has not ended, and accounted for.
func (e *exchange) settle(ctx context.Context, l *leg) {
	if l.isSettled {
		return
	}
	l.isSettled = true
	l.cancel()
	outcome, verdict := e.lostOutcome(ctx, l)
	if l.resp != nil {
		outcome.Load = l.resp.Load
		_ = l.resp.Body.Close()
	}
	e.triedTargets[l.target.Name] = true
	if outcome.Cut {
		outcome.Down = e.recordCutAttempt(l.target)
	}
	now := time.Now()
	if e.service.IsEngine {
		e.relay.Fleet.PromptRead(l.target.Name, e.call.InputTokens)
	}
	e.release(l, outcome, now)
	e.relay.Fleet.RecordVersionResult(l.target, e.lostVersionResult(l, outcome, now), now)
	e.relay.Metrics.RecordAttempt(e.service.Name, verdict)
	e.relay.Log.Info("hedged attempt lost", "id", e.call.ID, "target", l.target.Name, "data_centre", l.target.DataCentre, "copy", l.isCopy,
		"verdict", verdict, "status", statusOf(l.resp), "took_ms", now.Sub(l.startedAt).Milliseconds())
}

// lostVersionResult returns what a leg that is not chosen says about the version of its target. A first send that was cancelled counts with
// the time that it had taken: a slow version would otherwise give no evidence, since the copies respond in its place.
func (e *exchange) lostVersionResult(l *leg, outcome radishfleet.Outcome, now time.Time) radishfleet.VersionResult {
	if l.hasEnded {
		return e.versionResult(l.resp, l.err, outcome, now.Sub(l.startedAt))
	}
	return radishfleet.VersionResult{Route: e.versionRoute(), Calls: 1, Took: now.Sub(l.startedAt), Inconclusive: l.isCopy}
}

// release reports the leg's outcome to the fleet. A cancelled leg counts as in flight for as long again as it has taken: the target is
// probably still slow, and would get the next call since its only one was cancelled.
func (e *exchange) release(l *leg, outcome radishfleet.Outcome, now time.Time) {
	if l.hasEnded || l.isCopy || outcome.Failed {
		e.relay.Fleet.Done(l.target.Name, outcome, now)
		return
	}
	time.AfterFunc(now.Sub(l.startedAt), func() { e.relay.Fleet.Done(l.target.Name, outcome, time.Now()) })
}

// lostOutcome returns what a leg that is not chosen indicates about its target, and counts it if it may have executed.
func (e *exchange) lostOutcome(ctx context.Context, l *leg) (outcome radishfleet.Outcome, verdict string) {
	switch {
	case !l.hasEnded:
		e.possibleExecutions++
		return e.cancelledOutcome(l), "cancelled"
	case errors.Is(l.err, radish.ErrNotSent):
		outcome = e.outcomeWithoutResponse(ctx, true)
		outcome.Down = outcome.Failed && radishfleet.IsRefused(l.err)
		return outcome, "not_run"
	case l.err != nil || l.readErr != nil:
		e.possibleExecutions++
		return e.outcomeWithoutResponse(ctx, false), "failed"
	case l.resp.InputsMissing:
		return radishfleet.Outcome{}, "no_inputs"
	case l.resp.NotExecuted:
		return radishfleet.Outcome{Rejected: true, Failed: l.resp.WrongInstance}, "not_run"
	default:
		e.possibleExecutions++
		return radishfleet.Outcome{ErrorResponse: true}, "error"
	}
}

// cancelledOutcome returns what a leg indicates that did not respond before the other one. It counts as a failure if it had as much time
// as the latency objective, as for a call that times out: a target that never responds would otherwise never be ejected.
func (e *exchange) cancelledOutcome(l *leg) radishfleet.Outcome {
	hadTime := e.route.LatencyObjective > 0 && time.Since(l.startedAt) >= e.route.LatencyObjective
	if !hadTime {
		e.recordCancelled(l)
	}
	return radishfleet.Outcome{Failed: hadTime, Inconclusive: !hadTime}
}

// recordFirstTime reports how long the first leg took, or how long it had taken when it was cancelled.
func (e *exchange) recordFirstTime(first *leg) {
	isAnswered := first.hasEnded && first.err == nil && first.isUsable() && first.resp.Status < http.StatusBadRequest
	if isAnswered || !first.hasEnded {
		now := time.Now()
		e.relay.Hedger.RecordTime(e.hedgeKind(), now.Sub(first.startedAt), now)
	}
}

func (e *exchange) hedgeKind() radishhedge.Kind {
	return radishhedge.Kind{Service: e.service.Name, Route: e.route.Name, Size: radishhedge.SizeClass(e.call.InputTokens)}
}
