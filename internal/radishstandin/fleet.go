package radishstandin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Fleet is a set of targets that are called in the same process, without HTTP, so that tests can run on a paused
// clock; set the exported fields before first use.
type Fleet struct {
	// Latency is the time of a call's way to the target; the way back takes none.
	Latency time.Duration

	mu      sync.Mutex
	targets map[string]*Target
	cut     map[string]bool
}

var _ radish.TargetClient = (*Fleet)(nil)

// Add puts a target into the fleet and starts it.
func (f *Fleet) Add(t *Target) {
	t.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets == nil {
		f.targets = make(map[string]*Target)
		f.cut = make(map[string]bool)
	}
	f.targets[t.Name] = t
}

// SetCut makes a target unreachable or reachable again.
func (f *Fleet) SetCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[name] = cut
}

// Target returns the target with the name, nil when there is none.
func (f *Fleet) Target(name string) *Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[name] {
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
	sleep(ctx, f.Latency)
	return t.Do(ctx, a)
}

// Load implements radish.TargetClient.
func (f *Fleet) Load(ctx context.Context, target radish.Target) (radish.LoadReport, error) {
	t := f.Target(target.Name)
	if t == nil || !sleep(ctx, f.Latency) {
		return radish.LoadReport{}, radish.ErrUnavailable
	}
	return t.Load(), nil
}

// Do runs the attempt as the HTTP handler would, with the errors that its client would return.
func (t *Target) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	started := time.Now()
	run, ok := t.begin(a.ID, a.RequestID)
	if !ok {
		return nil, radish.ErrRejected
	}
	defer t.end(run)
	if !t.runWork(ctx, run.work) {
		return nil, fmt.Errorf("%w: %w", radish.ErrTargetFailed, ctx.Err())
	}
	t.mu.Lock()
	answer := &radish.Response{AttemptID: run.answers, State: t.state(), InFlight: t.inFlight, Latency: time.Since(started)}
	t.mu.Unlock()
	switch {
	case run.fails:
		return answer, radish.ErrTargetFailed
	case run.answers != a.ID:
		return answer, radish.ErrAttemptMismatch
	case run.cut:
		return answer, radish.ErrTruncated
	}
	if a.Sink == nil {
		answer.Body = answerBody(run, t.Name, a.Kind.Name, len(a.Input))
		return answer, nil
	}
	for i := range t.Tokens {
		if _, err := fmt.Fprintf(a.Sink, "data: {\"token\":%d}\n\n", i); err != nil {
			return answer, err
		}
	}
	return answer, nil
}
