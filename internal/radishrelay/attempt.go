package radishrelay

import (
	"context"
	"errors"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// attempt sends the call to the target once and reports the outcome to the fleet.
func (e *exchange) attempt(ctx context.Context, t radish.Target) decision {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := time.Now()
	snapshot := e.relay.Fleet.TargetSnapshot(t.Name, startedAt)
	req := &radish.ForwardRequest{
		Call: e.call, Target: t, Timeout: time.Until(e.deadline), Inputs: e.finalStageHandles(), ResumeAfter: e.resumeAfter(), Priority: -1,
	}
	if e.team != nil {
		req.Team = e.team.Name
	}
	if e.service.IsEngine {
		req.Priority = min(maxTargetPriority, e.route.PriorityOf(e.team))
	}
	e.attemptTimeout, e.attemptStartedAt, e.attemptEvents = req.Timeout, time.Now(), 0
	e.attemptReadsPrompt = e.service.IsEngine
	inputBytesByDataCentre := e.inputBytesByDataCentre()
	sent := e.send(ctx, &leg{target: t, req: req, startedAt: startedAt, snapshot: snapshot})
	resp, err := sent.resp, sent.err
	if sent.isCopy {
		t, req, startedAt, snapshot = sent.target, sent.req, sent.startedAt, sent.snapshot
		e.attemptTimeout, e.attemptStartedAt = req.Timeout, startedAt
	}
	d, outcome := e.handleResponse(ctx, t, resp, err)
	outcome.Load = loadOf(resp)
	e.recordPromptRead(t)
	if outcome.Cut {
		outcome.Down = e.recordCutAttempt(t)
	}
	e.relay.Fleet.Done(t.Name, outcome, time.Now())
	e.relay.Fleet.RecordVersionResult(t, e.versionResult(resp, err, outcome, time.Since(startedAt)), time.Now())
	e.relay.Metrics.RecordAttempt(e.service.Name, attemptLabel(d, outcome))
	if sent.isCopy && attemptLabel(d, outcome) == "answered" {
		e.relay.Metrics.RecordHedge(e.service.Name, copyAnswered)
	}
	e.relay.Log.Info("attempt ended", "id", e.call.ID, "target", t.Name, "data_centre", t.DataCentre, "verdict", attemptLabel(d, outcome),
		"status", statusOf(resp), "took_ms", time.Since(startedAt).Milliseconds(), "left_ms", req.Timeout.Milliseconds(),
		"record_age_ms", snapshot.RecordAge.Milliseconds(), "busy", snapshot.CallsInFlight, "failure_share", snapshot.FailureRate,
		"error_share", snapshot.ErrorRate, "uneven", snapshot.IsUneven, "slowness", snapshot.Slowness, "pace", snapshot.Pace,
		"pace_age_ms", snapshot.PaceAge.Milliseconds(), "expected", snapshot.ExpectedCost, "unread_tokens", snapshot.UnreadTokens,
		"cold", snapshot.IsCold, "usable", snapshot.UsableTargets, "targets", snapshot.TotalTargets, "resume_after", req.ResumeAfter,
		"input_bytes", inputBytesByDataCentre, "prompt", promptIDs(e.call.Prompt), "events", e.attemptEvents, "copy", sent.isCopy,
		"copied_after_ms", sent.copiedAfter.Milliseconds(), "error", radishlog.ErrorText(err))
	return d
}

// maxTargetPriority is the lowest priority that targets accept; 0 is the highest.
const maxTargetPriority = 9

func (e *exchange) resumeAfter() string {
	if e.lastEventID != "" {
		return e.lastEventID
	}
	return e.call.LastEventID
}

func loadOf(resp *radish.TargetResponse) radish.TargetLoad {
	if resp == nil {
		return radish.TargetLoad{}
	}
	return resp.Load
}

func statusOf(resp *radish.TargetResponse) int {
	if resp == nil {
		return 0
	}
	return resp.Status
}

func attemptLabel(d decision, o radishfleet.Outcome) string {
	switch {
	case d == decisionRetryUnexecuted:
		return "not_run"
	case d == decisionRerunStages:
		return "no_inputs"
	case o.Failed:
		return "failed"
	case d == decisionRetry:
		return "error"
	default:
		return "answered"
	}
}

// handleResponse relays the response, if there is one to relay, and returns how the call proceeds and what the
// attempt indicates about the target's health.
func (e *exchange) handleResponse(
	ctx context.Context, t radish.Target, resp *radish.TargetResponse, err error,
) (decision, radishfleet.Outcome) {
	if errors.Is(err, radish.ErrBadRequest) {
		e.refuse(radish.Refusal{Kind: radish.RefusalBadRequest, Reason: err.Error()})
		return decisionDone, radishfleet.Outcome{}
	}
	if errors.Is(err, radish.ErrNotSent) {
		e.triedTargets[t.Name] = true
		outcome := e.outcomeWithoutResponse(ctx, true)
		outcome.Down = outcome.Failed && radishfleet.IsRefused(err)
		return decisionRetryUnexecuted, outcome
	}
	if err != nil {
		e.possibleExecutions++
		e.triedTargets[t.Name] = true
		return decisionRetry, e.outcomeWithoutResponse(ctx, false)
	}
	defer resp.Body.Close()
	switch {
	case resp.InputsMissing:
		return decisionRerunStages, radishfleet.Outcome{}
	case resp.NotExecuted:
		e.triedTargets[t.Name] = true
		return decisionRetryUnexecuted, radishfleet.Outcome{Rejected: true, Failed: resp.WrongInstance}
	}
	e.possibleExecutions++
	e.triedTargets[t.Name] = true
	if resp.IsStream && resp.Status/100 == 2 {
		return e.relayStream(ctx, t, resp)
	}
	return e.relayResponse(ctx, t, resp)
}

// outcomeWithoutResponse returns what an attempt without a complete response indicates about the target's health. It
// is inconclusive when the caller disconnected, when the VM shuts down, or when the attempt had less time than the route's latency objective.
func (e *exchange) outcomeWithoutResponse(ctx context.Context, unreachable bool) radishfleet.Outcome {
	switch {
	case ctx.Err() == nil:
		return radishfleet.Outcome{Failed: true, Unreachable: unreachable, Cut: !unreachable}
	case callerLeft(ctx) || isStopping(ctx) || e.attemptTimeout < e.route.LatencyObjective:
		return radishfleet.Outcome{Inconclusive: true}
	default:
		return radishfleet.Outcome{Failed: true}
	}
}
