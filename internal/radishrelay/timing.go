package radishrelay

import (
	"net/http"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishengine"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// recordResponse reports the time of an attempt with a plain response. A failure says nothing about the target's speed.
func (e *exchange) recordResponse(t radish.Target, resp *radish.TargetResponse) {
	if resp.Status >= http.StatusBadRequest {
		return
	}
	e.relay.Fleet.RecordTiming(t.Name, radishfleet.Timing{
		Kind: radishfleet.WorkCall, Class: e.route.Name, Took: time.Since(e.attemptStartedAt), Units: 1, Waiting: resp.Load.Waiting,
		Pace: resp.Load.Pace,
	}, time.Now())
}

// recordFirstEvent reports the time that the attempt's target took to read the prompt, when its first event has arrived.
func (e *exchange) recordFirstEvent(t radish.Target, resp *radish.TargetResponse) {
	if e.attemptEvents > 0 {
		return
	}
	now := time.Now()
	e.attemptFirstEventAt = now
	e.recordPromptRead(t)
	e.relay.Fleet.RecordTiming(t.Name, radishfleet.Timing{
		Kind: radishfleet.WorkPrompt, Class: e.route.Name, Took: now.Sub(e.attemptStartedAt),
		Units: radishengine.ReferenceTime(e.call.InputTokens).Seconds(), Waiting: resp.Load.Waiting, Pace: resp.Load.Pace,
	}, now)
}

// recordStream reports the time that the attempt's target took for the events after the first one. The reported figures are those of
// the stream's beginning and are not used.
func (e *exchange) recordStream(t radish.Target) {
	now := time.Now()
	e.relay.Fleet.RecordTiming(t.Name, radishfleet.Timing{
		Kind: radishfleet.WorkDecode, Class: e.route.Name, Took: now.Sub(e.attemptFirstEventAt), Units: float64(e.attemptEvents - 1),
	}, now)
}

// recordPromptRead reports, once for each attempt, that its target no longer reads the prompt.
func (e *exchange) recordPromptRead(t radish.Target) {
	if e.attemptReadsPrompt {
		e.attemptReadsPrompt = false
		e.relay.Fleet.PromptRead(t.Name, e.call.InputTokens)
	}
}

// recordCancelled reports the time that a target had taken when its attempt was cancelled in favour of a copy, as the time that it took.
// Without it, the times of a slow target would be known only where it was fast.
func (e *exchange) recordCancelled(l *leg) {
	now := time.Now()
	timing := radishfleet.Timing{
		Kind: radishfleet.WorkCall, Class: e.route.Name, Took: now.Sub(l.startedAt), Units: 1, Pace: l.snapshot.Pace,
		Waiting: max(0, l.snapshot.CallsInFlight-l.target.Slots),
	}
	if e.route.Kind == radishroute.KindStream {
		timing.Kind, timing.Units = radishfleet.WorkPrompt, radishengine.ReferenceTime(e.call.InputTokens).Seconds()
	}
	if !l.isCopy {
		e.relay.Fleet.RecordTiming(l.target.Name, timing, now)
	}
}
