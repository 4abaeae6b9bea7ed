package radishrelay

import (
	"context"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// probeTimeout limits the check of a target at which an attempt was cut. The call's next attempt waits for the result.
const probeTimeout = 100 * time.Millisecond

// recordCutAttempt records what the call of a cut attempt consists of and whether its target is down, so that calls that were cut
// because their targets ended can be compared.
func (e *exchange) recordCutAttempt(t radish.Target) {
	isDown := e.relay.isDown(t)
	e.relay.Metrics.RecordCutAttempt(e.service.Name, isDown)
	e.relay.Log.Info("attempt cut", "id", e.call.ID, "target", t.Name, "target_down", isDown, "service", e.service.Name, "route", e.routeName(),
		"team", e.teamName(), "prompt", promptIDs(e.call.Prompt), "input_tokens", e.call.InputTokens, "events", e.attemptEvents)
}

// isDown reports whether no process listens at the target's address. Concurrent checks of a target share one connection.
func (r *Relay) isDown(t radish.Target) bool {
	if r.Prober == nil {
		return false
	}
	isDown, _, _ := r.probes.Do(t.Name, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return r.Prober.IsDown(ctx, t), nil
	})
	return isDown.(bool)
}

// promptIDs returns the IDs of the parts of a prompt.
func promptIDs(prompt []radish.PromptPart) []string {
	ids := make([]string, len(prompt))
	for i, part := range prompt {
		ids[i] = part.ID
	}
	return ids
}
