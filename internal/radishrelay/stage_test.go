package radishrelay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// fakeStages produces one result per piece of the last stage.
type fakeStages struct {
	err   error
	plans []*radishstage.Plan
	freed chan []string
}

func (f *fakeStages) Run(_ context.Context, p *radishstage.Plan) (*radishstage.Result, error) {
	f.plans = append(f.plans, p)
	if f.err != nil {
		return nil, f.err
	}
	result := &radishstage.Result{Handles: make([][]string, len(p.Stages))}
	for n := range p.Stages[len(p.Stages)-1].Pieces {
		last := len(p.Stages) - 1
		result.Handles[last] = append(result.Handles[last], fmt.Sprintf("t:1/%d-%d", len(f.plans), n))
	}
	return result, nil
}

func (f *fakeStages) Free(_ context.Context, _ string, handles []string) { f.freed <- handles }

func routeWithStages() *radishroute.Route {
	return &radishroute.Route{
		Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 2, LatencyObjective: time.Second,
		Stages: []radishroute.Stage{{Service: "enc", ResultBytes: 100}, {Service: "rank", After: []int{0}, ResultBytes: 100}},
	}
}

func TestStageResultsAreSentToTarget(t *testing.T) {
	relay, forwarder := newRelay(routeWithStages(), streamsEvents(2, false))
	call := newCall()
	call.Pieces = []int{1, 2}
	w := handle(t.Context(), relay, call)
	if w.status != http.StatusOK || len(forwarder.sends[0].Inputs) != 2 {
		t.Errorf("status %d, inputs %v", w.status, forwarder.sends[0].Inputs)
	}
	stages := relay.Stages.(*fakeStages)
	if freed := <-stages.freed; len(freed) != 2 {
		t.Errorf("freed %v, want 2 handles", freed)
	}
}

func TestLostInputsRerunStages(t *testing.T) {
	relay, forwarder := newRelay(routeWithStages(), rejectsUnexecuted(http.StatusConflict), streamsEvents(2, false))
	call := newCall()
	call.Pieces = []int{1, 1}
	w := handle(t.Context(), relay, call)
	if w.status != http.StatusOK || forwarder.sends[0].Inputs[0] == forwarder.sends[1].Inputs[0] {
		t.Errorf("status %d, inputs %v and %v", w.status, forwarder.sends[0].Inputs, forwarder.sends[1].Inputs)
	}
}

// TestResumedStreamHasItsInputs breaks off a stream whose stage results were released when it had begun. The target that resumes it
// needs results too, so they must be made again.
func TestResumedStreamHasItsInputs(t *testing.T) {
	relay, forwarder := newRelay(routeWithStages(), streamsEvents(2, true), streamsEvents(4, false))
	call := newCall()
	call.Pieces = []int{1, 1}
	w := handle(t.Context(), relay, call)
	if w.aborted || !strings.Contains(w.body.String(), "token 4") {
		t.Errorf("caller received %q, aborted %t", w.body.String(), w.aborted)
	}
	if n := len(forwarder.sends); n != 2 {
		t.Fatalf("%d attempts, want 2", n)
	}
	if got := forwarder.sends[1].Inputs; len(got) != 1 || got[0] == forwarder.sends[0].Inputs[0] {
		t.Errorf("resumed with inputs %v, first sent with %v", got, forwarder.sends[0].Inputs)
	}
}

func TestFullStagesSetRetryAfter(t *testing.T) {
	relay, forwarder := newRelay(routeWithStages(), streamsEvents(2, false))
	relay.Stages = &fakeStages{err: &radishstage.RefusedError{RetryAfter: 2 * time.Second, Reason: "full"}}
	call := newCall()
	call.Pieces = []int{1, 1}
	w := handle(t.Context(), relay, call)
	// The caller is to retry within a third of its remaining time, which is 2 s here.
	if w.refusal == nil || w.refusal.Kind != radish.RefusalNotExecuted || len(forwarder.sends) > 0 {
		t.Fatalf("refusal %+v after %d attempts", w.refusal, len(forwarder.sends))
	}
	if after := w.refusal.RetryAfter; after < 300*time.Millisecond || after > call.Timeout/3 {
		t.Errorf("retry delay %v", after)
	}
}

