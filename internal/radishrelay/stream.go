package radishrelay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLong reports an event over the size limit.
var errEventTooLong = errors.New("event is too long or was cut")

// relayStream relays events as they arrive, each only once it is complete, so that a broken stream can be resumed on
// another target.
func (e *exchange) relayStream(ctx context.Context, t radish.Target, resp *radish.TargetResponse) (decision, radishfleet.Outcome) {
	reader := bufio.NewReader(resp.Body)
	// The length that this target announces does not cover events from another target that resumes the stream.
	if e.route.IsResumable {
		resp.Header.Del("Content-Length")
	}
	for {
		event, id, err := readEvent(reader)
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

var idField = []byte("id:")

// readEvent returns the bytes of the next event, including the empty line that terminates it, and its ID. At the end
// of the stream it returns io.EOF, without bytes if the stream ended cleanly and with the partial event otherwise.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		event = append(event, part...)
		if len(event) > maxEventBytes {
			return nil, "", errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			// The line is longer than the buffer; only its end shows whether it is empty.
			continue
		}
		if err != nil {
			return event, "", err
		}
		line := bytes.TrimRight(event[lineStart:], "\r\n")
		if len(line) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
		lineStart = len(event)
	}
}
