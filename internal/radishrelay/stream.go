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

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// errEvent reports bytes that are no event.
var errEvent = errors.New("event is too long or was cut")

// passStream passes events on as they come, each only when it is whole. A stream that breaks off may go on elsewhere.
func (e *exchange) passStream(ctx context.Context, a *radish.TargetResponse) (verdict, radishfleet.Outcome) {
	reader := bufio.NewReader(a.Body)
	// The length of what this target sends is not that of the whole answer when the stream goes on elsewhere.
	if e.route.IsResumable {
		a.Header.Del("Content-Length")
	}
	for {
		event, id, err := readEvent(reader)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			return e.endStream(a)
		}
		if err != nil {
			return e.breakStream(ctx)
		}
		if !e.begun {
			e.begin(a)
			e.releaseInputs()
		}
		e.notePause()
		if _, err := e.w.Write(event); err != nil {
			e.outcome = outcomeLeft
			return verdictDone, radishfleet.Outcome{}
		}
		if id != "" {
			e.lastEvent = id
		}
	}
}

// notePause takes in that an event is passed on now.
func (e *exchange) notePause() {
	now := time.Now()
	if !e.eventAt.IsZero() {
		e.longestPause = max(e.longestPause, now.Sub(e.eventAt))
	}
	e.eventAt = now
}

func (e *exchange) endStream(a *radish.TargetResponse) (verdict, radishfleet.Outcome) {
	if !e.begun {
		e.begin(a)
	}
	e.outcome = outcomeAnswered
	return verdictDone, radishfleet.Outcome{}
}

// breakStream decides what becomes of a stream that its target broke off.
func (e *exchange) breakStream(ctx context.Context) (verdict, radishfleet.Outcome) {
	outcome := e.unanswered(ctx, false)
	if !e.begun || e.route.IsResumable && e.lastEvent != "" {
		return verdictRepeat, outcome
	}
	e.breakOff(outcomeCut)
	return verdictDone, outcome
}

var idField = []byte("id:")

// readEvent returns the bytes of the next event with the empty line that ends it, and its id. At the stream's end it
// returns io.EOF with no bytes, and with some when an event was cut.
func readEvent(r *bufio.Reader) (event []byte, id string, err error) {
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, "", err
		}
		if len(event) > maxEvent {
			return nil, "", errEvent
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(trimmed, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}
