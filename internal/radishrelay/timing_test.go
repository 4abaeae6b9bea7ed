package radishrelay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// TestTimesOfCallsAreLearned sends calls while one of five targets takes twice as long as the others: the fleet must learn of it from
// plain responses and from streams. It guards against times that are never reported.
func TestTimesOfCallsAreLearned(t *testing.T) {
	tests := []struct {
		kind    radishroute.Kind
		respond responder
	}{
		{radishroute.KindIdempotent, respondsWith(200, "body")},
		{radishroute.KindStream, streamsEvents(2, false)},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			relay, _ := newRelay(&radishroute.Route{Name: "r", Kind: test.kind, MaxAttempts: 1}, func(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
				took := 100 * time.Millisecond
				if req.Target.Name == "t0" {
					took *= 2
				}
				time.Sleep(took)
				return test.respond(ctx, req)
			})
			done := make(chan bool)
			const rounds, callsAtATime = 30, 5
			for range rounds {
				for range callsAtATime {
					go func() {
						handle(t.Context(), relay, newCall())
						done <- true
					}()
				}
				for range callsAtATime {
					<-done
				}
			}
			now := time.Now()
			for i := range 5 {
				name := fmt.Sprintf("t%d", i)
				snapshot := relay.Fleet.TargetSnapshot(name, now)
				if isSlow := snapshot.Slowness > 1.25; !snapshot.IsUneven || isSlow != (name == "t0") {
					t.Errorf("%v, %s: uneven %t, slowness %.2f", test.kind, name, snapshot.IsUneven, snapshot.Slowness)
				}
			}
		})
	}
}

// TestPromptsAreReadOnce ends attempts in each way: no prompt may count as being read after its call.
func TestPromptsAreReadOnce(t *testing.T) {
	for _, responders := range [][]responder{
		{streamsEvents(3, false)}, {streamsEvents(2, true), streamsEvents(3, false)}, {respondsWith(500, "")}, {failsWith(errReset)},
		{rejectsUnexecuted(503), streamsEvents(1, false)}, {failsWith(radish.ErrNotSent)}, {neverResponds},
	} {
		synctest.Test(t, func(t *testing.T) {
			relay, _ := newRelay(&radishroute.Route{Name: "r", Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 3}, responders...)
			relay.Config().Services["s"].IsEngine = true
			call := newCall()
			call.InputTokens, call.Prompt = 900, []radish.PromptPart{{ID: "p", Tokens: 900}}
			handle(t.Context(), relay, call)
			for i := range 5 {
				if n := relay.Fleet.TargetSnapshot(fmt.Sprintf("t%d", i), time.Now()).UnreadTokens; n != 0 {
					t.Errorf("%d tokens count as being read after the call", n)
				}
			}
		})
	}
}
