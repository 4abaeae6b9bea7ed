package radishrelay

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
