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
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// answerFunc is how a fake target answers one attempt.
type answerFunc func(ctx context.Context, s *radish.ForwardRequest) (*radish.TargetResponse, error)

// fakeForwarder answers the attempts in order; the last answer is used again.
type fakeForwarder struct {
	mu      sync.Mutex
	answers []answerFunc
	sends   []*radish.ForwardRequest
}

func (f *fakeForwarder) Forward(ctx context.Context, s *radish.ForwardRequest) (*radish.TargetResponse, error) {
	f.mu.Lock()
	answer := f.answers[min(len(f.sends), len(f.answers)-1)]
	f.sends = append(f.sends, s)
	f.mu.Unlock()
	return answer(ctx, s)
}

func whole(status int, body string) answerFunc {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return &radish.TargetResponse{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), ContentLength: int64(len(body)), Signed: true}, nil
	}
}

func fails(err error) answerFunc {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) { return nil, err }
}

func notRun(status int) answerFunc {
	return func(context.Context, *radish.ForwardRequest) (*radish.TargetResponse, error) {
		return &radish.TargetResponse{Status: status, Header: http.Header{}, Body: http.NoBody, NotExecuted: true, InputsMissing: status == http.StatusConflict}, nil
	}
}

// hangs answers nothing until the caller's context ends.
func hangs(ctx context.Context, _ *radish.ForwardRequest) (*radish.TargetResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// cutBody ends in an error after its text.
type cutBody struct{ io.Reader }

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (cutBody) Close() error { return nil }

// streams answers with the events after the one to resume after; cut breaks off in the middle of the next one.
func streams(last int, cut bool) answerFunc {
	return func(_ context.Context, s *radish.ForwardRequest) (*radish.TargetResponse, error) {
		first := 1
		if s.ResumeAfter != "" {
			_, _ = fmt.Sscan(s.ResumeAfter, &first)
			first++
		}
		text := ""
		for n := first; n <= last; n++ {
			text += fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		}
		a := &radish.TargetResponse{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), ContentLength: -1, IsStream: true, Signed: true}
		if cut {
			a.Body = cutBody{strings.NewReader(text + "id: 99\nda")}
		}
		return a, nil
	}
}

// fakeWriter keeps what the caller would see.
type fakeWriter struct {
	status  int
	body    strings.Builder
	refusal *radish.Refusal
	aborted bool
	at      time.Time
}

func (w *fakeWriter) Begin(status int, _ http.Header) { w.status, w.at = status, time.Now() }

