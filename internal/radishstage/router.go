package radishstage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

const (
	// maxOwners is how many VMs are asked in turn to coordinate a plan before the own VM does.
	maxOwners = 3
	// suspectTime is how long a VM that did not answer is left alone.
	suspectTime = 2 * time.Second
)

// PeerCaller calls other VMs.
type PeerCaller interface {
	// Call returns the peer's response; radish.ErrUnavailable when there is no link or it breaks, radish.ErrReset as well
	// when the link is opened anew.
	Call(ctx context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error)
	// Ping returns once the peer has answered; radish.ErrSilent when it has not over an open link before ctx ends.
	Ping(ctx context.Context, name string) error
	// CloseLink ends the link to the peer and the calls over it.
	CloseLink(name string)
}

// Router has plans run by the VM that coordinates their shard; set the exported fields before first use.
type Router struct {
	// Self is the VM's own name.
	Self string
	// Owners returns the VMs in reach that coordinate the shard, the first choice first.
	Owners func(shard, shards int) []string
	// Shards returns how many shards the stage targets are divided into.
	Shards func() int
	Peers  PeerCaller
	// Local returns the VM's own coordinator of the shard.
	Local func(shard, shards int) *Coordinator
	Log   hclog.Logger

	mu sync.Mutex
	// suspects holds until when VMs that did not answer are left alone.
	suspects map[string]time.Time
	watch    watch
}

// Run runs the plan; a *RefusedError when there is no room for it.
func (r *Router) Run(ctx context.Context, p *Plan) (*Result, error) {
	shards := r.Shards()
	shard := shardOf(p.CallID, shards)
	wasReset := false
	for range maxOwners {
		owner := r.owner(shard, shards)
		if owner == r.Self {
			break
		}
		result, err := r.ask(ctx, owner, shard, shards, p)
		isElsewhere := errors.Is(err, radish.ErrUnavailable) || errors.Is(err, ErrMoved)
		if !isElsewhere || ctx.Err() != nil {
			return result, err
		}
		if errors.Is(err, radish.ErrLinkReset) && !wasReset {
			r.Log.Info("link reset, coordinator asked again", "peer", owner, "shard", shard, "id", p.CallID)
			wasReset = true
			continue
		}
		r.Log.Warn("coordinator did not answer", "peer", owner, "shard", shard, "id", p.CallID, "error", err.Error())
		r.suspect(owner)
	}
	local := r.Local(shard, shards)
	result, err := local.Run(ctx, p)
	if errors.Is(err, ErrMoved) {
		r.Log.Warn("this VM leaves, but no other one coordinates the stages", "shard", shard, "id", p.CallID)
		local.Stay()
		return local.Run(ctx, p)
	}
	return result, err
}

// owner returns the VM that coordinates the shard now: the first choice that has not failed to answer of late.
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

// suspect leaves a VM that did not answer alone for a while.
func (r *Router) suspect(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects == nil {
		r.suspects = make(map[string]time.Time)
	}
	r.suspects[name] = time.Now().Add(suspectTime)
}

func (r *Router) ask(ctx context.Context, owner string, shard, shards int, p *Plan) (*Result, error) {
	body := encode(p, time.Now())
	body.Shard, body.Shards = uint32(shard), uint32(shards)
	r.watch.begin(owner, time.Now())
	res, err := r.Peers.Call(ctx, owner, &radishpeerpb.Request{Body: &radishpeerpb.Request_Plan{Plan: body}})
	r.watch.end(owner, time.Now(), err == nil)
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

// Free gives up the results that a call does not need any more.
func (r *Router) Free(ctx context.Context, callID string, handles []string) {
	shards := r.Shards()
	shard := shardOf(callID, shards)
	if owner := r.owner(shard, shards); owner != r.Self {
		req := &radishpeerpb.FreeRequest{Handles: handles, Shard: uint32(shard), Shards: uint32(shards)}
		_, err := r.Peers.Call(ctx, owner, &radishpeerpb.Request{Body: &radishpeerpb.Request_Free{Free: req}})
		if err == nil {
			return
		}
		r.Log.Info("coordinator not told of freed results", "peer", owner, "id", callID, "error", err.Error())
	}
	r.Local(shard, shards).Free(handles)
}

// Serve answers a peer that asks for a plan to be run.
func (r *Router) Serve(ctx context.Context, body *radishpeerpb.PlanRequest) *radishpeerpb.PlanReply {
	result, err := r.Local(int(body.GetShard()), int(body.GetShards())).Run(ctx, decode(body, time.Now()))
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

// encode turns times into spans, since the clocks of VMs differ.
func encode(p *Plan, now time.Time) *radishpeerpb.PlanRequest {
	body := &radishpeerpb.PlanRequest{
		CallId: p.CallID, Key: p.Key, DueMs: span(p.Due, now), LeftMs: span(p.Deadline, now), Near: p.Near, Worth: float32(p.Worth),
	}
	for _, s := range p.Stages {
		stage := &radishpeerpb.PlanStage{Service: s.Service, Pieces: uint32(s.Pieces), ResultBytes: uint64(s.ResultBytes)}
		for _, before := range s.After {
			stage.After = append(stage.After, uint32(before))
		}
		body.Stages = append(body.Stages, stage)
	}
	return body
}

func span(until, now time.Time) uint32 {
	return uint32(max(0, until.Sub(now).Milliseconds()))
}

func decode(body *radishpeerpb.PlanRequest, now time.Time) *Plan {
	p := &Plan{
		CallID: body.GetCallId(), Key: body.GetKey(), Due: now.Add(time.Duration(body.GetDueMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(body.GetLeftMs()) * time.Millisecond), Near: body.GetNear(), Worth: float64(body.GetWorth()),
	}
	for _, s := range body.GetStages() {
		stage := Stage{Service: s.GetService(), Pieces: int(s.GetPieces()), ResultBytes: int64(s.GetResultBytes())}
		for _, before := range s.GetAfter() {
			stage.After = append(stage.After, int(before))
		}
		p.Stages = append(p.Stages, stage)
	}
	return p
}
