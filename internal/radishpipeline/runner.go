package radishpipeline

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishclaim"
	"radishramp.example/radishramp/pkg/radishrule"
)

// prefixKeyBytes is the length, in bytes, of the start of the request body that identifies the prompt prefix, which a
// target may have cached.
const prefixKeyBytes = 256

// Request is a caller's request.
type Request struct {
	ID       string
	Team     string
	Pipeline *radishrule.Pipeline
	Rules    *radishrule.RuleSet
	// IdempotencyKey is the caller's idempotency key; it may be nil if all stages of the pipeline are idempotent.
	IdempotencyKey *uuid.UUID
	Body           []byte
	// Priority orders the request's attempts at a target; 1 is the highest, 9 the lowest.
	Priority int
	// Sink receives the events of the last stage if the caller requested a stream; if it is nil, the response is
	// returned as a whole.
	Sink io.Writer
}

// Result is the result of a request, including what may have been executed if the request failed.
type Result struct {
	// Body is the response of the last stage; it is nil if the response was written to the request's sink.
	Body []byte
	// MayHaveRun is whether a target may have executed any stage, for this request or for an earlier one with the same
	// key.
	MayHaveRun bool
	// MayHaveEffect is whether a target may have executed a non-idempotent stage, for this request or for an earlier
	// one with the same key.
	MayHaveEffect bool
}

// StageDispatcher runs one stage on a target.
type StageDispatcher interface {
	// Do runs the stage. It records in the call whether a target may have executed it.
	Do(ctx context.Context, call *radishtarget.StageCall) (*radish.Response, error)
}

// Claimer records claims, which ensure that a non-idempotent stage is executed at most once.
type Claimer interface {
	// Claim returns a claim that either permits to run the stage or contains the outcome of an earlier execution.
	Claim(ctx context.Context, key radishclaim.Key, fingerprint string) (*radishclaim.Claim, error)
	// Finish records the outcome of the claimed stage.
	Finish(claim *radishclaim.Claim, outcome []byte)
	// Withdraw releases a claim whose stage had no effect, so that the stage can be claimed again.
	Withdraw(claim *radishclaim.Claim)
}

// Runner runs requests; set the exported fields before first use.
type Runner struct {
	Dispatcher StageDispatcher
	Claims     Claimer
	// Costs records the time that stages take; it may be nil.
	Costs *Costs
}

// Run runs the request's stages in order within the deadline of the context. It returns a result even if it fails.
func (r *Runner) Run(ctx context.Context, req *Request) (*Result, error) {
	result := &Result{}
	if err := r.checkDeadline(ctx, req); err != nil {
		return result, err
	}
	var previous []byte
	for i := range req.Pipeline.ParsedStages {
		body, err := r.runStage(ctx, req, i, previous, result)
		if err != nil {
			return result, err
		}
		previous = body
	}
	if req.Sink != nil && previous != nil {
		// The last stage does not stream, so its whole response is written as one event.
		_, err := fmt.Fprintf(req.Sink, "data: %s\n\n", previous)
		return result, err
	}
	result.Body = previous
	return result, nil
}

// checkDeadline rejects a request if the time left is shorter than the sum of the minimum times of its stages.
func (r *Runner) checkDeadline(ctx context.Context, req *Request) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	minTime := time.Duration(0)
	for i := range req.Pipeline.ParsedStages {
		minTime += r.Costs.MinTime(req.Pipeline.ParsedStages[i].Service)
	}
	if left := time.Until(deadline); left < minTime {
		return fmt.Errorf("%w: %v left, stages take at least %v", radish.ErrDeadline,
			left.Round(time.Millisecond), minTime.Round(time.Millisecond))
	}
	return nil
}

func (r *Runner) runStage(ctx context.Context, req *Request, i int, previous []byte, result *Result) ([]byte, error) {
	stage := req.Pipeline.ParsedStages[i]
	service := req.Rules.Services[stage.Service]
	call := r.newCall(req, i, service, previous)
	if service.Idempotent {
		body, err := r.dispatch(ctx, call)
		result.MayHaveRun = result.MayHaveRun || call.MayHaveRun
		return body, err
	}
	return r.runNonIdempotent(ctx, req, i, call, result)
}

func (r *Runner) newCall(req *Request, i int, service *radishrule.Service, previous []byte) *radishtarget.StageCall {
	kind, _ := radish.StageKinds.Lookup(req.Pipeline.ParsedStages[i].Kind)
	call := &radishtarget.StageCall{
		RequestID: req.ID, Kind: kind, Service: service, RetryBudgetRatio: radishtarget.DefaultRetryBudgetRatio,
		Input: stageInput(req.Body, previous), PrefixKey: prefixKey(req.Body), Priority: req.Priority,
	}
	if retry, ok := req.Rules.Retries[service.Name]; ok {
		call.RetryBudgetRatio = retry.Budget
	}
	if i == len(req.Pipeline.ParsedStages)-1 && kind.Streams && service.Idempotent {
		call.Sink = req.Sink
	}
	return call
}

func prefixKey(body []byte) string {
	return string(body[:min(len(body), prefixKeyBytes)])
}

// stageInput returns the input of a stage: the caller's request body and, after the first stage, the response of the
// previous stage.
func stageInput(body, previous []byte) []byte {
	if previous == nil {
		return body
	}
	input := make([]byte, 0, len(body)+len(previous)+32)
	input = append(input, `{"request":`...)
	input = append(input, body...)
	input = append(input, `,"previous":`...)
	input = append(input, previous...)
	return append(input, '}')
}

func (r *Runner) dispatch(ctx context.Context, call *radishtarget.StageCall) ([]byte, error) {
	start := time.Now()
	response, err := r.Dispatcher.Do(ctx, call)
	r.Costs.Add(call.Service.Name, time.Since(start), err == nil)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// runNonIdempotent claims a non-idempotent stage and runs it, or returns the recorded outcome if an earlier request
// with the same key has run it.
func (r *Runner) runNonIdempotent(ctx context.Context, req *Request, i int, call *radishtarget.StageCall, result *Result) ([]byte, error) {
	key := radishclaim.Key{Team: req.Team, Pipeline: req.Pipeline.Name, Stage: i, ID: *req.IdempotencyKey}
	claim, err := r.Claims.Claim(ctx, key, fingerprint(req.Body))
	if err != nil {
		mayHaveRun := errors.Is(err, radish.ErrOutcomeUnknown) || errors.Is(err, radish.ErrKeyExpired) || errors.Is(err, radish.ErrKeyMismatch)
		result.MayHaveRun = result.MayHaveRun || mayHaveRun
		result.MayHaveEffect = result.MayHaveEffect || mayHaveRun
		return nil, err
	}
	if !claim.IsOwner {
		result.MayHaveRun = true
		result.MayHaveEffect = true
		return claim.Outcome, nil
	}
	return r.runOwned(ctx, claim, call, result)
}

// runOwned runs a stage that this request has claimed, then records its outcome or, if it had no effect, withdraws the
// claim. If the outcome is unknown, the claim stays so that the stage is not executed again. The function corresponds
// to the dispatch step of the model in spec/claim.pml.
func (r *Runner) runOwned(ctx context.Context, claim *radishclaim.Claim, call *radishtarget.StageCall, result *Result) ([]byte, error) {
	body, err := r.dispatch(ctx, call)
	result.MayHaveRun = result.MayHaveRun || call.MayHaveRun
	result.MayHaveEffect = result.MayHaveEffect || call.MayHaveRun
	switch {
	case err == nil:
		r.Claims.Finish(claim, body)
	case !call.MayHaveRun:
		r.Claims.Withdraw(claim)
	case errors.Is(err, radish.ErrBadRequest):
		// The target rejected the input without any effect, so the caller may send a corrected request with the same
		// key.
		r.Claims.Withdraw(claim)
	}
	return body, err
}

func fingerprint(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}
