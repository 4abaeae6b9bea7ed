package radishtarget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpermit"
	"radishramp.example/radishramp/pkg/radishrule"
)

// Limits and selection parameters of a stage.
const (
	// maxAttempts is the maximum number of attempts of one stage.
	maxAttempts = 4
	// noTargetDelay is the mean delay after which a stage that found no eligible target searches for one again.
	noTargetDelay = 10 * time.Millisecond
	// permitRetryDelay is the mean time after a refused permit during which this VM requests no permit for the target.
	permitRetryDelay = 100 * time.Millisecond
	// maxRemoteProbes is the maximum number of targets in other data centres that are probed at a time.
	maxRemoteProbes = 2
	// spilloverWaitRatio is how many times longer the estimated wait at the local target must be than that at a remote
	// target before the remote one is used.
	spilloverWaitRatio = 2
	// spilloverMinLoad is the estimatedLoad of the local target below which no remote target is considered.
	spilloverMinLoad = 4
	// coldAttemptShare is the share of attempts that try a cold target first, so that cold targets warm up.
	coldAttemptShare = 0.05
)

// PermitSource provides permits for attempts at cold targets.
type PermitSource interface {
	// Acquire returns a permit for one attempt, or radish.ErrNoCapacity or radish.ErrLeaseLost if none is granted.
	Acquire(ctx context.Context, target string, ttl time.Duration) (radishpermit.Permit, error)
	// Release returns the permit.
	Release(p radishpermit.Permit)
}

// StageCall is one stage of a request.
type StageCall struct {
	RequestID string
	Kind      radish.StageKind
	Service   *radishrule.Service
	// RetryBudgetRatio is the maximum ratio of retries to first attempts of the service.
	RetryBudgetRatio float64
	Input            []byte
	PrefixKey        string
	Priority         int
	// Sink receives the response as it is produced; if it is nil, the response is returned as a whole.
	Sink io.Writer
	// MayHaveRun is set when an attempt ends without proof that the target did not execute it.
	MayHaveRun bool
}

// Dispatcher runs stages on the targets of their services; set the exported fields before first use.
type Dispatcher struct {
	Table   *Table
	Client  radish.TargetClient
	Picker  radish.Picker
	Permits PermitSource
	Metrics *radishmetric.Metrics
	Log     hclog.Logger

	retryBudget  RetryBudget
	remoteProbes singleflight.Group

	mu sync.Mutex
	// permitRetryAt holds, by the name of a cold target that was refused a permit, when a permit may be requested
	// again.
	permitRetryAt map[string]time.Time
}

// Do runs the stage until it gets a complete response, must not be retried or the context's deadline passes. The error
// is radish.ErrOutcomeUnknown if a non-idempotent stage may have been executed.
func (d *Dispatcher) Do(ctx context.Context, call *StageCall) (*radish.Response, error) {
	d.retryBudget.RecordAttempt(call.Service.Name, call.RetryBudgetRatio)
	sink := &countingWriter{w: call.Sink}
	tried := make(map[string]bool)
	var lastErr error
	for attempts := 0; attempts < maxAttempts; {
		target, permit, err := d.selectTarget(ctx, call, tried)
		if err != nil {
			if errors.Is(err, radish.ErrNoTarget) && lastErr == nil && waitForTarget(ctx) {
				continue
			}
			return nil, withLastError(err, lastErr)
		}
		attempts++
		response, err := d.attempt(ctx, call, target, permit, sink)
		if err == nil {
			return response, nil
		}
		lastErr = err
		tried[target.Name] = true
		if !d.mayRetry(ctx, call, err, sink) {
			return nil, err
		}
		d.Metrics.RecordRetry(call.Service.Name)
	}
	return nil, lastErr
}

func withLastError(err, lastErr error) error {
	if lastErr == nil {
		return err
	}
	return fmt.Errorf("%w; last attempt: %w", err, lastErr)
}

// waitForTarget waits for a random delay and reports whether it passed before the context ended.
func waitForTarget(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(noTargetDelay/2 + rand.N(noTargetDelay)):
		return true
	}
}

// selectTarget returns a warm target, or a cold target and a permit for it.
func (d *Dispatcher) selectTarget(ctx context.Context, call *StageCall, tried map[string]bool) (radish.Target, radishpermit.Permit, error) {
	candidates := d.Table.Candidates(call.Service.Name, call.Service.MaxInFlight, tried)
	if len(candidates.Cold) > 0 && (len(candidates.Warm) == 0 || rand.Float64() < coldAttemptShare) {
		if target, permit, ok := d.selectCold(ctx, candidates.Cold); ok {
			return target, permit, nil
		}
	}
	if len(candidates.Warm) == 0 {
		d.probeRemote(ctx, call.Service.Name)
		candidates = d.Table.Candidates(call.Service.Name, call.Service.MaxInFlight, tried)
	}
	if len(candidates.Warm) == 0 {
		return radish.Target{}, radishpermit.Permit{}, fmt.Errorf("%w: service %s", radish.ErrNoTarget, call.Service.Name)
	}
	return d.selectWarm(ctx, call, candidates), radishpermit.Permit{}, nil
}

// selectWarm picks a target in the VM's own data centre, or one in another data centre if the wait at the local target
// is much longer.
func (d *Dispatcher) selectWarm(ctx context.Context, call *StageCall, candidates Candidates) radish.Target {
	local := candidates.Warm[d.Picker.Pick(candidates.Warm, call.PrefixKey)]
	if !local.Local || estimatedLoad(local) < spilloverMinLoad {
		return local.Target
	}
	if len(candidates.Remote) == 0 {
		d.probeRemote(ctx, call.Service.Name)
		return local.Target
	}
	remote := candidates.Remote[d.Picker.Pick(candidates.Remote, call.PrefixKey)]
	if remote.Latency == 0 {
		remote.Latency = local.Latency
	}
	if estimatedWait(local) > spilloverWaitRatio*estimatedWait(remote) {
		return remote.Target
	}
	return local.Target
}

