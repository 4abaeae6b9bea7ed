package radishrelay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishhedge"
	"radishramp.example/radishramp/pkg/radishroute"
)

// hedgeDelay is the time after which copies are sent in tests, within the precision of the learned times.
const hedgeDelay = 100 * time.Millisecond

// newHedgingRelay returns a relay that has learned that calls of the route take hedgeDelay.
func newHedgingRelay(route *radishroute.Route, responders ...responder) (*Relay, *fakeForwarder) {
	relay, forwarder := newRelay(route, responders...)
	relay.Hedger = &radishhedge.Hedger{Share: 0.5}
	for range 100 {
		relay.Hedger.RecordCall("s", time.Now())
		relay.Hedger.RecordTime(radishhedge.Kind{Service: "s", Route: route.Name}, hedgeDelay, time.Now())
	}
	return relay, forwarder
}

// bodies counts the response bodies that have not been closed.
type bodies struct{ open atomic.Int64 }

type trackedBody struct {
	io.ReadCloser
	open *atomic.Int64
}

func (b trackedBody) Close() error {
	b.open.Add(-1)
	return b.ReadCloser.Close()
}

func (b *bodies) track(respond responder) responder {
	return func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
		resp, err := respond(ctx, req)
		if err == nil {
			b.open.Add(1)
			resp.Body = trackedBody{resp.Body, &b.open}
		}
		return resp, err
	}
}