// TestReplayStagesGetTheTimeThatTheEngineLeaves replays calls with long prompts and a short latency objective before an engine
// that responds quickly: after some calls, their stages must get nearly all of the time.
func TestReplayStagesGetTheTimeThatTheEngineLeaves(t *testing.T) {
	route := routeWithStages()
	route.LatencyObjective = 690 * time.Millisecond
	relay, _ := newRelay(route, streamsEvents(2, false))
	stages := relay.Stages.(*fakeStages)
	var call *radish.Call
	for range 20 {
		call = newCall()
		call.Pieces, call.InputTokens = []int{1, 1}, 9200
		handle(t.Context(), relay, call)
		<-stages.freed
	}
	lastPlan := stages.plans[len(stages.plans)-1]
	if left := lastPlan.Due.Sub(call.ReceivedAt); left < 500*time.Millisecond {
		t.Errorf("the stages have %v of %v before an engine that responds at once", left, route.LatencyObjective)
	}
}

// TestReplayEngineKeepsItsPrompts replays calls with a shared prompt whose stage results were made in another data centre than the
// engine that keeps the prompt. Over a fast link, the results go to that engine, since another one would have to read the prompt
// again; over a slow one, an engine is chosen where the results are.
func TestReplayEngineKeepsItsPrompts(t *testing.T) {
	tests := []struct {
		name        string
		bytesPerSec float64
		want        string
	}{
		{"fast link", 1e9, "a"},
		{"slow link", 1e5, "b"},
		{"unknown link", 0, "b"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			route := routeWithStages()
			route.Stages[1].ResultBytes = 500_000
			relay, forwarder := newRelay(route, streamsEvents(2, false))
			cfg := relay.Config()
			cfg.Services["s"].IsEngine = true
			cfg.Services["rank"] = &radishroute.Service{Name: "rank", Batch: &radishroute.BatchSettings{LinkBytesPerSec: tc.bytesPerSec}}
			for _, target := range []radish.Target{
				{Name: "t", Address: "t:1", DataCentre: "b", Service: "rank", Slots: 1},
				{Name: "idle", Address: "idle:1", DataCentre: "a", Service: "rank", Slots: 1},
				{Name: "t1", Address: "t1:1", DataCentre: "b", Service: "s", Slots: 4},
			} {
				relay.Fleet.Remove(target.Name)
				relay.Fleet.Set(target, time.Now())
			}
			prompt := []radish.PromptPart{{ID: promptKeptIn(t, relay.Fleet, "a"), Tokens: 6000}, {ID: "own", Tokens: 500}}
			for range 20 {
				call := newCall()
				call.Pieces, call.Prompt = []int{1, 2}, prompt
				handle(t.Context(), relay, call)
				<-relay.Stages.(*fakeStages).freed
			}
			for _, send := range forwarder.sends {
				if send.Target.DataCentre != tc.want {
					t.Fatalf("engine in %s, want %s", send.Target.DataCentre, tc.want)
				}
			}
		})
	}
}

// promptKeptIn returns a prompt part that affinity assigns to an engine in the data centre.
func promptKeptIn(t *testing.T, fleet *radishfleet.Fleet, dataCentre string) string {
	t.Helper()
	for n := range 100 {
		id := fmt.Sprintf("part-%d", n)
		if fleet.AffinityDataCentre(radishfleet.Query{Service: "s", AffinityKey: id}, time.Now()) == dataCentre {
			return id
		}
	}
	t.Fatal("no prompt part is assigned to the data centre")
	return ""
}

func TestStopRefusesCallsInStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, _ := newRelay(routeWithStages(), streamsEvents(2, false))
		relay.Stages = blockingStages{}
		call := newCall()
		call.Pieces = []int{1, 1}
		time.AfterFunc(300*time.Millisecond, relay.StopStages)
		w := handle(t.Context(), relay, call)
		if w.refusal == nil || w.refusal.Kind != radish.RefusalNotExecuted || w.endedAt.Sub(call.ReceivedAt) != 300*time.Millisecond {
			t.Errorf("refusal %+v after %v", w.refusal, w.endedAt.Sub(call.ReceivedAt))
		}
	})
}

// blockingStages runs until the context ends.
type blockingStages struct{}

func (blockingStages) Run(ctx context.Context, _ *radishstage.Plan) (*radishstage.Result, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (blockingStages) Free(context.Context, string, []string) {}

// TestPlanHasUrgencyOnlyWherePrioritiesCompete checks that plans carry priority, team and value if routes of different priority, or teams
// with priorities, share a stage service, and that the order is unchanged in other deployments.
func TestPlanHasUrgencyOnlyWherePrioritiesCompete(t *testing.T) {
	priority := 4
	tests := []struct {
		name   string
		change func(cfg *radishroute.Config)
		want   *radishadmission.Urgency
	}{
		{"one route", func(*radishroute.Config) {}, nil},
		{"route of another priority at the same stages", func(cfg *radishroute.Config) {
			cfg.Routes = append(cfg.Routes, &radishroute.Route{Priority: 2, Stages: []radishroute.Stage{{Service: "rank"}}})
		}, &radishadmission.Urgency{Team: "roads", Value: 150}},
		{"route of another priority at other stages", func(cfg *radishroute.Config) {
			cfg.Routes = append(cfg.Routes, &radishroute.Route{Priority: 2, Stages: []radishroute.Stage{{Service: "other"}}})
		}, nil},
		{"team with a priority", func(cfg *radishroute.Config) {
			cfg.Teams["other"] = &radishroute.Team{Name: "rails", Priority: &priority}
		}, &radishadmission.Urgency{Team: "roads", Value: 150}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			relay, _ := newRelay(routeWithStages(), streamsEvents(2, false))
			tc.change(relay.Config())
			relay.Config().BuildIndex()
			call := newCall()
			call.Pieces, call.InputTokens, call.OutputTokens = []int{1, 1}, 100, 50
			handle(t.Context(), relay, call)
			got := relay.Stages.(*fakeStages).plans[0].Urgency
			if (got == nil) != (tc.want == nil) || got != nil && *got != *tc.want {
				t.Errorf("got %+v, want %+v", got, tc.want)
			}
		})
	}
}

// TestRefusedCallersReturnInOrderOfUrgency refuses calls of two priorities at the same time. All callers with the more urgent one return before
// the others, and all within a third of the time that they have left.
func TestRefusedCallersReturnInOrderOfUrgency(t *testing.T) {
	retryAfter := func(t *testing.T, priority int) time.Duration {
		t.Helper()
		route := routeWithStages()
		route.Priority, route.Timeout = priority, 6*time.Second
		relay, _ := newRelay(route)
		other := &radishroute.Route{Priority: 2 - priority, Stages: []radishroute.Stage{{Service: "rank"}}}
		relay.Config().Routes = append(relay.Config().Routes, other)
		relay.Config().BuildIndex()
		relay.Stages = &fakeStages{err: &radishstage.RefusedError{RetryAfter: 500 * time.Millisecond}, freed: make(chan []string, 1)}
		call := newCall()
		call.Pieces, call.Timeout = []int{1, 1}, 6*time.Second
		return handle(t.Context(), relay, call).refusal.RetryAfter
	}
	synctest.Test(t, func(t *testing.T) {
		for range 50 {
			urgent, low := retryAfter(t, 0), retryAfter(t, 2)
			if urgent >= low || low > 2*time.Second || urgent < 500*time.Millisecond {
				t.Fatalf("the urgent caller returns after %v, the other one after %v", urgent, low)
			}
		}
	})
}
