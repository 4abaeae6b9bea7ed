package radishrelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// pauseAll makes all targets of the relay ask for a pause.
func pauseAll(relay *Relay, d time.Duration) {
	for _, t := range relay.Fleet.UsableTargets("s", time.Now()) {
		relay.Fleet.Observe(t, radish.TargetNotice{Pause: d}, time.Now())
	}
}

// TestAllTargetsPaused checks calls while all targets have asked for a pause: a call is refused at once, with a time to retry after the
// pause that differs from call to call, and waits only for a pause that is about to end.
func TestAllTargetsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce, LatencyObjective: 800 * time.Millisecond}, respondsWith(http.StatusOK, "ok"))
		pauseAll(relay, time.Second)
		retries := make(map[time.Duration]bool)
		for range 20 {
			call := newCall()
			call.Timeout = 12 * time.Second
			w := handle(t.Context(), relay, call)
			if w.refusal == nil || w.refusal.Kind != radish.RefusalNotExecuted || len(forwarder.sends) > 0 {
				t.Fatalf("status %d, refusal %v, %d attempts", w.status, w.refusal, len(forwarder.sends))
			}
			if took := w.endedAt.Sub(call.ReceivedAt); took > 0 {
				t.Errorf("refused after %v, want at once", took)
			}
			after := w.refusal.RetryAfter
			if after < time.Second || after > call.Timeout/3 {
				t.Errorf("retry after %v", after)
			}
			retries[after] = true
		}
		if len(retries) < 15 {
			t.Errorf("%d different times to retry for 20 calls", len(retries))
		}
		time.Sleep(950 * time.Millisecond)
		if w := handle(t.Context(), relay, newCall()); w.status != http.StatusOK {
			t.Errorf("shortly before the end of the pause: status %d, refusal %v", w.status, w.refusal)
		}
	})
}

// TestLastTargetLeaves has all targets announce that they leave: calls are refused at once as not run.
func TestLastTargetLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce, LatencyObjective: 8 * time.Second}, respondsWith(http.StatusOK, "ok"))
		for _, target := range relay.Fleet.UsableTargets("s", time.Now()) {
			relay.Fleet.Observe(target, radish.TargetNotice{IsLeaving: true}, time.Now())
		}
		call := newCall()
		w := handle(t.Context(), relay, call)
		if w.refusal == nil || w.refusal.Kind != radish.RefusalNotExecuted || w.endedAt != call.ReceivedAt || len(forwarder.sends) > 0 {
			t.Errorf("refusal %v after %v, %d attempts", w.refusal, w.endedAt.Sub(call.ReceivedAt), len(forwarder.sends))
		}
	})
}
