package radishrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishengine"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishquarantine"
	"radishramp.example/radishramp/pkg/radishroute"
)

// responder is how a fake target responds to one attempt.
type responder func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error)

// fakeForwarder passes each attempt to the next responder, and all further attempts to the last one.
type fakeForwarder struct {
	mu         sync.Mutex
	responders []responder
	sends      []*radish.ForwardRequest
}

func (f *fakeForwarder) Forward(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
	f.mu.Lock()
	respond := f.responders[min(len(f.sends), len(f.responders)-1)]
	f.sends = append(f.sends, req)
	f.mu.Unlock()
	return respond(ctx, req)
}

func respondsWith(status int, body string) responder {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return &radish.TargetResponse{
			Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)), Signed: true,
		}, nil
	}
}

// respondsByTarget responds with the status that statusOf returns for the target.
func respondsByTarget(statusOf func(target string) int) responder {
	return func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return respondsWith(statusOf(req.Target.Name), "body")(ctx, req)
	}
}

func failsWith(err error) responder {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) { return nil, err }
}

func rejectsUnexecuted(status int) responder {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return &radish.TargetResponse{
			Status: status, Header: http.Header{}, Body: http.NoBody, NotExecuted: true, InputsMissing: status == http.StatusConflict,
		}, nil
	}
}

// neverResponds blocks until the attempt's context ends.
func neverResponds(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// truncatedBody fails with io.ErrUnexpectedEOF after its text.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (truncatedBody) Close() error { return nil }

// streamsEvents responds with the events after the requested resume position up to lastID; a truncated stream breaks
// off in the middle of the next event.
func streamsEvents(lastID int, truncated bool) responder {
	return func(_ context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
		firstID := 1
		if req.ResumeAfter != "" {
			_, _ = fmt.Sscan(req.ResumeAfter, &firstID)
			firstID++
		}
		text := ""
		for id := firstID; id <= lastID; id++ {
			text += fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		}
		resp := &radish.TargetResponse{
			Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), ContentLength: -1, IsStream: true,
			Signed: true,
		}
		if truncated {
			resp.Body = truncatedBody{strings.NewReader(text + "id: 99\nda")}
		}
		return resp, nil
	}
}

// fakeResponseWriter records the response that the caller would receive.
type fakeResponseWriter struct {
	status  int
	body    strings.Builder
	refusal *radish.Refusal
	aborted bool
	endedAt time.Time
}

func (w *fakeResponseWriter) Begin(status int, _ http.Header) {
	w.status, w.endedAt = status, time.Now()
}