// after responds after the time, unless the attempt is cancelled before.
func after(d time.Duration, respond responder) responder {
	return func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
		select {
		case <-time.After(d):
			return respond(ctx, req)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// withSlowBody responds at once, and with the body's parts after a pause each.
func withSlowBody(isStream bool, pause time.Duration, parts ...string) responder {
	return func(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return &radish.TargetResponse{
			Status: http.StatusOK, Header: http.Header{}, Body: &pacedBody{ctx: ctx, parts: parts, pause: pause}, ContentLength: -1, IsStream: isStream,
			Signed: true,
		}, nil
	}
}

func checkNothingRemains(t *testing.T, relay *Relay, open *bodies) {
	t.Helper()
	// A target that turns a call away counts as full for a second.
	time.Sleep(2 * time.Second)
	synctest.Wait()
	if n := open.open.Load(); n != 0 {
		t.Errorf("%d bodies are not closed", n)
	}
	for i := range 5 {
		snapshot := relay.Fleet.TargetSnapshot(fmt.Sprintf("t%d", i), time.Now())
		if snapshot.CallsInFlight != 0 || snapshot.UnreadTokens != 0 {
			t.Errorf("t%d: %d calls and %d tokens remain", i, snapshot.CallsInFlight, snapshot.UnreadTokens)
		}
	}
}

// TestOneOfTwoResponsesIsRelayed sends a copy of a slow call. It guards against responses mixed of both, a copy that makes a call fail or late,
// and calls, bodies or requests of the loser that remain.
func TestOneOfTwoResponsesIsRelayed(t *testing.T) {
	const ms = time.Millisecond
	first, second := respondsWith(200, "first"), respondsWith(200, "copy")
	event := func(text string) string { return "id: 1\ndata: " + text + "\n\n" }
	tests := []struct {
		name        string
		isStream    bool
		responders  []responder
		wantSends   int
		wantStatus  int
		wantBody    string
		wantAfter   time.Duration
		wantRefusal radish.RefusalKind
	}{
		{"usual call", false, []responder{after(90*ms, first), second}, 1, 200, "first", 90 * ms, ""},
		{"usual failure", false, []responder{failsWith(errReset), second}, 2, 200, "copy", 0, ""},
		{"first never responds", false, []responder{neverResponds, after(50*ms, second)}, 2, 200, "copy", 150 * ms, ""},
		{"both respond", false, []responder{after(140*ms, first), after(30*ms, second)}, 2, 200, "copy", 130 * ms, ""},
		{"both respond at the same time", false, []responder{after(150*ms, respondsWith(200, "same")), after(50*ms, respondsWith(200, "same"))}, 2, 200, "same", 150 * ms, ""},
		{"first responds while the copy is being sent", false, []responder{after(120*ms, first), neverResponds}, 2, 200, "first", 120 * ms, ""},
		{"first fails after the copy was sent", false, []responder{after(120*ms, failsWith(errReset)), after(50*ms, second)}, 2, 200, "copy", 150 * ms, ""},
		{"copy fails", false, []responder{after(180*ms, first), after(20*ms, failsWith(errReset))}, 2, 200, "first", 180 * ms, ""},
		{"copy is turned away", false, []responder{after(180*ms, first), rejectsUnexecuted(503)}, 2, 200, "first", 180 * ms, ""},
		{"copy does not find its inputs", false, []responder{after(180*ms, first), rejectsUnexecuted(409)}, 2, 200, "first", 180 * ms, ""},
		{"copy cannot be sent", false, []responder{after(180*ms, first), failsWith(radish.ErrNotSent)}, 2, 200, "first", 180 * ms, ""},
		{"both fail", false, []responder{after(150*ms, failsWith(errReset)), after(20*ms, failsWith(errReset))}, 2, 0, "", 150 * ms, radish.RefusalTargetFailed},
		{"server error, then no response", false, []responder{after(150*ms, respondsWith(500, "no")), after(80*ms, failsWith(errReset))}, 2, 500, "no", 180 * ms, ""},
		{"server error of the copy", false, []responder{after(180*ms, first), respondsWith(500, "no")}, 2, 200, "first", 180 * ms, ""},
		{"both server errors", false, []responder{after(150*ms, respondsWith(500, "no")), after(80*ms, respondsWith(500, "no"))}, 2, 500, "no", 180 * ms, ""},
		{"slow body", false, []responder{withSlowBody(false, 90*ms, "fi", "rst"), second}, 2, 200, "copy", 100 * ms, ""},
		{"body of the copy breaks off", false, []responder{after(180*ms, first), respondsTruncated("co")}, 2, 200, "first", 180 * ms, ""},
		{"slow first event", true, []responder{withSlowBody(true, 300*ms, event("first")), withSlowBody(true, 40*ms, event("copy"))}, 2, 200, event("copy"), 140 * ms, ""},
		{"slow second event", true, []responder{withSlowBody(true, 90*ms, event("1"), event("2")), second}, 1, 200, event("1") + event("2"), 90 * ms, ""},
		{"both never respond", false, []responder{neverResponds}, 2, 0, "", 800 * ms, radish.RefusalTimedOut},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := &radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2, Timeout: 800 * time.Millisecond}
				if test.isStream {
					route.Kind, route.IsResumable = radishroute.KindStream, true
				}
				var open bodies
				for i := range test.responders {
					test.responders[i] = open.track(test.responders[i])
				}
				relay, forwarder := newHedgingRelay(route, test.responders...)
				relay.Config().Services["s"].IsEngine = true
				call := newCall()
				call.InputTokens = 200
				w := handle(t.Context(), relay, call)
				if len(forwarder.sends) != test.wantSends || w.status != test.wantStatus || w.body.String() != test.wantBody || w.aborted {
					t.Errorf("%d sends, status %d, body %q, aborted %t", len(forwarder.sends), w.status, w.body.String(), w.aborted)
				}
				if (w.refusal == nil) != (test.wantRefusal == "") || w.refusal != nil && w.refusal.Kind != test.wantRefusal {
					t.Errorf("refusal %+v", w.refusal)
				}
				if took := w.endedAt.Sub(call.ReceivedAt); (took - test.wantAfter).Abs() > 2*time.Millisecond {
					t.Errorf("response after %v, want %v", took, test.wantAfter)
				}
				if len(forwarder.sends) == 2 && forwarder.sends[0].Target.Name == forwarder.sends[1].Target.Name {
					t.Error("both were sent to one target")
				}
				checkNothingRemains(t, relay, &open)
			})
		})
	}
}

