package radishrelay

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

// probeTimeout limits the check of a target at which an attempt was cut. The call's next attempt waits for the result.
const probeTimeout = 100 * time.Millisecond

// answeredEvents is the number of events of a stream from which on the target is known to have survived the start of the response.
const answeredEvents = 2

// checkQuarantine decides whether the call may be sent; if it returns false, the call must be refused.
func (e *exchange) checkQuarantine() (radish.Refusal, bool) {
	parts := suspectPartIDs(e.call.Prompt)
	if e.isTrial || len(parts) == 0 {
		return radish.Refusal{}, true
	}
	d := e.relay.Quarantine.Check(parts, time.Now())
	if d.Verdict == radishquarantine.Once {
		e.isTrial = true
		e.relay.Log.Info("call with suspected prompt tried", "id", e.call.ID, "parts", d.Group.Parts, "crashes", d.Group.Crashes)
	}
	if d.Verdict != radishquarantine.Refused {
		return radish.Refusal{}, true
	}
	return e.refusalOf(d), false
}

// refusalOf returns the refusal for a call whose prompt is quarantined.
func (e *exchange) refusalOf(d radishquarantine.Decision) radish.Refusal {
	reason := fmt.Sprintf("targets ended %d times under calls with the prompt parts %s", d.Group.Crashes, strings.Join(d.Group.Parts, ", "))
	if e.possibleExecutions > 0 {
		return radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: reason}
	}
	return radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: d.RetryAfter, Reason: reason}
}

// checkKnownCrash decides whether a call whose body was not read yet can be refused since its prompt crashes targets. It takes no trial.
func (e *exchange) checkKnownCrash() (radish.Refusal, bool) {
	parts := suspectPartIDs(e.call.Prompt)
	if len(parts) == 0 {
		return radish.Refusal{}, true
	}
	if d := e.relay.Quarantine.Preview(parts, time.Now()); d.Verdict == radishquarantine.Refused {
		return e.refusalOf(d), false
	}
	return radish.Refusal{}, true
}

// recordAnswer records that a target responds to the call, which clears the parts of its prompt.
func (e *exchange) recordAnswer() {
	if e.relay.Quarantine.RecordAnswer(e.service.Name, suspectPartIDs(e.call.Prompt), time.Now()) {
		e.relay.reportEvidence()
	}
}

func (r *Relay) reportEvidence() {
	if r.OnEvidence != nil {
		r.OnEvidence()
	}
}

// recordCutAttempt records what the call of a cut attempt consists of and whether its target is down, so that calls that were cut
// because their targets ended can be compared. It reports whether the target is down.
func (e *exchange) recordCutAttempt(t radish.Target) bool {
	isDown := e.relay.isDown(t)
	if isDown && e.attemptEvents < answeredEvents {
		parts := suspectPartIDs(e.call.Prompt)
		if len(parts) > 0 && e.relay.Quarantine.RecordCrash(t, parts, time.Now()) {
			e.relay.reportEvidence()
		}
	}
	e.relay.Metrics.RecordCutAttempt(e.service.Name, isDown)
	e.relay.Log.Info("attempt cut", "id", e.call.ID, "target", t.Name, "target_down", isDown, "service", e.service.Name, "route", e.routeName(),
		"team", e.teamName(), "prompt", promptIDs(e.call.Prompt), "input_tokens", e.call.InputTokens, "events", e.attemptEvents)
	return isDown
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

// Limits on what is logged and compared of the prompt of one call.
const (
	maxPromptIDs     = 64
	maxPromptIDBytes = 64
)

// promptIDs returns the IDs of the first parts of a prompt, shortened to the limits.
func promptIDs(prompt []radish.PromptPart) []string {
	ids := make([]string, min(len(prompt), maxPromptIDs))
	for i := range ids {
		id := prompt[i].ID
		ids[i] = id[:min(len(id), maxPromptIDBytes)]
	}
	return ids
}

// suspectPartIDs returns the IDs of the parts of a prompt that are compared with those of other cut calls, which are all but empty ones. The last
// part belongs to the call itself, or to its session, and comes again when the caller repeats it.
func suspectPartIDs(prompt []radish.PromptPart) []string {
	return slices.DeleteFunc(promptIDs(prompt), func(id string) bool { return id == "" })
}
