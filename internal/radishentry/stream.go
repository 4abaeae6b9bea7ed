package radishentry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// eventWriter starts the event stream with the first byte and flushes after each event.
type eventWriter struct {
	w       http.ResponseWriter
	started bool
}

// Write implements io.Writer.
func (s *eventWriter) Write(p []byte) (int, error) {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	n, err := s.w.Write(p)
	// An empty line ends an event.
	if err == nil && len(p) <= 2 {
		err = http.NewResponseController(s.w).Flush()
	}
	return n, err
}

// answerStream passes events on as they come. The end event tells a whole answer from a cut one.
func (e *Entry) answerStream(ctx context.Context, w http.ResponseWriter, c *call) *Problem {
	events := &eventWriter{w: w}
	c.request.Sink = events
	result, err := e.Runner.Run(ctx, c.request)
	if err != nil {
		problem := problemOf(err, result)
		problem.RequestID = c.request.ID
		if !events.started {
			problem.write(w)
			return problem
		}
		text, _ := json.Marshal(problem)
		_, _ = fmt.Fprintf(events, "event: error\ndata: %s\n\n", text)
		return problem
	}
	if _, err := fmt.Fprintf(events, "event: end\ndata: {\"request_id\":%q,\"whole\":true}\n\n", c.request.ID); err != nil {
		return newProblem(http.StatusBadGateway, "caller_gone", "", err.Error())
	}
	return nil
}
