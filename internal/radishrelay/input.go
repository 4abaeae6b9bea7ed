package radishrelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
)

const (
	// freeTimeout bounds the request that frees stage results.
	freeTimeout = time.Second
	// minRerunTimeShare is the fraction of the call's total time that must remain for its stages to be run a second
	// time.
	minRerunTimeShare = 0.4
)

// pieceCount returns the number of pieces that the call requests for the stage.
func (e *exchange) pieceCount(stage int) int {
	if stage < len(e.call.Pieces) {
		return e.call.Pieces[stage]
	}
	return 0
}

// largestStagePieces returns the number of pieces in the call's largest stage.
func (e *exchange) largestStagePieces() int {
	largest := 0
	for i := range e.route.Stages {
		largest = max(largest, e.pieceCount(i))
	}
	return largest
}

func (e *exchange) hasStageWork() bool {
	return e.largestStagePieces() > 0
}

// needsInputs reports whether the call has stages whose results are not there: none were made yet, a target did not find them, or they
// were released when the response began.
func (e *exchange) needsInputs() bool { return e.inputHandles == nil && e.hasStageWork() }

// runStages frees earlier stage results and runs the stages of the call. It stops early with errStopping when the VM
// shuts down, and runs the stages a second time if a piece failed and enough time remains.
func (e *exchange) runStages(ctx context.Context) error {
	e.freeInputs()
	if !e.hasStageWork() {
		return nil
	}
	ctx, cancel, _ := withStop(ctx, &e.relay.stagesStopped)
	defer cancel()
	startedAt := time.Now()
	stagePlan := e.stagePlan()
	result, err := e.relay.Stages.Run(ctx, stagePlan)
	if isStopping(ctx) {
		err = errStopping
	}
	if errors.Is(err, radishstage.ErrFailed) && e.hasTimeForRerun() {
		e.relay.Log.Info("rerunning stages after a failed piece", "id", e.call.ID, "error", err.Error())
		result, err = e.relay.Stages.Run(ctx, stagePlan)
	}
	e.relay.Log.Info("stages ended", "id", e.call.ID, "route", e.route.Name, "pieces", e.call.Pieces, "near", stagePlan.Near,
		"due_ms", stagePlan.Due.Sub(startedAt).Milliseconds(), "took_ms", time.Since(startedAt).Milliseconds(), "error", radishlog.ErrorText(err))
	if err != nil {
		return err
	}
	e.inputHandles, e.stagesEndedAfter = result.Handles, time.Since(e.call.ReceivedAt)
	return nil
}

func (e *exchange) hasTimeForRerun() bool {
	total := e.deadline.Sub(e.call.ReceivedAt)
	return float64(time.Until(e.deadline)) > minRerunTimeShare*float64(total)
}

func (e *exchange) stagePlan() *radishstage.Plan {
	engineTime := e.relay.Engines.Estimate(e.service.Name, e.call.InputTokens)
	p := &radishstage.Plan{
		CallID: e.call.ID, Key: e.call.PieceKey, Due: e.latencyDeadline.Add(-engineTime), Deadline: e.deadline.Add(-engineTime),
		Near: e.preferredDataCentre, Worth: 1 / float64(1+e.route.PriorityOf(e.team)),
	}
	if e.cfg.HasCompetingStages(e.route) {
		u := radishadmission.Urgency{
			Priority: e.route.PriorityOf(e.team), Team: e.teamName(), Value: float64(e.call.InputTokens + e.call.OutputTokens),
		}.Validated()
		p.Urgency = &u
	}
	for i, s := range e.route.Stages {
		p.Stages = append(p.Stages, radishstage.Stage{Service: s.Service, After: s.After, Pieces: e.pieceCount(i), ResultBytes: s.ResultBytes})
	}
	return p
}

// chooseDataCentre chooses the data centre in which the call's large stage results are to be produced and read: that
// of the engine to which affinity assigns the prompt.
func (e *exchange) chooseDataCentre() {
	if !e.service.IsEngine {
		return
	}
	for _, s := range e.route.Stages {
		if s.ResultBytes >= radishbatch.LargeResultBytes {
			e.affinityWeights = e.relay.Fleet.StageTargetsPerEngine(s.Service, e.service.Name, time.Now())
		}
	}
	if e.hasLargeInputs() {
		e.preferredDataCentre = e.relay.Fleet.AffinityDataCentre(e.targetQuery(), time.Now())
	}
}

func (e *exchange) targetQuery() radishfleet.Query {
	q := radishfleet.Query{Service: e.service.Name, Route: e.versionRoute(), Exclude: e.triedTargets, HasColdLimit: e.service.ColdCallsPerSec > 0}
	if e.service.IsEngine {
		q.AffinityKey, q.DataCentreWeights = sharedPromptPrefix(e.call.Prompt), e.affinityWeights
		q.PromptTokens = e.call.InputTokens
		if e.hasLargeInputs() && !e.isPromptCostlierThanInputs() {
			q.PreferredDataCentre = e.inputDataCentre()
		}
	}
	return q
}

