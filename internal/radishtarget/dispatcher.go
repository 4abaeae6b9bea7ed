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

// Bounds of a stage.
const (
	// maxTries bounds the attempts of one stage.
	maxTries = 4
	// capacityWait is the mean wait before a stage that found no target looks again.
	capacityWait = 10 * time.Millisecond
	// refusalTime is the mean time for which a VM does not ask again after a permit was refused.
	refusalTime = 100 * time.Millisecond
	// remoteProbes is how many targets of other data centres are asked at a time.
	remoteProbes = 2
	// overflowFactor is how many times as long the wait in the own data centre must be before another one is used.
	overflowFactor = 2
	// overflowLoad is the load of a target below which its data centre is not left.
	overflowLoad = 4
	// coldShare is the share of attempts offered to a cold target first, which lets it warm up.
	coldShare = 0.05
)

// PermitSource gets permits for cold targets.
type PermitSource interface {
	// Acquire returns a permit for one attempt; radish.ErrNoCapacity or radish.ErrLeaseLost when there is none.
	Acquire(ctx context.Context, target string, ttl time.Duration) (radishpermit.Permit, error)
	// Release ends the permit.
	Release(p radishpermit.Permit)
}

// StageCall is one stage of a request.
type StageCall struct {
	RequestID string
	Kind      radish.StageKind
	Service   *radishrule.Service
	// RetryShare is the retry budget of the service as a share of first attempts.
	RetryShare float64
	Input      []byte
	PrefixKey  string
	Priority   int
	// Sink receives the answer as it is produced; nil collects it.
	Sink io.Writer
	// Sent is set once a byte of any attempt may have gone out.
	Sent bool
}

// Dispatcher runs a stage on one of its service's targets; set the exported fields before first use.
type Dispatcher struct {
	Table   *Table
	Client  radish.TargetClient
	Picker  radish.Picker
	Permits PermitSource
	Metrics *radishmetric.Metrics
	Log     hclog.Logger

	budget RetryBudget
	probes singleflight.Group

	mu sync.Mutex
	// refused holds, by cold target, until when no permit is asked for after a refusal.
	refused map[string]time.Time
}

// Do runs the stage until it has a whole answer, may not be repeated or the context's deadline passes. The error is
// radish.ErrMayHaveRun when a non-idempotent stage may have run.
func (d *Dispatcher) Do(ctx context.Context, call *StageCall) (*radish.Response, error) {
	d.budget.Earn(call.Service.Name, call.RetryShare)
	sink := &countingWriter{w: call.Sink}
	tried := make(map[string]bool)
	var last error
	for tries := 0; tries < maxTries; {
		target, permit, err := d.choose(ctx, call, tried)
		if err != nil {
			if errors.Is(err, radish.ErrNoTarget) && last == nil && wait(ctx) {
				continue
			}
			return nil, joinLast(err, last)
		}
		tries++
		answer, err := d.attempt(ctx, call, target, permit, sink)
		if err == nil {
			return answer, nil
		}
		last = err
		tried[target.Name] = true
		if !d.mayRetry(ctx, call, err, sink) {
			return nil, err
		}
		d.Metrics.Retry(call.Service.Name)
	}
	return nil, last
}

func joinLast(err, last error) error {
	if last == nil {
		return err
	}
	return fmt.Errorf("%w; last attempt: %w", err, last)
}

func wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(capacityWait/2 + rand.N(capacityWait)):
		return true
	}
}

// choose returns a warm target, or a cold one with a permit.
func (d *Dispatcher) choose(ctx context.Context, call *StageCall, tried map[string]bool) (radish.Target, radishpermit.Permit, error) {
	choice := d.Table.Choose(call.Service.Name, call.Service.MaxInFlight, tried)
	if len(choice.Cold) > 0 && (len(choice.Warm) == 0 || rand.Float64() < coldShare) {
		if target, permit, ok := d.chooseCold(ctx, choice.Cold); ok {
			return target, permit, nil
		}
	}
	if len(choice.Warm) == 0 {
		d.probeRemote(ctx, call.Service.Name)
		choice = d.Table.Choose(call.Service.Name, call.Service.MaxInFlight, tried)
	}
	if len(choice.Warm) == 0 {
		return radish.Target{}, radishpermit.Permit{}, fmt.Errorf("%w: service %s", radish.ErrNoTarget, call.Service.Name)
	}
	return d.chooseWarm(ctx, call, choice), radishpermit.Permit{}, nil
}

