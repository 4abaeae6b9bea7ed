package radishrelay

import (
	"context"
	"math/rand/v2"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// pickTarget picks a target, waiting for one for a fraction of the latency objective.
func (e *exchange) pickTarget(ctx context.Context) (radish.Target, bool) {
	query := e.targetQuery()
	waitUntil := time.Now().Add(e.route.LatencyObjective / targetWaitDivisor)
	for {
		now := time.Now()
		if t, ok := e.relay.Fleet.Pick(query, now); ok {
			return t, true
		}
		if now.After(waitUntil) || ctx.Err() != nil || !e.mayTargetResume(waitUntil) {
			return radish.Target{}, false
		}
		select {
		case <-ctx.Done():
		case <-time.After(targetPollInterval):
		}
	}
}

// mayTargetResume reports whether waiting for a target until the time can help.
func (e *exchange) mayTargetResume(until time.Time) bool {
	now := time.Now()
	if e.relay.Fleet.HasUsableTarget(e.service.Name, now) {
		return true
	}
	wait := e.relay.Fleet.UntilResumed(e.service.Name, now)
	return wait > 0 && now.Add(wait).Before(until)
}

// noTargetRetryAfter returns when a caller should retry a call for which there is no target: after the first pause of a target, if all
// of them asked for one. The retries are spread over as much time again, within the time for which callers wait.
func (e *exchange) noTargetRetryAfter() time.Duration {
	wait := e.relay.Fleet.UntilResumed(e.service.Name, time.Now())
	if wait == 0 {
		return jitter(noCapacityRetryAfter)
	}
	latest := time.Duration(retryWindowShare * float64(time.Until(e.deadline)))
	return max(time.Millisecond, min(wait+rand.N(wait), latest))
}