// probeRemote fetches the state of a few targets in other data centres, because no VM of this data centre polls them.
func (d *Dispatcher) probeRemote(ctx context.Context, service string) {
	_, _, _ = d.remoteProbes.Do(service, func() (any, error) {
		for _, target := range d.Table.RemoteTargets(service, maxRemoteProbes) {
			report, err := d.Client.Load(ctx, target)
			if err == nil {
				d.Table.Observe(Observation{Target: target.Name, State: report.State, InFlight: report.InFlight, ObservedAt: time.Now()})
			}
		}
		return nil, nil
	})
}

func (d *Dispatcher) selectCold(ctx context.Context, cold []radish.Candidate) (radish.Target, radishpermit.Permit, bool) {
	candidate := cold[rand.IntN(len(cold))]
	ttl := timeLeft(ctx)
	if ttl <= 0 || candidate.Target.DataCentre != d.Table.DataCentre {
		return radish.Target{}, radishpermit.Permit{}, false
	}
	if d.isPermitRefused(candidate.Target.Name) {
		return radish.Target{}, radishpermit.Permit{}, false
	}
	permit, err := d.Permits.Acquire(ctx, candidate.Target.Name, ttl)
	d.Metrics.RecordPermitRequest(err == nil)
	if err != nil {
		d.recordPermitRefusal(candidate.Target.Name)
		return radish.Target{}, radishpermit.Permit{}, false
	}
	return candidate.Target, permit, true
}

// isPermitRefused reports whether a permit for the target was refused recently. All requests of the VM that wait for a
// target share a refusal; otherwise each of them would request a permit every time it searches for a target.
func (d *Dispatcher) isPermitRefused(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.permitRetryAt[target])
}

func (d *Dispatcher) recordPermitRefusal(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.permitRetryAt == nil {
		d.permitRetryAt = make(map[string]time.Time)
	}
	d.permitRetryAt[target] = time.Now().Add(permitRetryDelay/2 + rand.N(permitRetryDelay))
}

// defaultTimeLeft is the time left that is assumed for a context without a deadline.
const defaultTimeLeft = 5 * time.Second

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeLeft
	}
	return time.Until(deadline)
}

func (d *Dispatcher) attempt(
	ctx context.Context, call *StageCall, target radish.Target, permit radishpermit.Permit, sink *countingWriter,
) (*radish.Response, error) {
	if permit.ID != 0 {
		defer d.Permits.Release(permit)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, permit.NotAfter)
		defer cancel()
	}
	a := &radish.Attempt{
		ID: uuid.NewString(), RequestID: call.RequestID, Kind: call.Kind, Target: target, Input: call.Input,
		PrefixKey: call.PrefixKey, Priority: call.Priority, StartDeadline: permit.NotAfter,
	}
	if call.Sink != nil {
		a.Sink = sink
	}
	startedAt := d.Table.Start(target.Name)
	sentAt := time.Now()
	response, err := d.Client.Do(ctx, a)
	d.Log.Info("attempt ended", "id", call.RequestID, "attempt", a.ID, "service", call.Service.Name, "target", target.Name,
		"is_cold", permit.ID != 0, "took_ms", time.Since(sentAt).Milliseconds(), "outcome", outcome(err), "error", radishlog.ErrorText(err))
	d.Table.Finish(target.Name, startedAt, response, isTargetFailure(ctx, err))
	d.Metrics.RecordAttempt(call.Service.Name, outcome(err))
	if !IsNotExecuted(err) {
		call.MayHaveRun = true
	}
	if err != nil && !call.Service.Idempotent && !IsNotExecuted(err) && !errors.Is(err, radish.ErrBadRequest) {
		err = fmt.Errorf("%w: %w", radish.ErrOutcomeUnknown, err)
	}
	return response, err
}

// isTargetFailure reports whether the error counts as a failure of the target. Rejected attempts, invalid input and
// attempts that the caller cancelled do not; attempts that exceeded their deadline do.
func isTargetFailure(ctx context.Context, err error) bool {
	if err == nil || errors.Is(err, radish.ErrBadRequest) || errors.Is(err, radish.ErrRejected) {
		return false
	}
	return ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func outcome(err error) string {
	for _, known := range []struct {
		err  error
		name string
	}{
		{radish.ErrNotSent, "not_sent"}, {radish.ErrRejected, "rejected"}, {radish.ErrTruncated, "cut"},
		{radish.ErrAttemptMismatch, "crossed"}, {radish.ErrBadRequest, "bad_request"},
	} {
		if errors.Is(err, known.err) {
			return known.name
		}
	}
	if err != nil {
		return "failed"
	}
	return "whole"
}

// mayRetry reports whether the stage may be retried at another target: if no target executed the attempt, or, within
// the retry budget, if the service is idempotent and the caller has received no part of the failed response.
func (d *Dispatcher) mayRetry(ctx context.Context, call *StageCall, err error, sink *countingWriter) bool {
	if ctx.Err() != nil || errors.Is(err, radish.ErrBadRequest) {
		return false
	}
	if IsNotExecuted(err) {
		return true
	}
	return call.Service.Idempotent && sink.n == 0 && d.retryBudget.AllowRetry(call.Service.Name)
}

// countingWriter counts the bytes that were written to the caller.
type countingWriter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}
