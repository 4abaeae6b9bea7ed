package radishrelay

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishengine"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishhedge"
	"radishramp.example/radishramp/pkg/radishquarantine"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// defaultTimeout bounds a call for which neither the caller nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// refusalReserve is the part of the caller's timeout that is kept back, so that a refusal reaches the caller in
	// time.
	refusalReserve = 50 * time.Millisecond
	// noConfigRetryAfter is the retry delay for calls to a VM that has not received a configuration yet, a state that
	// ends soon after startup.
	noConfigRetryAfter = 500 * time.Millisecond
	// noCapacityRetryAfter is the retry delay for calls to a service without an available target.
	noCapacityRetryAfter = time.Second
)

// StageRunner runs the stages of calls.
type StageRunner interface {
	// Run executes the plan and returns the handles of the results, or a *radishstage.RefusedError when there is no
	// capacity for the plan.
	Run(ctx context.Context, p *radishstage.Plan) (*radishstage.Result, error)
	// Free releases results of the call.
	Free(ctx context.Context, callID string, handles []string)
}

// Relay handles client calls. Its exported fields must be set before first use.
type Relay struct {
	// Config returns the current configuration, or nil until the first one arrives.
	Config func() *radishroute.Config
	// ConfigAge returns the time since the current configuration took effect on this VM.
	ConfigAge func() time.Duration
	Fleet     *radishfleet.Fleet
	Forwarder radish.Forwarder
	// Prober checks the targets at which an attempt was cut. If it is nil, they are not checked.
	Prober radish.TargetProber
	// Quarantine decides which calls are not sent because a part of their prompt crashes targets.
	Quarantine *radishquarantine.Quarantine
	// OnEvidence is called when the quarantine has new evidence; nil means that nothing is to be done.
	OnEvidence  func()
	Stages      StageRunner
	RetryBudget *radishtarget.RetryBudget
	// RetryRatio returns the ratio of retries to calls that each service is allowed.
	RetryRatio func() float64
	// Hedger decides when copies of slow calls are sent; nil means that none are.
	Hedger *radishhedge.Hedger
	// Engines estimates the time that a call's engine takes after its stages have ended.
	Engines *radishengine.Estimator
	Metrics *radishmetric.Metrics
	Log     hclog.Logger

	probes                        singleflight.Group
	stagesStopped, waitingStopped stopSignal
	// refuseLateAfter is the time after which no call may last, nil while the VM does not shut down.
	refuseLateAfter atomic.Pointer[time.Time]
}

// Check implements radish.CallChecker.
func (r *Relay) Check(call *radish.Call) (radish.Refusal, bool) {
	e := &exchange{relay: r, call: call}
	refusal, ok := e.resolve()
	if ok {
		refusal, ok = e.checkKnownCrash()
	}
	if !ok {
		e.logRefusal(refusal)
		e.outcome = string(refusal.Kind)
		e.finish()
	}
	return refusal, ok
}

// Handle implements radish.CallHandler.
func (r *Relay) Handle(ctx context.Context, call *radish.Call, w radish.ResponseWriter) {
	e := &exchange{relay: r, call: call, w: w, triedTargets: make(map[string]bool)}
	if refusal, ok := e.admit(); !ok {
		e.refuse(refusal)
		e.finish()
		return
	}
	ctx, cancel := context.WithDeadline(ctx, e.deadline)
	defer cancel()
	ctx, cancelStoppable, release := withStop(ctx, &r.waitingStopped)
	defer cancelStoppable()
	e.releaseStop = release
	e.run(ctx)
	e.finish()
}

// jitter randomizes a retry delay by up to half in either direction, so that callers do not retry all at once.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
