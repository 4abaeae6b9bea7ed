package radishrelay

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// relayResponse relays a response that is not an event stream.
func (e *exchange) relayResponse(ctx context.Context, t radish.Target, resp *radish.TargetResponse) (decision, radishfleet.Outcome) {
	body, isComplete, err := e.bufferResponse(resp)
	if err != nil {
		return decisionRetry, e.outcomeWithoutResponse(ctx, false)
	}
	isError := resp.Status >= 500
	e.recordResponse(t, resp)
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
	if isComplete {
		e.outcome = outcomeAnswered
		e.recordAnswer()
		return decisionDone, radishfleet.Outcome{ErrorResponse: isError}
	}
	return e.relayRemainder(ctx, resp)
}

// Sizes of the first and of the largest step in which a response is buffered.
const (
	minBufferStep = 4 << 10
	maxBufferStep = 64 << 10
)

// bufferResponse reads the response until its end, the limit, or until there is no more memory for the call.
func (e *exchange) bufferResponse(resp *radish.TargetResponse) (body []byte, isComplete bool, err error) {
	size := minBufferStep
	if resp.ContentLength > 0 {
		// One more byte than announced, since the end is noticed only after it.
		size = int(min(resp.ContentLength, maxBufferStep-1)) + 1
	}
	for len(body) < maxBufferedBytes {
		size = min(size, maxBufferedBytes-len(body))
		if e.call.Memory != nil && !e.call.Memory.Grow(int64(size), time.Now()) {
			return body, false, nil
		}
		body = slices.Grow(body, size)
		for end := len(body) + size; len(body) < end && err == nil; {
			var n int
			n, err = resp.Body.Read(body[len(body):end])
			body = body[:len(body)+n]
		}
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
		size = min(2*size, maxBufferStep)
	}
	return body, false, nil
}

// mayRetryErrorResponse reports whether a call may be retried on another target after the target responded with a
// server error.
func (e *exchange) mayRetryErrorResponse(ctx context.Context) bool {
	return ctx.Err() == nil && e.route.IsIdempotent() && e.route.Kind == radishroute.KindIdempotent &&
		e.possibleExecutions < e.route.MaxAttempts
}

func (e *exchange) startResponse(resp *radish.TargetResponse) {
	e.responseStarted = true
	e.releaseStop()
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
			e.recordAnswer()
			return decisionDone, radishfleet.Outcome{}
		}
		if err != nil {
			e.abort(outcomeTruncated)
			return decisionDone, e.outcomeWithoutResponse(ctx, false)
		}
	}
}
