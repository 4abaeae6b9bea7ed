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

// prefixBytes is how much of the input names the prompt prefix that targets may have cached.
const prefixBytes = 256

// Request is one request of a caller.
type Request struct {
	ID       string
	Team     string
	Pipeline *radishrule.Pipeline
	Rules    *radishrule.RuleSet
	// Key is the caller's idempotency key; nil when the pipeline needs none.
	Key   *uuid.UUID
	Body  []byte
	Level int
	// Sink receives the last stage's events when the caller asked for a stream; nil collects the answer.
	Sink io.Writer
}

// Result is how far a request came.
type Result struct {
	// Body is the last stage's answer; nil when it went to the request's sink.
	Body []byte
	// Sent tells whether a byte of any attempt may have gone out.
	Sent bool
	// MayHaveEffect tells whether a non-idempotent stage may have run.
	MayHaveEffect bool
}

// StageDispatcher runs one stage on a target.
type StageDispatcher interface {
	// Do runs the stage and sets the call's Sent mark.
	Do(ctx context.Context, call *radishtarget.StageCall) (*radish.Response, error)
}

// Claimer records claims for non-idempotent stages.
type Claimer interface {
	// Claim returns the right to run, or the outcome of an earlier run.
	Claim(ctx context.Context, key radishclaim.Key, fingerprint string) (*radishclaim.Claim, error)
	// Finish records the outcome.
	Finish(claim *radishclaim.Claim, outcome []byte)
	// Withdraw gives up a claim for which nothing was sent.
	Withdraw(claim *radishclaim.Claim)
}

// Runner runs requests; set the exported fields before first use.
type Runner struct {
	Dispatcher StageDispatcher
	Claims     Claimer
	// Costs counts the time that stages take.
	Costs *Costs
}

// Run runs the request's stages in order; the context carries its deadline. The result is set on errors too.
func (r *Runner) Run(ctx context.Context, req *Request) (*Result, error) {
	result := &Result{}
	if err := r.checkDeadline(ctx, req); err != nil {
		return result, err
	}
	var previous []byte
	for i := range req.Pipeline.Chain {
		body, err := r.runStage(ctx, req, i, previous, result)
		if err != nil {
			return result, err
		}
		previous = body
	}
	if req.Sink != nil && previous != nil {
		// The last stage did not stream: its whole answer is one event.
		_, err := fmt.Fprintf(req.Sink, "data: %s\n\n", previous)
		return result, err
	}
	result.Body = previous
	return result, nil
}

// checkDeadline refuses a request early when its stages have of late taken longer than the time that is left.
func (r *Runner) checkDeadline(ctx context.Context, req *Request) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	need := time.Duration(0)
	for i := range req.Pipeline.Chain {
		need += r.Costs.Fastest(req.Pipeline.Chain[i].Service)
	}
	if left := time.Until(deadline); left < need {
		return fmt.Errorf("%w: %v left, stages take at least %v", radish.ErrDeadline, left.Round(time.Millisecond), need.Round(time.Millisecond))
	}
	return nil
}

func (r *Runner) runStage(ctx context.Context, req *Request, i int, previous []byte, result *Result) ([]byte, error) {
	stage := req.Pipeline.Chain[i]
	service := req.Rules.Services[stage.Service]
	call := r.newCall(req, i, service, previous)
	if service.Idempotent {
		body, err := r.dispatch(ctx, call)
		result.Sent = result.Sent || call.Sent
		return body, err
	}
	return r.runClaimed(ctx, req, i, call, result)
}

func (r *Runner) newCall(req *Request, i int, service *radishrule.Service, previous []byte) *radishtarget.StageCall {
	kind, _ := radish.StageKinds.Lookup(req.Pipeline.Chain[i].Kind)
	call := &radishtarget.StageCall{
		RequestID: req.ID, Kind: kind, Service: service, RetryShare: radishtarget.DefaultRetryBudget,
		Input: stageInput(req.Body, previous), PrefixKey: prefixKey(req.Body), Priority: req.Level,
	}
	if retry, ok := req.Rules.Retries[service.Name]; ok {
		call.RetryShare = retry.Budget
	}
	if i == len(req.Pipeline.Chain)-1 && kind.Streams && service.Idempotent {
		call.Sink = req.Sink
	}
	return call
}

func prefixKey(body []byte) string {
	return string(body[:min(len(body), prefixBytes)])
}

// stageInput gives a stage the caller's request together with the answer of the stage before it.
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
	answer, err := r.Dispatcher.Do(ctx, call)
	r.Costs.Add(call.Service.Name, time.Since(start), err == nil)
	if err != nil {
		return nil, err
	}
	return answer.Body, nil
}

// runClaimed runs a non-idempotent stage if this request wins the claim, and takes the recorded outcome otherwise.
func (r *Runner) runClaimed(ctx context.Context, req *Request, i int, call *radishtarget.StageCall, result *Result) ([]byte, error) {
	key := radishclaim.Key{Team: req.Team, Pipeline: req.Pipeline.Name, Stage: i, ID: *req.Key}
	claim, err := r.Claims.Claim(ctx, key, fingerprint(req.Body))
	if err != nil {
		mayHaveRun := errors.Is(err, radish.ErrOutcomeUnknown) || errors.Is(err, radish.ErrKeyExpired) || errors.Is(err, radish.ErrKeyMismatch)
		result.Sent = result.Sent || mayHaveRun
		result.MayHaveEffect = result.MayHaveEffect || mayHaveRun
		return nil, err
	}
	if !claim.IsOwner {
		result.Sent = true
		result.MayHaveEffect = true
		return claim.Outcome, nil
	}
	return r.runOnce(ctx, claim, call, result)
}

// runOnce (spec: Dispatch) sends the claimed stage.
func (r *Runner) runOnce(ctx context.Context, claim *radishclaim.Claim, call *radishtarget.StageCall, result *Result) ([]byte, error) {
	body, err := r.dispatch(ctx, call)
	result.Sent = result.Sent || call.Sent
	result.MayHaveEffect = result.MayHaveEffect || call.Sent
	switch {
	case err == nil:
		r.Claims.Finish(claim, body)
	case !call.Sent:
		r.Claims.Withdraw(claim)
	case errors.Is(err, radish.ErrBadRequest):
		// The target refused the input and did nothing, so the caller may send it again corrected.
		r.Claims.Withdraw(claim)
	}
	return body, err
}

func fingerprint(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}
