package radishrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// stoppingRetryAfter is the mean retry delay for calls that come too late before the VM exits. Their callers reach another VM.
const stoppingRetryAfter = 100 * time.Millisecond

// errStopping reports that the VM is shutting down before the call has a response.
var errStopping = errors.New("this VM is about to end")

// stopSignal is sent at most once and stays set. Its zero value is ready to use.
type stopSignal struct {
	initOnce sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
}

// context returns the context that ends when the signal is sent.
func (s *stopSignal) context() context.Context {
	s.initOnce.Do(func() { s.ctx, s.cancel = context.WithCancel(context.Background()) })
	return s.ctx
}

func (s *stopSignal) send() {
	s.context()
	s.cancel()
}

// RefuseLate makes the relay refuse calls that may last beyond the end, when the VM ends those without a response: nothing of them has been sent,
// so their callers can repeat them at another VM. Calls that are limited to a time before the end are served.
func (r *Relay) RefuseLate(end time.Time) { r.refuseLateAfter.Store(&end) }

// checkEnd decides whether the call ends before the VM does; if it returns false, the call must be refused.
func (e *exchange) checkEnd() (radish.Refusal, bool) {
	end := e.relay.refuseLateAfter.Load()
	if end == nil || !e.deadline.After(*end) {
		return radish.Refusal{}, true
	}
	return radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: jitter(stoppingRetryAfter), Reason: errStopping.Error()}, false
}

// StopStages makes the relay refuse calls whose stages have not finished. It is called shortly before the VM exits.
func (r *Relay) StopStages() { r.stagesStopped.send() }

// StopWaiting makes the relay end calls whose response has not started, since the VM exits before a response could be relayed. Responses that
// have started go on.
func (r *Relay) StopWaiting() { r.waitingStopped.send() }

// withStop returns a context that ends with errStopping as its cause when the signal is sent. After
// release, the signal no longer ends it.
func withStop(ctx context.Context, s *stopSignal) (stoppable context.Context, cancel context.CancelFunc, release func() bool) {
	stoppable, cancelCause := context.WithCancelCause(ctx)
	release = context.AfterFunc(s.context(), func() { cancelCause(errStopping) })
	cancel = func() {
		release()
		cancelCause(nil)
	}
	return stoppable, cancel, release
}

// isStopping reports whether the context ended because the VM is shutting down.
func isStopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopping) }