// isPromptCostlierThanInputs reports whether the shared parts of the prompt, which the engine that affinity assigns probably
// keeps, take longer to read at another engine than the stage results take to reach that engine from another data centre.
func (e *exchange) isPromptCostlierThanInputs() bool {
	sharedTokens := 0
	for _, part := range e.call.Prompt[:max(0, len(e.call.Prompt)-1)] {
		sharedTokens += part.Tokens
	}
	transfer := 0.0
	for _, i := range e.route.FinalStages() {
		service := e.cfg.Services[e.route.Stages[i].Service]
		if service == nil || service.Batch == nil || service.Batch.LinkBytesPerSec <= 0 {
			return false
		}
		transfer += float64(int64(e.pieceCount(i))*e.route.Stages[i].ResultBytes) / service.Batch.LinkBytesPerSec
	}
	return e.relay.Engines.ReadTime(e.service.Name, sharedTokens).Seconds() > transfer
}

// hasLargeInputs reports whether the stage results that the call's engine reads are large enough to keep the call in
// their data centre.
func (e *exchange) hasLargeInputs() bool {
	bytes := int64(0)
	for _, i := range e.route.FinalStages() {
		bytes += int64(e.pieceCount(i)) * e.route.Stages[i].ResultBytes
	}
	return bytes >= radishbatch.LargeResultBytes
}

// inputDataCentre returns the data centre that holds most of the engine's input data, or, while there is none, the
// one in which it is to be produced.
func (e *exchange) inputDataCentre() string {
	best, bytes := e.preferredDataCentre, e.inputBytesByDataCentre()
	for dataCentre, n := range bytes {
		if n > bytes[best] {
			best = dataCentre
		}
	}
	return best
}

// inputBytesByDataCentre returns the approximate size of the engine's input data by data centre.
func (e *exchange) inputBytesByDataCentre() map[string]int64 {
	bytes := make(map[string]int64)
	if e.inputHandles == nil {
		return bytes
	}
	for _, i := range e.route.FinalStages() {
		for _, handle := range e.inputHandles[i] {
			address, _, _ := strings.Cut(handle, "/")
			bytes[e.relay.Fleet.DataCentreOf(address)] += e.route.Stages[i].ResultBytes
		}
	}
	return bytes
}

// sharedPromptPrefix returns the ID of the longest prompt prefix that other calls may share. The last part of a
// prompt is specific to its call, unless it is the only one.
func sharedPromptPrefix(prompt []radish.PromptPart) string {
	switch len(prompt) {
	case 0:
		return ""
	case 1:
		return prompt[0].ID
	default:
		return prompt[len(prompt)-2].ID
	}
}

// finalStageHandles returns the handles of the results that the target reads: those of the stages that no other stage
// depends on.
func (e *exchange) finalStageHandles() []string {
	if e.inputHandles == nil {
		return nil
	}
	var handles []string
	for _, i := range e.route.FinalStages() {
		handles = append(handles, e.inputHandles[i]...)
	}
	return handles
}

// freeInputs frees, in the background, all stage results of the call that are not freed yet.
func (e *exchange) freeInputs() {
	var handles []string
	for _, stage := range e.inputHandles {
		handles = append(handles, stage...)
	}
	e.inputHandles = nil
	if len(handles) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		e.relay.Stages.Free(ctx, e.call.ID, handles)
	}()
}

// refuseStageFailure refuses a call whose stages failed. The refusal states that the call did not execute, unless
// an earlier attempt may have executed.
func (e *exchange) refuseStageFailure(ctx context.Context, err error) {
	if callerLeft(ctx) {
		e.abort(outcomeCallerLeft)
		return
	}
	retryAfter := jitter(noCapacityRetryAfter)
	var refused *radishstage.RefusedError
	if errors.As(err, &refused) {
		retryAfter = e.stageRetryAfter(refused.RetryAfter)
	}
	if e.possibleExecutions > 0 {
		e.refuse(radish.Refusal{Kind: radish.RefusalTargetFailed, Reason: err.Error()})
		return
	}
	e.refuse(radish.Refusal{Kind: radish.RefusalNotExecuted, RetryAfter: retryAfter, Reason: err.Error()})
}

// stageRetryAfter returns when the caller should retry stages that are expected to be full for busyFor. If priorities compete, callers return
// in the order of urgency.
func (e *exchange) stageRetryAfter(busyFor time.Duration) time.Duration {
	remaining := time.Until(e.deadline)
	rank, ranks := e.cfg.StageRank(e.route, e.route.PriorityOf(e.team))
	if ranks <= 1 {
		return stageRetryAfter(busyFor, remaining)
	}
	return radishadmission.Retry{BusyFor: busyFor, Remaining: remaining, Rank: rank, Ranks: ranks}.After(rand.Float64())
}

// A refused caller retries once, within retryWindowShare of its remaining time. If the overload persists at the
// retry, the call is lost, so retries are spread over the later part of that window, from the fraction
// retryWindowStart on.
const (
	retryWindowShare = 0.32
	retryWindowStart = 0.5
)

// stageRetryAfter returns when a caller should retry stages that are expected to be full for busyFor.
func stageRetryAfter(busyFor, remaining time.Duration) time.Duration {
	latest := time.Duration(retryWindowShare * float64(remaining))
	earliest := min(latest, max(busyFor, time.Duration(retryWindowStart*float64(latest))))
	return earliest + rand.N(max(time.Millisecond, latest-earliest))
}

// callerLeft reports whether the context ended because the caller disconnected, as opposed to its deadline passing.
func callerLeft(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }
