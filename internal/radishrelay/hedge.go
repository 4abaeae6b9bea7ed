package radishrelay

import (
	"maps"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishhedge"
)

// maxHedgedLoad is the mean load of a service's targets, in relation to their slots, above which no copies are sent. Beyond it calls queue
// at some of the targets, and a copy would wait there or make others wait.
const maxHedgedLoad = 0.7

// Reasons for which a copy that was due is not sent, for metrics.
const (
	copyDeniedSuspected = "denied_suspected"
	copyDeniedTime      = "denied_time"
	copyDeniedLoad      = "denied_load"
	copyDeniedShare     = "denied_share"
	copyDeniedBudget    = "denied_retry_budget"
	copyDeniedTarget    = "denied_no_target"
)

// Results of copies that were sent, for metrics.
const (
	copySent     = "sent"
	copyAnswered = "answered_first"
)

// mayCopy reports whether a copy of the attempt may be sent to a second target: the call may execute more than once, there is no other reason to send
// it to one target only, and its caller has received nothing yet.
func (e *exchange) mayCopy() bool {
	return e.relay.Hedger != nil && e.route.IsIdempotent() && e.route.MaxAttempts > 1 && !e.isTrial && !e.responseStarted &&
		!e.needsInputs()
}

// copyTimer returns a channel that receives a value when a copy is due, and what this is based on. It is nil if no copy will be sent.
func (e *exchange) copyTimer() (estimate radishhedge.Estimate, due <-chan time.Time, stop func() bool) {
	never := func() bool { return false }
	// The first send and the copy count as two executions.
	if e.hasCopy || e.possibleExecutions+2 > e.route.MaxAttempts {
		return estimate, nil, never
	}
	estimate, ok := e.relay.Hedger.Estimate(e.hedgeKind(), time.Now())
	if !ok {
		return estimate, nil, never
	}
	timer := time.NewTimer(estimate.Delay)
	return estimate, timer.C, timer.Stop
}

// newCopy returns a copy of the first send to another target, or nil if it must not be sent.
func (e *exchange) newCopy(first *leg, estimate radishhedge.Estimate) *leg {
	now := time.Now()
	target, denial := e.pickCopyTarget(first, estimate, now)
	if denial != "" {
		e.relay.Metrics.RecordHedge(e.service.Name, denial)
		e.relay.Log.Debug("copy denied", "id", e.call.ID, "service", e.service.Name, "reason", denial)
		return nil
	}
	e.hasCopy = true
	e.relay.Metrics.RecordHedge(e.service.Name, copySent)
	req := *first.req
	req.Target, req.Timeout = target, e.deadline.Sub(now)
	return &leg{target: target, req: &req, startedAt: now, snapshot: e.relay.Fleet.TargetSnapshot(target.Name, now), isCopy: true}
}

// pickCopyTarget picks the target of a copy and uses up what the limits allow, or returns why the copy must not be sent.
func (e *exchange) pickCopyTarget(first *leg, estimate radishhedge.Estimate, now time.Time) (target radish.Target, denial string) {
	service := e.service.Name
	switch {
	case e.relay.Quarantine.IsSuspected(service, suspectPartIDs(e.call.Prompt), now):
		return target, copyDeniedSuspected
	case !estimate.IsWorthwhile(now, e.deadline):
		return target, copyDeniedTime
	case e.relay.Fleet.MeanLoad(service, now) > maxHedgedLoad:
		return target, copyDeniedLoad
	case !e.relay.Hedger.Take(service, now):
		return target, copyDeniedShare
	}
	if !e.relay.RetryBudget.AllowCopy(service) {
		e.relay.Hedger.Return(service)
		return target, copyDeniedBudget
	}
	query := e.targetQuery()
	query.IsCopy, query.Exclude = true, maps.Clone(e.triedTargets)
	query.Exclude[first.target.Name] = true
	target, ok := e.relay.Fleet.Pick(query, now)
	if !ok {
		e.relay.Hedger.Return(service)
		e.relay.RetryBudget.Return(service)
		return target, copyDeniedTarget
	}
	return target, ""
}