func (w *fakeResponseWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

func (w *fakeResponseWriter) Refuse(r radish.Refusal) { w.refusal, w.endedAt = &r, time.Now() }

func (w *fakeResponseWriter) Abort() { w.aborted = true }

func newRelay(route *radishroute.Route, responders ...responder) (*Relay, *fakeForwarder) {
	route.Host, route.PathPrefix, route.Split = "a.example", "/a/", []radishroute.WeightedService{{Service: "s", Weight: 1}}
	cfg := &radishroute.Config{
		Version: 3, Routes: []*radishroute.Route{route}, Services: map[string]*radishroute.Service{"s": {Name: "s"}},
		Teams: map[string]*radishroute.Team{"secret": {Name: "roads"}}, RequiresKey: true,
	}
	cfg.BuildIndex()
	fleet := &radishfleet.Fleet{DataCentre: "a"}
	for i := range 5 {
		name := fmt.Sprintf("t%d", i)
		fleet.Set(radish.Target{Name: name, Address: name + ":1", DataCentre: "a", Service: "s", Slots: 4}, time.Now())
	}
	forwarder := &fakeForwarder{responders: responders}
	return &Relay{
		Config: func() *radishroute.Config { return cfg }, ConfigAge: func() time.Duration { return 0 },
		Fleet: fleet, Forwarder: forwarder, Stages: &fakeStages{freed: make(chan []string, 10)},
		RetryBudget: &radishtarget.RetryBudget{Burst: func() float64 { return 5 }}, RetryRatio: func() float64 { return 1 },
		Engines: &radishengine.Estimator{}, Quarantine: &radishquarantine.Quarantine{}, Log: hclog.NewNullLogger(),
	}, forwarder
}

func newCall() *radish.Call {
	return &radish.Call{
		ID: "call-1", Method: http.MethodPost, RequestTarget: "/a/x", Host: "a.example", Path: "/a/x", Header: http.Header{}, Key: "secret",
		ReceivedAt: time.Now(), Timeout: 2 * time.Second,
	}
}

func handle(ctx context.Context, relay *Relay, call *radish.Call) *fakeResponseWriter {
	w := &fakeResponseWriter{}
	relay.Handle(ctx, call, w)
	return w
}

var errReset = errors.New("connection reset by peer")

// TestRetryByRouteKind checks, for each kind of route, which failed attempts are retried and what the caller
// receives.
func TestRetryByRouteKind(t *testing.T) {
	const (
		idempotent = radishroute.KindIdempotent
		once       = radishroute.KindAtMostOnce
		stream     = radishroute.KindStream
	)
	tests := []struct {
		name        string
		kind        radishroute.Kind
		isResumable bool
		responders  []responder
		wantSends   int
		wantStatus  int
		wantRefusal radish.RefusalKind
	}{
		{"success is relayed", once, false, []responder{respondsWith(200, "ok")}, 1, 200, ""},
		{"target's server error is relayed", once, false, []responder{respondsWith(500, "no")}, 1, 500, ""},
		{"at most once: reset is not retried", once, false, []responder{failsWith(errReset)}, 1, 0, radish.RefusalTargetFailed},
		{"at most once: response to another attempt is not retried", once, false, []responder{failsWith(radish.ErrAttemptMismatch)}, 1, 0, radish.RefusalTargetFailed},
		{"unsent attempt is retried", once, false, []responder{failsWith(radish.ErrNotSent), respondsWith(200, "ok")}, 2, 200, ""},
		{"rejected attempt is retried", once, false, []responder{rejectsUnexecuted(503), respondsWith(200, "ok")}, 2, 200, ""},
		{"rejected, then reset: no further retry", once, false, []responder{rejectsUnexecuted(503), failsWith(errReset)}, 2, 0, radish.RefusalTargetFailed},
		{"rejected by all targets: not executed", once, false, []responder{rejectsUnexecuted(503)}, 5, 0, radish.RefusalNotExecuted},
		{"idempotent: reset is retried", idempotent, false, []responder{failsWith(errReset), respondsWith(200, "ok")}, 2, 200, ""},
		{"idempotent: server error is retried", idempotent, false, []responder{respondsWith(500, "no"), respondsWith(200, "ok")}, 2, 200, ""},
		{"idempotent: last server error is relayed", idempotent, false, []responder{respondsWith(500, "no")}, 2, 500, ""},
		{"idempotent: attempts are limited", idempotent, false, []responder{failsWith(errReset)}, 2, 0, radish.RefusalTargetFailed},
		{"stream that is not resumable is not retried", stream, false, []responder{failsWith(errReset)}, 1, 0, radish.RefusalTargetFailed},
		{"resumable stream is retried", stream, true, []responder{failsWith(errReset), streamsEvents(3, false)}, 2, 200, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			relay, forwarder := newRelay(&radishroute.Route{
				Kind: test.kind, IsResumable: test.isResumable, MaxAttempts: 2, Timeout: time.Second,
			}, test.responders...)
			w := handle(t.Context(), relay, newCall())
			if len(forwarder.sends) != test.wantSends {
				t.Errorf("%d attempts, want %d", len(forwarder.sends), test.wantSends)
			}
			var refusal radish.RefusalKind
			if w.refusal != nil {
				refusal = w.refusal.Kind
			}
			if w.status != test.wantStatus || refusal != test.wantRefusal {
				t.Errorf("status %d, refusal %q, want %d, %q", w.status, refusal, test.wantStatus, test.wantRefusal)
			}
			usedTargets := make(map[string]bool)
			for _, req := range forwarder.sends {
				if usedTargets[req.Target.Name] {
					t.Errorf("two attempts on target %s", req.Target.Name)
				}
				usedTargets[req.Target.Name] = true
				if req.Team != "roads" {
					t.Errorf("sent with team %q, want roads", req.Team)
				}
			}
		})
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2, Timeout: time.Second},
		failsWith(errReset))
	relay.RetryBudget.Burst = func() float64 { return 3 }
	relay.RetryRatio = func() float64 { return 0.1 }
	const calls = 100
	for range calls {
		handle(t.Context(), relay, newCall())
	}
	if retries := len(forwarder.sends) - calls; retries > 3+calls/10 {
		t.Errorf("%d retries for %d calls, want at most 13", retries, calls)
	}
}