// respondsTruncated responds with a body that breaks off.
func respondsTruncated(text string) responder {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return &radish.TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: truncatedBody{strings.NewReader(text)}, ContentLength: 9, Signed: true}, nil
	}
}

// TestLoserIsCancelledAtOnce sends a long response that is usable before it is complete. It guards against targets that go on with a call whose
// response is no longer needed, and against long responses that are held whole or lose their end.
func TestLoserIsCancelledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelledAt time.Time
		relay, _ := newHedgingRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2},
			func(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
				<-ctx.Done()
				cancelledAt = time.Now()
				return nil, ctx.Err()
			},
			func(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
				rest := &pacedBody{ctx: ctx, parts: []string{"rest"}, pause: 500 * time.Millisecond}
				body := io.MultiReader(strings.NewReader(strings.Repeat("x", maxHeldBytes)), rest)
				return &radish.TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body), ContentLength: -1, Signed: true}, nil
			})
		call := newCall()
		w := handle(t.Context(), relay, call)
		synctest.Wait()
		if took := cancelledAt.Sub(call.ReceivedAt); took > hedgeDelay+time.Millisecond {
			t.Errorf("cancelled after %v", took)
		}
		if w.body.Len() != maxHeldBytes+len("rest") || w.aborted {
			t.Errorf("%d bytes, aborted %t", w.body.Len(), w.aborted)
		}
	})
}

// TestCallerLeavesHedgedCall guards against copies that go on after their caller has left.
func TestCallerLeavesHedgedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, forwarder := newHedgingRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 3}, neverResponds)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(150*time.Millisecond, cancel)
		call := newCall()
		w := handle(ctx, relay, call)
		if took := time.Since(call.ReceivedAt); len(forwarder.sends) != 2 || took != 150*time.Millisecond || !w.aborted {
			t.Errorf("%d sends, ended after %v, aborted %t", len(forwarder.sends), took, w.aborted)
		}
		checkNothingRemains(t, relay, &bodies{})
		if n := len(relay.Fleet.UsableTargets("s", time.Now())); n != 5 {
			t.Errorf("%d usable targets", n)
		}
	})
}

// TestCallsThatMustNotBeCopied guards against copies of calls that may execute once only, whose prompt may crash targets, or for which a copy is
// of no use.
func TestCallsThatMustNotBeCopied(t *testing.T) {
	suspected := func(relay *Relay) {
		relay.Quarantine.RecordCrash(radish.Target{Name: "t9", Service: "s"}, []string{"p"}, time.Now())
	}
	busy := func(relay *Relay) {
		for i := range 5 {
			load := radish.TargetLoad{Running: 3, Slots: 4, Reported: true}
			relay.Fleet.Done(fmt.Sprintf("t%d", i), radishfleet.Outcome{Load: load}, time.Now())
		}
	}
	onlyTarget := func(relay *Relay) {
		for i := range 4 {
			relay.Fleet.Remove(fmt.Sprintf("t%d", i))
		}
	}
	idempotent := radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2, Timeout: 800 * time.Millisecond}
	once, stream, oneAttempt, short := idempotent, idempotent, idempotent, idempotent
	once.Kind, stream.Kind, oneAttempt.MaxAttempts, short.Timeout = radishroute.KindAtMostOnce, radishroute.KindStream, 1, 190*time.Millisecond
	tests := []struct {
		name      string
		route     radishroute.Route
		prepare   func(relay *Relay)
		wantSends int
	}{
		{"copied", idempotent, func(*Relay) {}, 2},
		{"at most once", once, func(*Relay) {}, 1},
		{"stream that is not resumable", stream, func(*Relay) {}, 1},
		{"one attempt", oneAttempt, func(*Relay) {}, 1},
		{"too little time", short, func(*Relay) {}, 1},
		{"hedging is off", idempotent, func(relay *Relay) { relay.Hedger = nil }, 1},
		{"nothing learned", idempotent, func(relay *Relay) { relay.Hedger = &radishhedge.Hedger{Share: 0.5} }, 1},
		{"limit used up", idempotent, func(relay *Relay) {
			for relay.Hedger.Take("s", time.Now()) {
			}
		}, 1},
		{"half of the retry budget used up", idempotent, func(relay *Relay) {
			relay.RetryBudget.RecordAttempt("s", 0)
			relay.RetryRatio = func() float64 { return 0 }
			for range 3 {
				relay.RetryBudget.AllowRetry("s")
			}
		}, 1},
		{"prompt suspected", idempotent, suspected, 1},
		{"busy service", idempotent, busy, 1},
		{"no other target", idempotent, onlyTarget, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay, forwarder := newHedgingRelay(&test.route, after(400*time.Millisecond, respondsWith(200, "first")), neverResponds)
				test.prepare(relay)
				call := newCall()
				call.Prompt = promptOf("p", "own")
				handle(t.Context(), relay, call)
				if len(forwarder.sends) != test.wantSends {
					t.Errorf("%d sends, want %d", len(forwarder.sends), test.wantSends)
				}
				synctest.Wait()
			})
		})
	}
}

// TestUnresponsiveTargetGetsFewCallsDespiteCopies has one target accept calls and never respond, while copies of its calls are answered. It
// guards against a target that is never known to be unresponsive since its calls are always cancelled.
func TestUnresponsiveTargetGetsFewCallsDespiteCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2, LatencyObjective: 120 * time.Millisecond}
		relay, forwarder := newHedgingRelay(route, func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
			if req.Target.Name == "t0" {
				return neverResponds(ctx, req)
			}
			return after(50*time.Millisecond, respondsWith(200, "body"))(ctx, req)
		})
		for range 100 {
			handle(t.Context(), relay, newCall())
		}
		lost := 0
		for _, req := range forwarder.sends {
			if req.Target.Name == "t0" {
				lost++
			}
		}
		if lost == 0 || lost > 3 {
			t.Errorf("%d calls were sent to the target", lost)
		}
	})
}

// TestPanicOfHedgedSendEndsItsCallOnly guards against a panic outside the goroutine of the call, where it would end the process.
func TestPanicOfHedgedSendEndsItsCallOnly(t *testing.T) {
	panics := func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) {
		panic("malformed response")
	}
	for _, responders := range [][]responder{{panics}, {neverResponds, panics}} {
		synctest.Test(t, func(t *testing.T) {
			relay, _ := newHedgingRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2}, responders...)
			defer func() {
				if cause := fmt.Sprint(recover()); !strings.Contains(cause, "malformed response") {
					t.Errorf("panic %q in the goroutine of the call", cause)
				}
				synctest.Wait()
			}()
			handle(t.Context(), relay, newCall())
		})
	}
}

// TestCopyReadsSameInputs guards against copies without the results of the call's stages, and results that are not released or twice.
func TestCopyReadsSameInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, forwarder := newHedgingRelay(routeWithStages(), neverResponds, streamsEvents(2, false))
		call := newCall()
		call.Pieces = []int{1, 2}
		w := handle(t.Context(), relay, call)
		synctest.Wait()
		if len(forwarder.sends) != 2 || w.status != http.StatusOK || !slices.Equal(forwarder.sends[0].Inputs, forwarder.sends[1].Inputs) {
			t.Fatalf("%d sends, status %d", len(forwarder.sends), w.status)
		}
		stages := relay.Stages.(*fakeStages)
		if freed := len(stages.freed); len(forwarder.sends[1].Inputs) != 2 || len(stages.plans) != 1 || freed != 1 {
			t.Errorf("inputs %v, %d plans, released %d times", forwarder.sends[1].Inputs, len(stages.plans), freed)
		}
	})
}

// TestCopiesCountAsExecutions guards against copies on top of the route's attempts, against a second copy of a call, and against copies once the
// caller has received events.
func TestCopiesCountAsExecutions(t *testing.T) {
	fails := after(150*time.Millisecond, failsWith(errReset))
	slow := after(400*time.Millisecond, respondsWith(200, "ok"))
	tests := []struct {
		name        string
		kind        radishroute.Kind
		maxAttempts int
		responders  []responder
		wantSends   int
		wantAborted bool
	}{
		{"one attempt left after two sends failed", radishroute.KindIdempotent, 3, []responder{fails}, 3, false},
		{"one attempt left after a failure", radishroute.KindIdempotent, 2, []responder{failsWith(errReset), slow}, 2, false},
		{"attempts left after two sends failed", radishroute.KindIdempotent, 5, []responder{fails, fails, slow}, 3, false},
		{"copy of a stream breaks off", radishroute.KindStream, 2, []responder{neverResponds, streamsEvents(1, true)}, 2, true},
		{"stream is resumed slowly", radishroute.KindStream, 4, []responder{streamsEvents(1, true), after(400*time.Millisecond, streamsEvents(2, false))}, 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay, forwarder := newHedgingRelay(&radishroute.Route{Kind: test.kind, IsResumable: true, MaxAttempts: test.maxAttempts}, test.responders...)
				w := handle(t.Context(), relay, newCall())
				targets := make(map[string]bool)
				for _, req := range forwarder.sends {
					targets[req.Target.Name] = true
				}
				if len(forwarder.sends) != test.wantSends || len(targets) != test.wantSends || w.aborted != test.wantAborted {
					t.Errorf("%d sends to %d targets, want %d; aborted %t", len(forwarder.sends), len(targets), test.wantSends, w.aborted)
				}
				synctest.Wait()
			})
		})
	}
}

// TestTimeOfCopyIsItsOwn guards against learned times of a copy that contain the delay after which it was sent.
func TestTimeOfCopyIsItsOwn(t *testing.T) {
	const learnedCalls = 8
	learned := func(responders ...responder) (estimate time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			relay, _ := newHedgingRelay(&radishroute.Route{Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 2}, responders...)
			for range learnedCalls {
				handle(t.Context(), relay, newCall())
			}
			estimate = relay.Engines.Estimate("s", 0)
			synctest.Wait()
		})
		return estimate
	}
	answer := after(40*time.Millisecond, streamsEvents(2, false))
	hedged := slices.Repeat([]responder{neverResponds, answer}, learnedCalls)
	if got, want := learned(hedged...), learned(answer); got != want {
		t.Errorf("time %v with a copy, %v without", got, want)
	}
}

// TestCopiesAreCounted guards against operators who cannot see what copies do: two are sent, one of them responds first, one is denied.
func TestCopiesAreCounted(t *testing.T) {
	metrics, err := radishmetric.New()
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		copied := after(20*time.Millisecond, respondsWith(200, "copy"))
		slow := after(150*time.Millisecond, respondsWith(200, "first"))
		relay, _ := newHedgingRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2}, neverResponds, copied, slow, neverResponds, slow)
		relay.Metrics = metrics
		handle(t.Context(), relay, newCall())
		handle(t.Context(), relay, newCall())
		relay.Hedger.Share = 0
		for relay.Hedger.Take("s", time.Now()) {
		}
		handle(t.Context(), relay, newCall())
		synctest.Wait()
	})
	res := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(res, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`radishramp_hedges_total{result="sent",service="s"} 2`, `radishramp_hedges_total{result="answered_first",service="s"} 1`,
		`radishramp_hedges_total{result="denied_share",service="s"} 1`, `radishramp_attempts_total{result="cancelled",service="s"} 2`,
	} {
		if !strings.Contains(res.Body.String(), want) {
			t.Errorf("metrics do not contain %q", want)
		}
	}
}