func (w *fakeWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

func (w *fakeWriter) Refuse(r radish.Refusal) { w.refusal, w.at = &r, time.Now() }

func (w *fakeWriter) Abort() { w.aborted = true }

func newRelay(route *radishroute.Route, answers ...answerFunc) (*Relay, *fakeForwarder) {
	route.Host, route.PathPrefix, route.Split = "a.example", "/a/", []radishroute.Share{{Service: "s", Weight: 1}}
	cfg := &radishroute.Config{
		Version: 3, Routes: []*radishroute.Route{route}, Services: map[string]*radishroute.Service{"s": {Name: "s"}},
		Teams: map[string]*radishroute.Team{"secret": {Name: "roads"}}, RequiresKey: true,
	}
	cfg.Index()
	fleet := &radishfleet.Fleet{DataCentre: "a"}
	for i := range 5 {
		name := fmt.Sprintf("t%d", i)
		fleet.Set(radish.Target{Name: name, Address: name + ":1", DataCentre: "a", Service: "s", Slots: 4}, time.Now())
	}
	forwarder := &fakeForwarder{answers: answers}
	return &Relay{
		Config: func() *radishroute.Config { return cfg }, ConfigAge: func() time.Duration { return 0 }, Fleet: fleet, Forwarder: forwarder, Stages: &fakeStages{freed: make(chan []string, 10)},
		Budget: &radishtarget.RetryBudget{Burst: func() float64 { return 5 }}, RetryShare: func() float64 { return 1 }, Log: hclog.NewNullLogger(),
	}, forwarder
}

func newCall() *radish.Call {
	return &radish.Call{
		ID: "call-1", Method: http.MethodPost, RequestTarget: "/a/x", Host: "a.example", Path: "/a/x", Header: http.Header{}, Key: "secret",
		ReceivedAt: time.Now(), Timeout: 2 * time.Second,
	}
}

func handle(ctx context.Context, r *Relay, call *radish.Call) *fakeWriter {
	w := &fakeWriter{}
	r.Handle(ctx, call, w)
	return w
}

var errReset = errors.New("connection reset by peer")

// TestRepeats checks, for each kind of route, what is sent again and what the caller is told.
func TestRepeats(t *testing.T) {
	const (
		idempotent = radishroute.KindIdempotent
		once       = radishroute.KindOnce
		stream     = radishroute.KindStream
	)
	tests := []struct {
		name        string
		kind        radishroute.Kind
		isResumable bool
		answers     []answerFunc
		wantSends   int
		wantStatus  int
		wantRefusal radish.RefusalKind
	}{
		{"answered", once, false, []answerFunc{whole(200, "ok")}, 1, 200, ""},
		{"its own error is the target's", once, false, []answerFunc{whole(500, "no")}, 1, 500, ""},
		{"reset: may have run", once, false, []answerFunc{fails(errReset)}, 1, 0, radish.RefusalTargetFailed},
		{"crossed: may have run", once, false, []answerFunc{fails(radish.ErrAttemptMismatch)}, 1, 0, radish.RefusalTargetFailed},
		{"not sent goes elsewhere", once, false, []answerFunc{fails(radish.ErrNotSent), whole(200, "ok")}, 2, 200, ""},
		{"turned away goes elsewhere", once, false, []answerFunc{notRun(503), whole(200, "ok")}, 2, 200, ""},
		{"turned away, then reset", once, false, []answerFunc{notRun(503), fails(errReset)}, 2, 0, radish.RefusalTargetFailed},
		{"turned away by all has not run", once, false, []answerFunc{notRun(503)}, 5, 0, radish.RefusalNotExecuted},
		{"idempotent: reset goes elsewhere", idempotent, false, []answerFunc{fails(errReset), whole(200, "ok")}, 2, 200, ""},
		{"idempotent: error goes elsewhere", idempotent, false, []answerFunc{whole(500, "no"), whole(200, "ok")}, 2, 200, ""},
		{"idempotent: last error is passed on", idempotent, false, []answerFunc{whole(500, "no")}, 2, 500, ""},
		{"idempotent: at most two targets", idempotent, false, []answerFunc{fails(errReset)}, 2, 0, radish.RefusalTargetFailed},
		{"stream that may not run twice", stream, false, []answerFunc{fails(errReset)}, 1, 0, radish.RefusalTargetFailed},
		{"stream that may be resumed", stream, true, []answerFunc{fails(errReset), streams(3, false)}, 2, 200, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, forwarder := newRelay(&radishroute.Route{Kind: test.kind, IsResumable: test.isResumable, MaxAttempts: 2, Timeout: time.Second}, test.answers...)
			w := handle(t.Context(), r, newCall())
			if len(forwarder.sends) != test.wantSends {
				t.Errorf("sent %d times, want %d", len(forwarder.sends), test.wantSends)
			}
			var refusal radish.RefusalKind
			if w.refusal != nil {
				refusal = w.refusal.Kind
			}
			if w.status != test.wantStatus || refusal != test.wantRefusal {
				t.Errorf("status %d, refusal %q, want %d, %q", w.status, refusal, test.wantStatus, test.wantRefusal)
			}
			seen := make(map[string]bool)
			for _, s := range forwarder.sends {
				if seen[s.Target.Name] {
					t.Errorf("sent twice to %s", s.Target.Name)
				}
				seen[s.Target.Name] = true
				if s.Team != "roads" {
					t.Errorf("sent for the team %q", s.Team)
				}
			}
		})
	}
}

func TestRepeatsStayInTheBudget(t *testing.T) {
	r, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2, Timeout: time.Second}, fails(errReset))
	r.Budget.Burst = func() float64 { return 3 }
	r.RetryShare = func() float64 { return 0.1 }
	const calls = 100
	for range calls {
		handle(t.Context(), r, newCall())
	}
	if repeats := len(forwarder.sends) - calls; repeats > 3+calls/10 {
		t.Errorf("%d repeats for %d calls, want at most 13", repeats, calls)
	}
}

