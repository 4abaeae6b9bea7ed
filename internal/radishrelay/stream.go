package radishrelay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// relayStream relays events as they arrive, each only once it is complete, so that a broken stream can be resumed on
// another target.
func (e *exchange) relayStream(ctx context.Context, t radish.Target, resp *radish.TargetResponse) (decision, radishfleet.Outcome) {
	reader := &eventReader{Reader: bufio.NewReader(resp.Body), memory: e.call.Memory}
	// The length that this target announces does not cover events from another target that resumes the stream.
	if e.route.IsResumable {
		resp.Header.Del("Content-Length")
	}
	for {
		event, id, err := reader.next()
		if errors.Is(err, io.EOF) && len(event) == 0 {
			e.recordStream(t)
			return e.finishStream(resp)
		}
		if err != nil {
			return e.handleBrokenStream(ctx)
		}
		if !e.responseStarted {
			e.relay.Engines.Record(e.service.Name, e.call.InputTokens, time.Since(e.attemptStartedAt))
			e.startResponse(resp)
			e.freeInputs()
		}
		e.recordEventGap()
		e.recordFirstEvent(t, resp)
		e.attemptEvents++
		if e.attemptEvents == answeredEvents {
			e.recordAnswer()
		}
		if _, err := e.w.Write(event); err != nil {
			e.outcome = outcomeCallerLeft
			return decisionDone, radishfleet.Outcome{}
		}
		if id != "" {
			e.lastEventID = id
		}
	}
}

// recordEventGap updates the longest gap between events when an event is about to be relayed.
func (e *exchange) recordEventGap() {
	now := time.Now()
	if !e.lastEventAt.IsZero() {
		e.longestEventGap = max(e.longestEventGap, now.Sub(e.lastEventAt))
	}
	e.lastEventAt = now
}

func (e *exchange) finishStream(resp *radish.TargetResponse) (decision, radishfleet.Outcome) {
	if !e.responseStarted {
		e.startResponse(resp)
	}
	e.outcome = outcomeAnswered
	e.recordAnswer()
	return decisionDone, radishfleet.Outcome{}
}

// handleBrokenStream decides whether a stream that its target broke off is resumed on another target or aborted.
func (e *exchange) handleBrokenStream(ctx context.Context) (decision, radishfleet.Outcome) {
	outcome := e.outcomeWithoutResponse(ctx, false)
	if !e.responseStarted || e.route.IsResumable && e.lastEventID != "" {
		return decisionRetry, outcome
	}
	e.abort(outcomeTruncated)
	return decisionDone, outcome
}
