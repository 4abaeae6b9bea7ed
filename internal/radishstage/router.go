package radishstage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/singleflight"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

const (
	// maxRemoteAttempts is how often a plan is sent to other VMs before this VM coordinates it itself.
	maxRemoteAttempts = 3
	// silentSuspicion is how long a VM that did not answer, or that leaves, gets no plans.
	silentSuspicion = 2 * time.Second
	// resetSuspicion is how long a VM whose link was reset twice gets no plans. The peers of a VM that starts reset their links to
	// its last process; it is soon linked again, and until then another VM coordinates beside it.
	resetSuspicion = 300 * time.Millisecond
)

// PeerClient communicates with other VMs.
type PeerClient interface {
	// Call returns the peer's response. It returns radish.ErrUnavailable if there is no link or the link breaks, and also
	// radish.ErrLinkReset if the link is being opened again.
	Call(ctx context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error)
	// Ping returns once the peer has answered. It returns radish.ErrPeerTimeout if the link is open but the peer has not
	// answered before ctx ends.
	Ping(ctx context.Context, name string) error
	// CloseLink closes the link to the peer, which ends the calls over it.
	CloseLink(name string)
}

// Router sends plans to the VM that coordinates their shard. Set the exported fields before first use.
type Router struct {
	// Self is the name of this VM.
	Self string
	// Owners returns the reachable VMs that may coordinate the shard, in order of preference.
	Owners func(shard, shards int) []string
	// Shards returns the number of shards into which the stage targets are divided.
	Shards func() int
	Peers  PeerClient
	// Local returns this VM's own coordinator of the shard.
	Local func(shard, shards int) *Coordinator
	Log   hclog.Logger

	mu sync.Mutex
	// suspects holds, for each VM that did not answer, the time until which it gets no plans.
	suspects map[string]time.Time
	silence  silenceDetector
	checks   singleflight.Group
}

// Run executes the plan at the VM that coordinates its shard. It returns a *RefusedError if there is no capacity for the plan.
func (r *Router) Run(ctx context.Context, p *Plan) (*Result, error) {
	shards := r.Shards()
	shard := shardOf(p.CallID, shards)
	wasReset := false
	for range maxRemoteAttempts {
		owner := r.owner(shard, shards)
		if owner == r.Self {
			break
		}
		result, err := r.runRemote(ctx, owner, shard, shards, p)
		needsOther := errors.Is(err, radish.ErrUnavailable) || errors.Is(err, ErrMoved)
		if !needsOther || ctx.Err() != nil {
			return result, err
		}
		if errors.Is(err, radish.ErrLinkReset) && !wasReset {
			r.Log.Info("link reset, coordinator asked again", "peer", owner, "shard", shard, "id", p.CallID)
			wasReset = true
			continue
		}
		if errors.Is(err, ErrMoved) {
			r.Log.Info("coordinator leaves, another one is asked", "peer", owner, "shard", shard, "id", p.CallID)
		} else {
			r.Log.Warn("coordinator did not answer", "peer", owner, "shard", shard, "id", p.CallID, "error", err.Error())
		}
		r.suspect(owner, suspicionFor(err))
		if !errors.Is(err, ErrMoved) {
			r.checkOwners(ctx, shard, shards)
		}
	}
	local := r.Local(shard, shards)
	result, err := local.Run(ctx, p)
	if errors.Is(err, ErrMoved) {
		r.Log.Warn("this VM leaves, but no other one coordinates the stages", "shard", shard, "id", p.CallID)
		local.Resume()
		return local.Run(ctx, p)
	}
	return result, err
}

// owner returns the VM that coordinates the shard now: the most preferred one that is not suspected.
func (r *Router) owner(shard, shards int) string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, owner := range r.Owners(shard, shards) {
		if now.After(r.suspects[owner]) {
			return owner
		}
	}
	return r.Self
}

// suspicionFor returns how long a VM gets no plans after a call to it ended with the error.
func suspicionFor(err error) time.Duration {
	if errors.Is(err, radish.ErrLinkReset) {
		return resetSuspicion
	}
	return silentSuspicion
}

// suspect makes the router skip a VM that did not answer for the given time.
func (r *Router) suspect(name string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects == nil {
		r.suspects = make(map[string]time.Time)
	}
	r.suspects[name] = time.Now().Add(duration)
}

func (r *Router) runRemote(ctx context.Context, owner string, shard, shards int, p *Plan) (*Result, error) {
	body := encodePlan(p, time.Now())
	body.Shard, body.Shards = uint32(shard), uint32(shards)
	r.silence.planSent(owner, time.Now())
	res, err := r.Peers.Call(ctx, owner, &radishpeerpb.Request{Body: &radishpeerpb.Request_Plan{Plan: body}})
	r.silence.planEnded(owner, time.Now(), err == nil)
	if err != nil {
		return nil, err
	}
	reply := res.GetPlan()
	switch {
	case reply.GetMoved():
		return nil, ErrMoved
	case reply.GetRetryAfterMs() > 0:
		return nil, &RefusedError{RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond, Reason: reply.GetRefusal()}
	case reply.GetRefusal() != "":
		return nil, fmt.Errorf("%w: %s", ErrFailed, reply.GetRefusal())
	case len(reply.GetStages()) != len(p.Stages):
		return nil, fmt.Errorf("%w: results of %d stages for %d", radish.ErrUnavailable, len(reply.GetStages()), len(p.Stages))
	}
	result := &Result{Handles: make([][]string, len(p.Stages))}
	for i, s := range reply.GetStages() {
		result.Handles[i] = s.GetHandles()
	}
	return result, nil
}

