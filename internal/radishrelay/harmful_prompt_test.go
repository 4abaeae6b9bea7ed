package radishrelay

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// Bounds on calls with a part of a prompt that crashes targets: from harmfulGrace after the harmfulCrashes-th crash, at most
// maxHarmfulArrivals of them may reach targets.
const (
	harmfulCrashes     = 5
	harmfulGrace       = 3 * time.Second
	maxHarmfulArrivals = 3
)

// harmfulTargets crash whenever they start to respond to a call whose prompt contains the part "harmful".
type harmfulTargets struct{ crashedAt []time.Time }

func (d *harmfulTargets) respond(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
	if slices.Contains(promptIDs(req.Call.Prompt), "harmful") {
		d.crashedAt = append(d.crashedAt, time.Now())
		return nil, errReset
	}
	return streamsEvents(3, false)(ctx, req)
}

// countLate returns the number of crashes later than allowed.
func (d *harmfulTargets) countLate() int {
	late := 0
	for _, at := range d.crashedAt {
		if len(d.crashedAt) >= harmfulCrashes && at.Sub(d.crashedAt[harmfulCrashes-1]) > harmfulGrace {
			late++
		}
	}
	return late
}

func promptOf(ids ...string) []radish.PromptPart {
	parts := make([]radish.PromptPart, len(ids))
	for i, id := range ids {
		parts[i] = radish.PromptPart{ID: id, Tokens: 100}
	}
	return parts
}

// playHarmfulPrompts sends 60 calls with a prompt that crashes targets, between sound ones. Few of the former may reach targets; the latter must be
// answered.
func playHarmfulPrompts(t *testing.T, harmful, sound func(i int) []radish.PromptPart) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		targets := &harmfulTargets{}
		relay, _ := newRelay(&radishroute.Route{Kind: radishroute.KindStream, IsResumable: true, MaxAttempts: 2}, targets.respond)
		relay.Prober = fakeProber(func(string) bool { return true })
		unanswered := 0
		for i := range 60 {
			call := newCall()
			call.Prompt = harmful(i)
			if w := handle(t.Context(), relay, call); w.status == http.StatusOK {
				t.Errorf("harmful call %d: status %d", i, w.status)
			}
			call = newCall()
			call.Prompt = sound(i)
			if w := handle(t.Context(), relay, call); w.status != http.StatusOK {
				unanswered++
			}
			time.Sleep(200 * time.Millisecond)
		}
		if late := targets.countLate(); late > maxHarmfulArrivals {
			t.Errorf("%d of %d crashes came later than %v after the fifth, want at most %d", late, len(targets.crashedAt), harmfulGrace, maxHarmfulArrivals)
		}
		if unanswered > 0 {
			t.Errorf("%d of 60 sound calls were not answered", unanswered)
		}
	})
}

// TestPromptPartCrashesTargetAfterTarget sends calls with a part of the prompt that crashes targets, between sound ones with the same
// team and other parts.
func TestPromptPartCrashesTargetAfterTarget(t *testing.T) {
	playHarmfulPrompts(t,
		func(i int) []radish.PromptPart {
			return promptOf("first", fmt.Sprint("subject-", i%7), "harmful", fmt.Sprint("own-", i))
		},
		func(i int) []radish.PromptPart {
			return promptOf("first", fmt.Sprint("subject-", i%7), fmt.Sprint("own-", i))
		})
}

// TestOwnPartOfPromptCrashesTargets guards against a request that is sent again and again and crashes targets each time, though all parts of its
// prompt but the last are those of sound calls.
func TestOwnPartOfPromptCrashesTargets(t *testing.T) {
	playHarmfulPrompts(t,
		func(int) []radish.PromptPart { return promptOf("first", "subject", "harmful") },
		func(i int) []radish.PromptPart { return promptOf("first", "subject", fmt.Sprint("own-", i)) })
}
