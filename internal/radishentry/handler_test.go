package radishentry

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// secretSHA256 is the SHA-256 hash of the token "secret".
const secretSHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

const handlerRules = `
service name=llm # test
service name=booking idempotent=false # test
pipeline name=report stages=generate/llm deadline=1s # test
pipeline name=seat stages=call/booking deadline=1s # test
team name=roads token_sha256=` + secretSHA256 + ` # test
`

// countingDispatcher responds immediately and counts its calls.
type countingDispatcher struct{ calls int }

// Do implements radishpipeline.StageDispatcher.
func (d *countingDispatcher) Do(_ context.Context, call *radishtarget.StageCall) (*radish.Response, error) {
	d.calls++
	call.MayHaveRun = true
	return &radish.Response{Body: []byte(`{"done":true}`)}, nil
}

func newTestAPI(t *testing.T, dispatcher *countingDispatcher) *API {
	t.Helper()
	rules, err := radishrule.Parse(handlerRules)
	if err != nil {
		t.Fatal(err)
	}
	return &API{
		Runner:    &radishpipeline.Runner{Dispatcher: dispatcher},
		Admission: &Admission{MaxInFlight: 10, EntryVMs: func() int { return 1 }},
		Rules:     func() *radishrule.RuleSet { return rules }, IsReady: func() bool { return true }, MaxBodyBytes: 100,
		Generation: func() uint64 { return 1 }, Log: hclog.NewNullLogger(),
	}
}

func TestInvalidRequestIsRejectedAsNotRun(t *testing.T) {
	for _, test := range []struct {
		name, pipeline, body string
		header               map[string]string
		status               int
		field                string
	}{
		{"no token", "report", `{}`, map[string]string{"Authorization": ""}, 401, "Authorization"},
		{"unknown token", "report", `{}`, map[string]string{"Authorization": "Bearer guess"}, 401, "Authorization"},
		{"unknown pipeline", "nothing", `{}`, nil, 404, "pipeline"},
		{"deadline is not a number", "report", `{}`, map[string]string{"Deadline-Ms": "soon"}, 400, "Deadline-Ms"},
		{"zero deadline", "report", `{}`, map[string]string{"Deadline-Ms": "0"}, 400, "Deadline-Ms"},
		{"missing idempotency key", "seat", `{}`, nil, 400, "Idempotency-Key"},
		{"idempotency key of UUID version 4", "seat", `{}`, map[string]string{"Idempotency-Key": "9f0c2a52-8a53-4e2f-9d51-3b6f0f6b2f55"}, 400, "Idempotency-Key"},
		{"body is not JSON", "report", `{`, nil, 400, "body"},
		{"empty body", "report", ``, nil, 400, "body"},
		{"body too large", "report", `"` + strings.Repeat("x", 200) + `"`, nil, 413, "body"},
	} {
		t.Run(test.name, func(t *testing.T) {
			dispatcher := &countingDispatcher{}
			r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/"+test.pipeline, strings.NewReader(test.body))
			r.Header.Set("Authorization", "Bearer secret")
			for name, value := range test.header {
				r.Header.Set(name, value)
			}
			w := httptest.NewRecorder()
			newTestAPI(t, dispatcher).Handler().ServeHTTP(w, r)
			var p Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatalf("%v: %s", err, w.Body)
			}
			if w.Code != test.status || p.Field != test.field || p.Execution != ExecutionNone || p.Effect != EffectNone || p.Detail == "" || p.RequestID == "" {
				t.Errorf("got status %d and problem %+v, want status %d and field %s", w.Code, p, test.status, test.field)
			}
			if dispatcher.calls != 0 {
				t.Error("a stage was executed")
			}
		})
	}
}

func TestResponseFormatFollowsAcceptHeader(t *testing.T) {
	for accept, want := range map[string]string{
		"application/json":  `{"done":true}`,
		"text/event-stream": "data: {\"done\":true}\n\nevent: end\n",
	} {
		r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/report", strings.NewReader(`{}`))
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("Accept", accept)
		w := httptest.NewRecorder()
		newTestAPI(t, &countingDispatcher{}).Handler().ServeHTTP(w, r)
		if w.Code != http.StatusOK || !strings.HasPrefix(w.Body.String(), want) {
			t.Errorf("Accept %s: got status %d and body %q, want prefix %q", accept, w.Code, w.Body, want)
		}
	}
}

func FuzzRequest(f *testing.F) {
	f.Add("report", `{"q":1}`, "Bearer secret", "1000", "", "text/event-stream")
	f.Add("seat", `{}`, "Bearer secret", "-1", "0197a5b0-0000-7000-8000-000000000000", "")
	f.Fuzz(func(t *testing.T, pipeline, body, token, deadline, key, accept string) {
		if strings.ContainsAny(pipeline, "/?#% ") || !isPrintable(pipeline) || pipeline == "" || pipeline == "seat" {
			return
		}
		r := httptest.NewRequest(http.MethodPost, "/v1/pipelines/"+pipeline, strings.NewReader(body))
		r.Header.Set("Authorization", token)
		r.Header.Set(HeaderDeadline, deadline)
		r.Header.Set(HeaderIdempotencyKey, key)
		r.Header.Set("Accept", accept)
		w := httptest.NewRecorder()
		dispatcher := &countingDispatcher{}
		newTestAPI(t, dispatcher).Handler().ServeHTTP(w, r)
		if w.Code != http.StatusOK && dispatcher.calls > 0 && strings.Contains(w.Body.String(), string(ExecutionNone)) {
			t.Fatalf("a request that was executed was rejected as not run: %s", w.Body)
		}
	})
}

func isPrintable(s string) bool {
	for _, r := range s {
		if r <= ' ' || r > '~' {
			return false
		}
	}
	return true
}