func TestStreamResumesOnAnotherTarget(t *testing.T) {
	relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 2}, streamsEvents(2, true),
		streamsEvents(4, false))
	w := handle(t.Context(), relay, newCall())
	want := "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"
	if w.body.String() != want || w.aborted {
		t.Errorf("caller received %q, aborted %v", w.body.String(), w.aborted)
	}
	if got := forwarder.sends[1].ResumeAfter; got != "2" {
		t.Errorf("resumed after event %q, want 2", got)
	}
}

// pacedBody yields its parts one by one, each after a pause, and then repeats the last one forever if isEndless is set.
type pacedBody struct {
	ctx       context.Context
	parts     []string
	pause     time.Duration
	isEndless bool
	read      int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.read == len(b.parts) && !b.isEndless {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.pause):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	part := b.parts[min(b.read, len(b.parts)-1)]
	b.read = min(b.read+1, len(b.parts))
	return copy(p, part), nil
}

func (*pacedBody) Close() error { return nil }

// TestPaceOfStreams checks that a stream with long pauses between its events is relayed to its end, and that one that sends bytes
// now and then but completes no event ends at the caller's deadline, as incomplete.
func TestPaceOfStreams(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}
	tests := []struct {
		name         string
		body         pacedBody
		wantComplete bool
		wantTime     time.Duration
	}{
		{"slow events", pacedBody{parts: events, pause: 4 * time.Second}, true, 12 * time.Second},
		{"bytes without an event", pacedBody{parts: []string{":"}, pause: 200 * time.Millisecond, isEndless: true}, false, 15 * time.Second},
		{"an event, then bytes", pacedBody{parts: []string{events[0], "d"}, pause: 200 * time.Millisecond, isEndless: true}, false, 15 * time.Second},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := &radishroute.Route{Kind: radishroute.KindStream, MaxAttempts: 1, LatencyObjective: time.Second}
				relay, _ := newRelay(route, func(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
					body := tc.body
					body.ctx = ctx
					return &radish.TargetResponse{
						Status: http.StatusOK, Header: http.Header{}, Body: &body, ContentLength: -1, IsStream: true, Signed: true,
					}, nil
				})
				call := newCall()
				call.Timeout = 15 * time.Second
				w := handle(t.Context(), relay, call)
				isComplete := w.status == http.StatusOK && !w.aborted && w.refusal == nil
				if isComplete != tc.wantComplete {
					t.Errorf("complete %t, want %t", isComplete, tc.wantComplete)
				}
				if took := time.Since(call.ReceivedAt); took > tc.wantTime {
					t.Errorf("ended after %v, want at most %v", took, tc.wantTime)
				}
			})
		})
	}
}

func TestTruncatedStreamIsAborted(t *testing.T) {
	relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindStream, MaxAttempts: 2}, streamsEvents(2, true))
	w := handle(t.Context(), relay, newCall())
	if !w.aborted || strings.Contains(w.body.String(), "99") {
		t.Errorf("caller received %q, aborted %v", w.body.String(), w.aborted)
	}
}