// Free releases results that the request no longer needs.
func (r *Router) Free(ctx context.Context, callID string, handles []string) {
	shards := r.Shards()
	shard := shardOf(callID, shards)
	if owner := r.owner(shard, shards); owner != r.Self {
		req := &radishpeerpb.FreeRequest{Handles: handles, Shard: uint32(shard), Shards: uint32(shards)}
		_, err := r.Peers.Call(ctx, owner, &radishpeerpb.Request{Body: &radishpeerpb.Request_Free{Free: req}})
		if err == nil {
			return
		}
		r.Log.Info("cannot release stage results through the coordinator", "peer", owner, "id", callID, "error", err.Error())
	}
	r.Local(shard, shards).Free(handles)
}

// Serve executes a plan for a peer and returns the reply to it.
func (r *Router) Serve(ctx context.Context, body *radishpeerpb.PlanRequest) *radishpeerpb.PlanReply {
	if !IsShard(body.GetShard(), body.GetShards()) {
		return &radishpeerpb.PlanReply{Refusal: fmt.Sprintf("there is no shard %d of %d", body.GetShard(), body.GetShards())}
	}
	result, err := r.Local(int(body.GetShard()), int(body.GetShards())).Run(ctx, decodePlan(body, time.Now()))
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return &radishpeerpb.PlanReply{Refusal: refused.Reason, RetryAfterMs: uint32(max(1, refused.RetryAfter.Milliseconds()))}
	case errors.Is(err, ErrMoved):
		return &radishpeerpb.PlanReply{Moved: true, Refusal: err.Error()}
	case err != nil:
		return &radishpeerpb.PlanReply{Refusal: err.Error()}
	}
	reply := &radishpeerpb.PlanReply{}
	for _, handles := range result.Handles {
		reply.Stages = append(reply.Stages, &radishpeerpb.StageResults{Handles: handles})
	}
	return reply
}

// ServeFree releases results for a peer.
func (r *Router) ServeFree(body *radishpeerpb.FreeRequest) {
	if !IsShard(body.GetShard(), body.GetShards()) {
		r.Log.Warn("peer releases results of a shard that does not exist", "shard", body.GetShard(), "shards", body.GetShards())
		return
	}
	r.Local(int(body.GetShard()), int(body.GetShards())).Free(body.GetHandles())
}

// IsShard reports whether a peer may name this shard.
func IsShard(shard, shards uint32) bool { return shard < shards && shards <= maxShards }

// encodePlan sends points in time as remaining durations, since the clocks of VMs differ.
func encodePlan(p *Plan, now time.Time) *radishpeerpb.PlanRequest {
	body := &radishpeerpb.PlanRequest{
		CallId: p.CallID, Key: p.Key, DueMs: remainingMs(p.Due, now), LeftMs: remainingMs(p.Deadline, now), Near: p.Near, Worth: float32(p.Worth),
	}
	if u := p.Urgency; u != nil {
		priority := uint32(u.Priority)
		body.Priority, body.Team, body.Value = &priority, u.Team, float32(u.Value)
	}
	for _, s := range p.Stages {
		stage := &radishpeerpb.PlanStage{Service: s.Service, Pieces: uint32(s.Pieces), ResultBytes: uint64(s.ResultBytes)}
		for _, dep := range s.After {
			stage.After = append(stage.After, uint32(dep))
		}
		body.Stages = append(body.Stages, stage)
	}
	return body
}

func remainingMs(until, now time.Time) uint32 {
	return uint32(max(0, until.Sub(now).Milliseconds()))
}

func decodePlan(body *radishpeerpb.PlanRequest, now time.Time) *Plan {
	p := &Plan{
		CallID: body.GetCallId(), Key: body.GetKey(), Due: now.Add(time.Duration(body.GetDueMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(body.GetLeftMs()) * time.Millisecond), Near: body.GetNear(), Worth: float64(body.GetWorth()),
	}
	if body.Priority != nil {
		// VMs of earlier releases send no priority.
		u := radishadmission.Urgency{
			Priority: int(min(body.GetPriority(), radishadmission.MaxPriority)), Team: body.GetTeam(), Value: float64(body.GetValue()),
		}.Validated()
		p.Urgency = &u
	}
	for _, s := range body.GetStages() {
		stage := Stage{Service: s.GetService(), Pieces: int(s.GetPieces()), ResultBytes: int64(s.GetResultBytes())}
		for _, dep := range s.GetAfter() {
			stage.After = append(stage.After, int(dep))
		}
		p.Stages = append(p.Stages, stage)
	}
	return p
}
