package radishrelay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// recordingGate allows all versions and records what it is told.
type recordingGate struct {
	sent    []string
	results []radishfleet.VersionResult
}

func (g *recordingGate) Versions(string, string, int, time.Time) radishfleet.VersionRule {
	return radishfleet.VersionRule{}
}

func (g *recordingGate) RecordSend(_ radish.Target, route string, _ int, _ time.Time) {
	g.sent = append(g.sent, route)
}

func (g *recordingGate) RecordResult(_ radish.Target, r radishfleet.VersionResult, _ time.Time) {
	g.results = append(g.results, r)
}

// TestResultsOfVersions guards against evidence for or against a version from attempts that say nothing about it, and against attempts
// that are counted when they are sent and never again.
func TestResultsOfVersions(t *testing.T) {
	const slow = 300 * time.Millisecond
	respondsSlowly := func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
		time.Sleep(slow)
		return respondsWith(200, "ok")(ctx, req)
	}
	ok, failed, nothing := radishfleet.VersionResult{}, radishfleet.VersionResult{Failed: 1}, radishfleet.VersionResult{Inconclusive: true}
	for _, test := range []struct {
		name       string
		kind       radishroute.Kind
		responders []responder
		want       []radishfleet.VersionResult
	}{
		{"answered", radishroute.KindAtMostOnce, []responder{respondsWith(200, "ok")}, []radishfleet.VersionResult{ok}},
		{"answered late", radishroute.KindAtMostOnce, []responder{respondsSlowly}, []radishfleet.VersionResult{{Took: slow}}},
		{"fault of the caller", radishroute.KindAtMostOnce, []responder{respondsWith(422, "no")}, []radishfleet.VersionResult{ok}},
		{"server error", radishroute.KindAtMostOnce, []responder{respondsWith(500, "no")}, []radishfleet.VersionResult{failed}},
		{"server error, then answered", radishroute.KindIdempotent, []responder{respondsWith(500, "no"), respondsWith(200, "ok")},
			[]radishfleet.VersionResult{failed, ok}},
		{"response to another attempt", radishroute.KindAtMostOnce, []responder{failsWith(radish.ErrAttemptMismatch)}, []radishfleet.VersionResult{failed}},
		{"malformed", radishroute.KindAtMostOnce, []responder{failsWith(radish.ErrMalformedResponse)}, []radishfleet.VersionResult{failed}},
		{"cut", radishroute.KindAtMostOnce, []responder{failsWith(errReset)}, []radishfleet.VersionResult{nothing}},
		{"stream cut", radishroute.KindStream, []responder{streamsEvents(2, true)}, []radishfleet.VersionResult{nothing}},
		{"not sent, then answered", radishroute.KindAtMostOnce, []responder{failsWith(radish.ErrNotSent), respondsWith(200, "ok")},
			[]radishfleet.VersionResult{nothing, ok}},
		{"refused as not run, then answered", radishroute.KindAtMostOnce, []responder{rejectsUnexecuted(503), respondsWith(200, "ok")},
			[]radishfleet.VersionResult{nothing, ok}},
		{"no answer in time", radishroute.KindAtMostOnce, []responder{neverResponds}, []radishfleet.VersionResult{{Took: time.Second}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relay, forwarder := newRelay(&radishroute.Route{Name: "r", Kind: test.kind, MaxAttempts: 2, Timeout: time.Second}, test.responders...)
				gate := &recordingGate{}
				relay.Fleet.Versions = gate
				handle(t.Context(), relay, newCall())
				if len(gate.results) != len(test.want) || len(gate.sent) != len(forwarder.sends) || len(gate.sent) != len(gate.results) {
					t.Fatalf("got %d sends and results %+v, want %+v", len(gate.sent), gate.results, test.want)
				}
				for i, want := range test.want {
					want.Route, want.Calls = "r", 1
					if got := gate.results[i]; got != want {
						t.Errorf("attempt %d: got %+v, want %+v", i, got, want)
					}
				}
			})
		})
	}
}

// TestCallerThatLeavesSaysNothingOfVersion guards against evidence against a version from callers that leave.
func TestCallerThatLeavesSaysNothingOfVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, _ := newRelay(&radishroute.Route{Name: "r", Kind: radishroute.KindAtMostOnce, MaxAttempts: 2, Timeout: time.Second}, neverResponds)
		gate := &recordingGate{}
		relay.Fleet.Versions = gate
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(300*time.Millisecond, leave)
		handle(ctx, relay, newCall())
		if len(gate.results) != 1 || !gate.results[0].Inconclusive {
			t.Errorf("got %+v, want one that says nothing", gate.results)
		}
	})
}

// TestEngineVersionsAreComparedByPromptSize guards against a comparison of long prompts with short ones.
func TestEngineVersionsAreComparedByPromptSize(t *testing.T) {
	relay, _ := newRelay(&radishroute.Route{Name: "r", Kind: radishroute.KindStream, MaxAttempts: 1, Timeout: time.Second}, streamsEvents(2, false))
	relay.Config().Services["s"].IsEngine = true
	gate := &recordingGate{}
	relay.Fleet.Versions = gate
	for _, tokens := range []int{0, 512, 513, 4096, 4097} {
		call := newCall()
		call.InputTokens = tokens
		handle(t.Context(), relay, call)
	}
	if got := strings.Join(gate.sent, " "); got != "r/small r/small r/medium r/medium r/large" {
		t.Errorf("got routes %s", got)
	}
}
