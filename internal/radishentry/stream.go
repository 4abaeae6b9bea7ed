package radishentry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// eventWriter writes server-sent events. It sends the response headers before the first byte and flushes after each
// event.
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
	// An event ends with an empty line, which is written by a call of its own.
	if err == nil && len(p) <= 2 {
		err = http.NewResponseController(s.w).Flush()
	}
	return n, err
}

// respondStream forwards the pipeline's events as they arrive. An end event marks the response as complete, so that
// the caller can distinguish it from a truncated one.
func (a *API) respondStream(ctx context.Context, w http.ResponseWriter, req *callerRequest) *Problem {
	events := &eventWriter{w: w}
	req.run.Sink = events
	result, err := a.Runner.Run(ctx, req.run)
	if err != nil {
		problem := newRunProblem(err, result)
		problem.RequestID = req.run.ID
		if !events.started {
			problem.write(w)
			return problem
		}
		text, _ := json.Marshal(problem)
		_, _ = fmt.Fprintf(events, "event: error\ndata: %s\n\n", text)
		return problem
	}
	if _, err := fmt.Fprintf(events, "event: end\ndata: {\"request_id\":%q,\"whole\":true}\n\n", req.run.ID); err != nil {
		return newProblem(http.StatusBadGateway, problemCallerGone, "", err.Error())
	}
	return nil
}
