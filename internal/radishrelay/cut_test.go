package radishrelay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// fakeProber reports the targets that the function names as down.
type fakeProber func(target string) bool

func (p fakeProber) IsDown(_ context.Context, t radish.Target) bool { return p(t.Name) }

// TestCutAttemptsAreRecorded checks that the log and the metrics show what an attempt consisted of whose target ended.
func TestCutAttemptsAreRecorded(t *testing.T) {
	metrics, err := radishmetric.New()
	if err != nil {
		t.Fatal(err)
	}
	relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindStream, MaxAttempts: 1}, streamsEvents(2, true))
	var log bytes.Buffer
	relay.Metrics, relay.Log = metrics, hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
	relay.Prober = fakeProber(func(string) bool { return true })
	call := newCall()
	call.Prompt = []radish.PromptPart{{ID: "shared"}, {ID: "own"}}
	handle(t.Context(), relay, call)
	for _, want := range []string{`"attempt cut"`, `"target_down":true`, `"prompt":["shared","own"]`, `"events":2`, `"team":"roads"`} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("the log does not contain %s", want)
		}
	}
	res := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(res, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if want := `radishramp_cut_attempts_total{service="s",target="down"} 1`; !strings.Contains(res.Body.String(), want) {
		t.Errorf("metrics do not contain %q", want)
	}
}

// TestReplayCallsAfterCrashes replays calls right after three of five targets have ended: few of them may try such a target.
func TestReplayCallsAfterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refused := 0
		relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindIdempotent, MaxAttempts: 2}, func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
			if req.Target.Name < "t3" {
				refused++
				return nil, fmt.Errorf("%w: %w", radish.ErrNotSent, syscall.ECONNREFUSED)
			}
			return respondsWith(http.StatusOK, "ok")(ctx, req)
		})
		relay.Config().Services["s"].IsEngine = true
		for i := range 50 {
			call := newCall()
			call.Prompt = promptOf(fmt.Sprint("shared-", i%10), "own")
			handle(t.Context(), relay, call)
			time.Sleep(10 * time.Millisecond)
		}
		if refused > 3 {
			t.Errorf("%d attempts at targets that refuse connections, want at most one each", refused)
		}
	})
}

// TestTargetOfCutAttemptIsEjected has one target end under a call: the calls after it must not try that target.
func TestTargetOfCutAttemptIsEjected(t *testing.T) {
	relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce}, failsWith(errReset), respondsWith(http.StatusOK, "ok"))
	relay.Prober = fakeProber(func(string) bool { return true })
	relay.Config().Services["s"].IsEngine = true
	for range 20 {
		call := newCall()
		call.Prompt = promptOf("shared", "own")
		handle(t.Context(), relay, call)
	}
	for _, req := range forwarder.sends[1:] {
		if req.Target.Name == forwarder.sends[0].Target.Name {
			t.Fatalf("%s got another call", req.Target.Name)
		}
	}
}

// TestErrorResponseDuringStreamIsNotRelayed breaks off a stream after two events; the target that is to resume it responds with
// something else. The caller must get nothing of that, and its stream must not look complete.
func TestErrorResponseDuringStreamIsNotRelayed(t *testing.T) {
	const begun = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n"
	asStream := func(respond responder) responder {
		return func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
			resp, err := respond(ctx, req)
			resp.IsStream = true
			return resp, err
		}
	}
	tests := map[string]responder{
		"error as text":                  respondsWith(http.StatusInternalServerError, "error of the target"),
		"error as a stream":              asStream(respondsWith(http.StatusInternalServerError, "data: error of the target\n\n")),
		"invalid request":                respondsWith(http.StatusBadRequest, "error of the target"),
		"success that is no stream":      respondsWith(http.StatusOK, "text of the target"),
		"redirect":                       respondsWith(http.StatusFound, "text of the target"),
		"refusal":                        rejectsUnexecuted(http.StatusServiceUnavailable),
		"reset before the head":          failsWith(errReset),
		"stream that ends in an event":   asStream(respondsWith(http.StatusOK, "data: tok")),
		"response to another call":       failsWith(radish.ErrAttemptMismatch),
		"head of another response first": asStream(respondsWith(http.StatusOK, "HTTP/1.1 500 Internal Server Error\r\n")),
	}
	for name, respond := range tests {
		t.Run(name, func(t *testing.T) {
			relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 2, Timeout: time.Second}, streamsEvents(2, true), respond)
			w := handle(t.Context(), relay, newCall())
			if got := w.body.String(); got != begun {
				t.Errorf("caller received %q", got)
			}
			if !w.aborted || w.refusal != nil {
				t.Errorf("aborted %t, refusal %v", w.aborted, w.refusal)
			}
		})
	}
}

// TestLongPromptsAreShortened has targets end under calls whose prompt is far longer than any, beside one with an empty and a very long
// ID. Their parts must still be compared, and the log must stay short.
func TestLongPromptsAreShortened(t *testing.T) {
	long := promptOf("harmful", "", strings.Repeat("x", 10_000))
	for i := range 10_000 {
		long = append(long, radish.PromptPart{ID: fmt.Sprint(i)})
	}
	synctest.Test(t, func(t *testing.T) {
		relay, forwarder := newRelay(&radishroute.Route{Kind: radishroute.KindStream, MaxAttempts: 1}, failsWith(errReset))
		var log bytes.Buffer
		relay.Log = hclog.New(&hclog.LoggerOptions{Output: &log, JSONFormat: true})
		relay.Prober = fakeProber(func(string) bool { return true })
		for range 6 {
			call := newCall()
			call.Prompt = long
			handle(t.Context(), relay, call)
			time.Sleep(time.Second)
		}
		if n := len(forwarder.sends); n != 3 {
			t.Errorf("%d of 6 calls reached targets, want 3", n)
		}
		const wantLogBytes = 6 * 4 * 2000
		if log.Len() > wantLogBytes {
			t.Errorf("%d bytes were logged for 6 calls, want at most %d", log.Len(), wantLogBytes)
		}
	})
}

// TestLongAnswerClearsItsParts has a call answered with a body beyond what is buffered, between the crashes of targets under others.
func TestLongAnswerClearsItsParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := strings.Repeat("x", 2*maxBufferedBytes)
		relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindAtMostOnce}, failsWith(errReset), failsWith(errReset), respondsWith(http.StatusOK, body), failsWith(errReset))
		relay.Prober = fakeProber(func(string) bool { return true })
		for range 4 {
			call := newCall()
			call.Prompt = promptOf("shared", "own")
			handle(t.Context(), relay, call)
			time.Sleep(time.Second)
		}
		if got := relay.Quarantine.Groups(time.Now()); len(got) > 0 {
			t.Errorf("quarantined %v", got)
		}
	})
}
