package radishstage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// maxOwners is how many VMs are asked in turn to batch the pieces before the own VM runs them.
const maxOwners = 3

// PeerCaller calls other VMs.
type PeerCaller interface {
	// Call returns the peer's response; radish.ErrUnavailable when there is no link or it breaks.
	Call(ctx context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error)
}

// Router runs pieces at the VM that batches their service; set the exported fields before first use.
type Router struct {
	// Self is the VM's own name.
	Self string
	// Owners returns the VMs in reach, the one that batches the service first.
	Owners func(service string) []string
	Peers  PeerCaller
	// Local returns the VM's own batcher of the service.
	Local func(service string) *Batcher
	Log   hclog.Logger
}

// Run runs the request's pieces and returns one result a piece.
func (r *Router) Run(ctx context.Context, req *Request) ([]radish.PieceResult, error) {
	owners := r.Owners(req.Service)
	for _, owner := range owners[:min(len(owners), maxOwners)] {
		if owner == r.Self {
			break
		}
		results, err := r.ask(ctx, owner, req)
		if err == nil || ctx.Err() != nil {
			return results, err
		}
		r.Log.Warn("VM that batches the stage did not answer", "peer", owner, "service", req.Service, "id", req.Pieces[0].CallID, "error", err.Error())
	}
	return r.Local(req.Service).Run(ctx, req)
}

func (r *Router) ask(ctx context.Context, owner string, req *Request) ([]radish.PieceResult, error) {
	res, err := r.Peers.Call(ctx, owner, &radishpeerpb.Request{Body: &radishpeerpb.Request_Pieces{Pieces: encode(req, time.Now())}})
	if err != nil {
		return nil, err
	}
	outcomes := res.GetPieces().GetOutcomes()
	if len(outcomes) != len(req.Pieces) {
		return nil, fmt.Errorf("%w: %d outcomes for %d pieces", radish.ErrUnavailable, len(outcomes), len(req.Pieces))
	}
	results := make([]radish.PieceResult, len(outcomes))
	for i, o := range outcomes {
		results[i] = radish.PieceResult{Outcome: radish.PieceOutcome(o.GetOutcome()), Handle: o.GetHandle()}
	}
	return results, nil
}

// Free gives up results of the service's targets.
func (r *Router) Free(ctx context.Context, service string, handles []string) {
	owners := r.Owners(service)
	if len(owners) == 0 || owners[0] == r.Self {
		r.Local(service).Free(handles)
		return
	}
	req := &radishpeerpb.FreeRequest{Service: service, Handles: handles}
	if _, err := r.Peers.Call(ctx, owners[0], &radishpeerpb.Request{Body: &radishpeerpb.Request_Free{Free: req}}); err != nil {
		r.Local(service).Free(handles)
	}
}

// Serve answers a peer that asks for pieces.
func (r *Router) Serve(ctx context.Context, p *radishpeerpb.PieceRequest) (*radishpeerpb.PieceReply, error) {
	req := decode(p, time.Now())
	if len(req.Pieces) == 0 {
		return nil, errNoPieces
	}
	results, err := r.Local(req.Service).Run(ctx, req)
	if err != nil {
		return nil, err
	}
	reply := &radishpeerpb.PieceReply{}
	for _, result := range results {
		reply.Outcomes = append(reply.Outcomes, &radishpeerpb.PieceOutcome{Outcome: string(result.Outcome), Handle: result.Handle})
	}
	return reply, nil
}

var errNoPieces = errors.New("request names no pieces")

// encode turns times into spans, since the clocks of VMs differ.
func encode(req *Request, now time.Time) *radishpeerpb.PieceRequest {
	first := req.Pieces[0]
	p := &radishpeerpb.PieceRequest{
		Service: req.Service, CallId: first.CallID, Stage: uint32(first.Stage), Key: first.Key, Inputs: first.Inputs,
		DueMs: span(req.Due, now), LeftMs: span(req.Deadline, now), ResultBytes: uint64(req.ResultBytes), Near: req.Near,
	}
	for _, piece := range req.Pieces {
		p.Numbers = append(p.Numbers, uint32(piece.Number))
	}
	return p
}

func span(until, now time.Time) uint32 {
	return uint32(max(0, until.Sub(now).Milliseconds()))
}

func decode(p *radishpeerpb.PieceRequest, now time.Time) *Request {
	req := &Request{
		Service: p.GetService(), Due: now.Add(time.Duration(p.GetDueMs()) * time.Millisecond),
		Deadline: now.Add(time.Duration(p.GetLeftMs()) * time.Millisecond), ResultBytes: int64(p.GetResultBytes()), Near: p.GetNear(),
	}
	for _, number := range p.GetNumbers() {
		req.Pieces = append(req.Pieces, radish.Piece{
			CallID: p.GetCallId(), Stage: int(p.GetStage()), Number: int(number), Key: p.GetKey(), Inputs: p.GetInputs(),
		})
	}
	return req
}