func TestAdmission(t *testing.T) {
	tests := []struct {
		name   string
		modify func(call *radish.Call, relay *Relay)
		want   radish.RefusalKind
	}{
		{"no configuration", func(_ *radish.Call, relay *Relay) { relay.Config = func() *radishroute.Config { return nil } }, radish.RefusalNotExecuted},
		{"another host", func(call *radish.Call, _ *Relay) { call.Host = "b.example" }, radish.RefusalNoRoute},
		{"another path", func(call *radish.Call, _ *Relay) { call.Path = "/b" }, radish.RefusalNoRoute},
		{"no key", func(call *radish.Call, _ *Relay) { call.Key = "" }, radish.RefusalUnknownKey},
		{"no target", func(_ *radish.Call, relay *Relay) { relay.Fleet = &radishfleet.Fleet{} }, radish.RefusalNotExecuted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce}, respondsWith(200, "ok"))
			call := newCall()
			test.modify(call, relay)
			// All but a lack of targets is known before the body is read.
			if refusal, ok := relay.Check(call); ok != (test.name == "no target") || !ok && refusal.Kind != test.want {
				t.Errorf("check of the head: %v, refusal %+v, want %q", ok, refusal, test.want)
			}
			w := handle(t.Context(), relay, call)
			if w.refusal == nil || w.refusal.Kind != test.want || len(forwarder.sends) > 0 {
				t.Errorf("refusal %+v after %d attempts, want %q", w.refusal, len(forwarder.sends), test.want)
			}
			if test.want == radish.RefusalNotExecuted && w.refusal.RetryAfter <= 0 {
				t.Error("refusal has no retry delay")
			}
		})
	}
}

func TestRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 3, Timeout: 800 * time.Millisecond}, neverResponds)
		call := newCall()
		w := handle(t.Context(), relay, call)
		if w.refusal == nil || w.refusal.Kind != radish.RefusalTimedOut || w.endedAt.Sub(call.ReceivedAt) != 800*time.Millisecond {
			t.Errorf("refusal %+v after %v", w.refusal, w.endedAt.Sub(call.ReceivedAt))
		}
	})
}

func TestNoRetryAfterCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 3}, neverResponds)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		startedAt := time.Now()
		handle(ctx, relay, newCall())
		if len(forwarder.sends) != 1 || time.Since(startedAt) > 100*time.Millisecond {
			t.Errorf("%d attempts, ended after %v", len(forwarder.sends), time.Since(startedAt))
		}
	})
}

// TestUnresponsiveTargetIsEjected has targets accept calls and never respond. Calls that time out count as failures
// of the target. Calls whose caller disconnects, or that had less time than the latency objective, do not.
func TestUnresponsiveTargetIsEjected(t *testing.T) {
	tests := []struct {
		name                       string
		timeout, callerLeavesAfter time.Duration
		wantEjected                bool
	}{
		{"attempt times out", time.Second, 0, true},
		{"caller disconnects", time.Second, 500 * time.Millisecond, false},
		{"timeout below the latency objective", 100 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay, forwarder := newRelay(&radishroute.Route{
					Kind: radishroute.KindIdempotent, MaxAttempts: 1, LatencyObjective: 300 * time.Millisecond,
				}, neverResponds)
				all := len(relay.Fleet.UsableTargets("s", time.Now()))
				for range 2 * all {
					ctx, cancel := context.WithCancel(t.Context())
					if test.callerLeavesAfter > 0 {
						time.AfterFunc(test.callerLeavesAfter, cancel)
					}
					call := newCall()
					call.Timeout = test.timeout
					handle(ctx, relay, call)
					cancel()
				}
				usableCount := len(relay.Fleet.UsableTargets("s", time.Now()))
				if isEjected := usableCount < all; isEjected != test.wantEjected {
					t.Errorf("%d usable targets after %d attempts", usableCount, len(forwarder.sends))
				}
			})
		})
	}
}
