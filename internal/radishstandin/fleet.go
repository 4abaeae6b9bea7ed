package radishstandin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Fleet is a set of targets that are called within the process, without HTTP, so that tests can use the fake clock of
// testing/synctest. Set the exported fields before first use.
type Fleet struct {
	// Latency is the delay of a request on its way to the target; the response is not delayed.
	Latency time.Duration

	mu          sync.Mutex
	targets     map[string]*Target
	unreachable map[string]bool
}

var _ radish.TargetClient = (*Fleet)(nil)

// Add adds a target to the fleet and starts it.
func (f *Fleet) Add(t *Target) {
	t.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets == nil {
		f.targets = make(map[string]*Target)
		f.unreachable = make(map[string]bool)
	}
	f.targets[t.Name] = t
}

// SetUnreachable sets whether the named target is unreachable.
func (f *Fleet) SetUnreachable(name string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[name] = unreachable
}

// Target returns the named target, or nil if it does not exist or is unreachable.
func (f *Fleet) Target(name string) *Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable[name] {
		return nil
	}
	return f.targets[name]
}

// Do implements radish.TargetClient.
func (f *Fleet) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	if !a.StartDeadline.IsZero() && time.Now().After(a.StartDeadline) {
		return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, radish.ErrLeaseLost)
	}
	t := f.Target(a.Target.Name)
	if t == nil {
		return nil, radish.ErrNotSent
	}
	radish.Sleep(ctx, f.Latency)
	return t.Do(ctx, a)
}

// Load implements radish.TargetClient.
func (f *Fleet) Load(ctx context.Context, target radish.Target) (radish.LoadReport, error) {
	t := f.Target(target.Name)
	if t == nil || !radish.Sleep(ctx, f.Latency) {
		return radish.LoadReport{}, radish.ErrUnavailable
	}
	return t.Load(), nil
}

// Do runs the attempt as the HTTP handler does and returns the errors that the HTTP client would return.
func (t *Target) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	startedAt := time.Now()
	run, ok := t.startAttempt(a.ID, a.RequestID)
	if !ok {
		return nil, radish.ErrRejected
	}
	defer t.endAttempt(run)
	if !t.process(ctx, run.processingTime) {
		return nil, fmt.Errorf("%w: %w", radish.ErrTargetFailed, ctx.Err())
	}
	t.mu.Lock()
	response := &radish.Response{AttemptID: run.responseID, State: t.state(), InFlight: t.inFlight, Latency: time.Since(startedAt)}
	t.mu.Unlock()
	switch {
	case run.fails:
		return response, radish.ErrTargetFailed
	case run.responseID != a.ID:
		return response, radish.ErrAttemptMismatch
	case run.truncated:
		return response, radish.ErrTruncated
	}
	if a.Sink == nil {
		response.Body = responseBody(run, t.Name, a.Kind.Name, len(a.Input))
		return response, nil
	}
	for i := range t.Tokens {
		if _, err := fmt.Fprintf(a.Sink, "data: {\"token\":%d}\n\n", i); err != nil {
			return response, err
		}
	}
	return response, nil
}
