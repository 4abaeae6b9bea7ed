package radishrelay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// TestStopIsIdempotent stops a relay twice, as when two signals end the VM.
func TestStopIsIdempotent(t *testing.T) {
	relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce}, respondsWith(http.StatusOK, "ok"))
	for _, stop := range []struct {
		name   string
		send   func()
		signal *stopSignal
	}{{"stages", relay.StopStages, &relay.stagesStopped}, {"waiting", relay.StopWaiting, &relay.waitingStopped}} {
		stop.send()
		stop.send()
		select {
		case <-stop.signal.context().Done():
		default:
			t.Errorf("the relay does not stop: %s", stop.name)
		}
	}
}

// TestDeniedRetriesAreNotCounted lets the budget deny a call's second retry. The metric must count the one that was made.
func TestDeniedRetriesAreNotCounted(t *testing.T) {
	metrics, err := radishmetric.New()
	if err != nil {
		t.Fatal(err)
	}
	relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 5, Timeout: time.Second}, failsWith(errReset))
	relay.Metrics = metrics
	relay.RetryBudget.Burst = func() float64 { return 1 }
	relay.RetryRatio = func() float64 { return 0 }
	handle(t.Context(), relay, newCall())
	if len(forwarder.sends) != 2 {
		t.Fatalf("%d attempts, want 2", len(forwarder.sends))
	}
	res := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(res, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if want := `radishramp_retries_total{service="s"} 1`; !strings.Contains(res.Body.String(), want) {
		t.Errorf("metrics do not contain %q", want)
	}
}

// TestErrorResponsesCountAgainstTarget lets one of five targets respond to all calls with a server error, which is relayed. It must get
// few of the calls.
func TestErrorResponsesCountAgainstTarget(t *testing.T) {
	relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce}, respondsByTarget(func(target string) int {
		if target == "t0" {
			return http.StatusInternalServerError
		}
		return http.StatusOK
	}))
	const calls = 200
	failed := 0
	for range calls {
		if handle(t.Context(), relay, newCall()).status != http.StatusOK {
			failed++
		}
	}
	if failed > calls/10 || len(forwarder.sends) != calls {
		t.Errorf("%d of %d calls got an error response in %d attempts, want at most a tenth and one attempt a call", failed, calls, len(forwarder.sends))
	}
}

// TestStopAnswersWaitingCalls guards against calls that wait at a target when the VM ends and whose connections are closed without a response:
// those without a response get one that says whether they may have executed, and responses that have started go on.
func TestStopAnswersWaitingCalls(t *testing.T) {
	const ms = time.Millisecond
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	idempotent := &radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 3}
	tests := []struct {
		name    string
		route   *radishroute.Route
		hedged  bool
		respond responder
		want    radish.RefusalKind
	}{
		{"call that may execute once", &radishroute.Route{Kind: radishroute.KindAtMostOnce}, false, neverResponds, radish.RefusalTargetFailed},
		{"idempotent call is not sent again", idempotent, false, neverResponds, radish.RefusalTargetFailed},
		{"both sends of a hedged call", idempotent, true, neverResponds, radish.RefusalTargetFailed},
		{"plain response without its end", idempotent, false, withSlowBody(false, 900*ms, "a", "b"), radish.RefusalTargetFailed},
		{"stream without an event", &radishroute.Route{Kind: radishroute.KindStream}, false, withSlowBody(true, 1500*ms, events...), radish.RefusalTargetFailed},
		{"resumable stream without an event", &radishroute.Route{Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 3}, false,
			withSlowBody(true, 1500*ms, events...), radish.RefusalTargetFailed},
		{"call that is not sent yet", idempotent, false, connectsNever, radish.RefusalNotExecuted},
		{"stream with an event", &radishroute.Route{Kind: radishroute.KindStream}, false, withSlowBody(true, 900*ms, events...), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := *test.route
				newTestRelay := newRelay
				if test.hedged {
					newTestRelay = newHedgingRelay
				}
				relay, forwarder := newTestRelay(&route, test.respond)
				call := newCall()
				call.Timeout = 10 * time.Second
				time.AfterFunc(time.Second, relay.StopWaiting)
				w := handle(t.Context(), relay, call)
				checkStopped(t, w, time.Since(call.ReceivedAt), test.want)
				if want := map[bool]int{false: 1, true: 2}[test.hedged]; len(forwarder.sends) != want {
					t.Errorf("%d sends, want %d", len(forwarder.sends), want)
				}
				if usable := len(relay.Fleet.UsableTargets("s", time.Now())); usable != 5 {
					t.Errorf("%d targets are usable, want 5: their calls were cancelled", usable)
				}
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// connectsNever fails as a call that was not sent when its context ends.
func connectsNever(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
	<-ctx.Done()
	return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, ctx.Err())
}

// checkStopped checks the response to a call that waited when the relay was stopped a second after it came. An empty refusal stands for a
// complete response.
func checkStopped(t *testing.T, w *fakeResponseWriter, took time.Duration, want radish.RefusalKind) {
	t.Helper()
	if want == "" {
		if w.refusal != nil || w.aborted || strings.Count(w.body.String(), "data:") != 2 {
			t.Errorf("got refusal %+v, aborted %v, body %q, want all events", w.refusal, w.aborted, w.body.String())
		}
		return
	}
	if w.refusal == nil || w.refusal.Kind != want || w.status != 0 || took != time.Second {
		t.Errorf("got refusal %+v, status %d after %v, want %s after 1s", w.refusal, w.status, took, want)
	}
}

// TestLateCallsAreRefused guards against calls that come shortly before the VM ends, are sent, and are cut when it ends: such a call is refused as not
// run, unless its own time ends before.
func TestLateCallsAreRefused(t *testing.T) {
	for _, timeout := range []time.Duration{500 * time.Millisecond, 10 * time.Second} {
		relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce}, respondsWith(http.StatusOK, "ok"))
		relay.RefuseLate(time.Now().Add(2 * time.Second))
		call := newCall()
		call.Timeout = timeout
		w := handle(t.Context(), relay, call)
		isLate := timeout > 2*time.Second
		isRefused := w.refusal != nil && w.refusal.Kind == radish.RefusalNotExecuted && w.refusal.RetryAfter > 0
		if isRefused != isLate || len(forwarder.sends) > 0 == isLate {
			t.Errorf("call that is limited to %v: refusal %+v after %d sends", timeout, w.refusal, len(forwarder.sends))
		}
	}
}