func TestStreamGoesOnElsewhere(t *testing.T) {
	r, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 2}, streams(2, true), streams(4, false))
	w := handle(t.Context(), r, newCall())
	want := "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n"
	if w.body.String() != want || w.aborted {
		t.Errorf("the caller got %q, aborted %v", w.body.String(), w.aborted)
	}
	if got := forwarder.sends[1].ResumeAfter; got != "2" {
		t.Errorf("resumed after %q", got)
	}
}

func TestCutStreamDoesNotLookWhole(t *testing.T) {
	r, _ := newRelay(&radishroute.Route{Kind: radishroute.KindStream, MaxAttempts: 2}, streams(2, true))
	w := handle(t.Context(), r, newCall())
	if !w.aborted || strings.Contains(w.body.String(), "99") {
		t.Errorf("the caller got %q, aborted %v", w.body.String(), w.aborted)
	}
}

func TestAdmission(t *testing.T) {
	tests := []struct {
		name   string
		change func(call *radish.Call, r *Relay)
		want   radish.RefusalKind
	}{
		{"no configuration", func(_ *radish.Call, r *Relay) { r.Config = func() *radishroute.Config { return nil } }, radish.RefusalNotExecuted},
		{"another host", func(call *radish.Call, _ *Relay) { call.Host = "b.example" }, radish.RefusalNoRoute},
		{"another path", func(call *radish.Call, _ *Relay) { call.Path = "/b" }, radish.RefusalNoRoute},
		{"no key", func(call *radish.Call, _ *Relay) { call.Key = "" }, radish.RefusalUnknownKey},
		{"no target", func(_ *radish.Call, r *Relay) { r.Fleet = &radishfleet.Fleet{} }, radish.RefusalNotExecuted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindOnce}, whole(200, "ok"))
			call := newCall()
			test.change(call, r)
			w := handle(t.Context(), r, call)
			if w.refusal == nil || w.refusal.Kind != test.want || len(forwarder.sends) > 0 {
				t.Errorf("refusal %+v after %d sends, want %q", w.refusal, len(forwarder.sends), test.want)
			}
			if test.want == radish.RefusalNotExecuted && w.refusal.RetryAfter <= 0 {
				t.Error("the caller is not told when to come back")
			}
		})
	}
}

func TestTimeoutOfTheRoute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 3, Timeout: 800 * time.Millisecond}, hangs)
		call := newCall()
		w := handle(t.Context(), r, call)
		if w.refusal == nil || w.refusal.Kind != radish.RefusalTimedOut || w.at.Sub(call.ReceivedAt) != 800*time.Millisecond {
			t.Errorf("refusal %+v after %v", w.refusal, w.at.Sub(call.ReceivedAt))
		}
	})
}

func TestCallerThatLeavesIsNotSentElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 3}, hangs)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		handle(ctx, r, newCall())
		if len(forwarder.sends) != 1 || time.Since(began) > 100*time.Millisecond {
			t.Errorf("sent %d times, ended after %v", len(forwarder.sends), time.Since(began))
		}
	})
}

// TestMuteTargetIsLeft has targets take calls and never answer: calls whose time passes there count as failures, and those
// whose callers leave, or that gave them next to no time, do not.
func TestMuteTargetIsLeft(t *testing.T) {
	tests := []struct {
		name       string
		wait, left time.Duration
		isOut      bool
	}{
		{"time passes", time.Second, 0, true},
		{"caller leaves", time.Second, 500 * time.Millisecond, false},
		{"next to no time", 100 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, f := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 1, Aim: 300 * time.Millisecond}, hangs)
				all := len(r.Fleet.Usable("s", time.Now()))
				for range 2 * all {
					ctx, cancel := context.WithCancel(t.Context())
					if test.left > 0 {
						time.AfterFunc(test.left, cancel)
					}
					call := newCall()
					call.Timeout = test.wait
					handle(ctx, r, call)
					cancel()
				}
				usable := len(r.Fleet.Usable("s", time.Now()))
				if isOut := usable < all; isOut != test.isOut {
					t.Errorf("%d targets are usable after %d calls", usable, len(f.sends))
				}
			})
		})
	}
}