// chooseWarm picks a target of the own data centre, or of another one when the own is far slower at present.
func (d *Dispatcher) chooseWarm(ctx context.Context, call *StageCall, choice Choice) radish.Target {
	local := choice.Warm[d.Picker.Pick(choice.Warm, call.PrefixKey)]
	if !local.Local || load(local) < overflowLoad {
		return local.Target
	}
	if len(choice.Remote) == 0 {
		d.probeRemote(ctx, call.Service.Name)
		return local.Target
	}
	remote := choice.Remote[d.Picker.Pick(choice.Remote, call.PrefixKey)]
	if remote.Latency == 0 {
		remote.Latency = local.Latency
	}
	if expectedWait(local) > overflowFactor*expectedWait(remote) {
		return remote.Target
	}
	return local.Target
}

// probeRemote asks a few targets of other data centres for their state, which nobody in this one polls.
func (d *Dispatcher) probeRemote(ctx context.Context, service string) {
	_, _, _ = d.probes.Do(service, func() (any, error) {
		for _, target := range d.Table.RemoteTargets(service, remoteProbes) {
			report, err := d.Client.Load(ctx, target)
			if err == nil {
				d.Table.Observe(News{Target: target.Name, State: report.State, InFlight: report.InFlight, Seen: time.Now()})
			}
		}
		return nil, nil
	})
}

func (d *Dispatcher) chooseCold(ctx context.Context, cold []radish.Candidate) (radish.Target, radishpermit.Permit, bool) {
	c := cold[rand.IntN(len(cold))]
	ttl := timeLeft(ctx)
	if ttl <= 0 || c.Target.DataCentre != d.Table.DataCentre {
		return radish.Target{}, radishpermit.Permit{}, false
	}
	if d.isRefused(c.Target.Name) {
		return radish.Target{}, radishpermit.Permit{}, false
	}
	permit, err := d.Permits.Acquire(ctx, c.Target.Name, ttl)
	d.Metrics.Permit(err == nil)
	if err != nil {
		d.noteRefusal(c.Target.Name)
		return radish.Target{}, radishpermit.Permit{}, false
	}
	return c.Target, permit, true
}

// isRefused tells whether the steward refused a permit for the target just now. All requests of the VM that wait
// for the target share the answer: else each of them would ask on every look.
func (d *Dispatcher) isRefused(target string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.refused[target])
}

func (d *Dispatcher) noteRefusal(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.refused == nil {
		d.refused = make(map[string]time.Time)
	}
	d.refused[target] = time.Now().Add(refusalTime/2 + rand.N(refusalTime))
}

// defaultTime stands for the time left when a context has no deadline.
const defaultTime = 5 * time.Second

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTime
	}
	return time.Until(deadline)
}

func (d *Dispatcher) attempt(ctx context.Context, call *StageCall, target radish.Target, permit radishpermit.Permit, sink *countingWriter) (*radish.Response, error) {
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
	began := d.Table.Start(target.Name)
	sent := time.Now()
	answer, err := d.Client.Do(ctx, a)
	d.Log.Info("attempt ended", "id", call.RequestID, "attempt", a.ID, "service", call.Service.Name, "target", target.Name,
		"is_cold", permit.ID != 0, "took_ms", time.Since(sent).Milliseconds(), "outcome", result(err), "error", radishlog.ErrorText(err))
	d.Table.Finish(target.Name, began, answer, isTargetFault(ctx, err))
	d.Metrics.Attempt(call.Service.Name, result(err))
	if !IsRunKnownNot(err) {
		call.Sent = true
	}
	if err != nil && !call.Service.Idempotent && !IsRunKnownNot(err) && !errors.Is(err, radish.ErrBadRequest) {
		err = fmt.Errorf("%w: %w", radish.ErrOutcomeUnknown, err)
	}
	return answer, err
}

// isTargetFault tells whether the error speaks against the target rather than the request or its deadline.
func isTargetFault(ctx context.Context, err error) bool {
	if err == nil || errors.Is(err, radish.ErrBadRequest) || errors.Is(err, radish.ErrRejected) {
		return false
	}
	return ctx.Err() == nil || errors.Is(ctx.Err(), context.DeadlineExceeded)
}

func result(err error) string {
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

// mayRetry tells whether the stage may be tried at another target: always when nothing ran, and under the retry
// budget when the service is idempotent and the caller has seen nothing of the failed answer.
func (d *Dispatcher) mayRetry(ctx context.Context, call *StageCall, err error, sink *countingWriter) bool {
	if ctx.Err() != nil || errors.Is(err, radish.ErrBadRequest) {
		return false
	}
	if IsRunKnownNot(err) {
		return true
	}
	return call.Service.Idempotent && sink.n == 0 && d.budget.Spend(call.Service.Name)
}

// countingWriter counts what was passed to the caller.
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
