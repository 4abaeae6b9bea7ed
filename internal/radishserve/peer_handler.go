package radishserve

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishclaim"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// Handle implements radishpeer.Handler.
func (s *Server) Handle(ctx context.Context, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	switch body := req.GetBody().(type) {
	case *radishpeerpb.Request_Heartbeat:
		s.handleHeartbeat(body.Heartbeat)
		return &radishpeerpb.Response{}, nil
	case *radishpeerpb.Request_Config:
		return s.handleConfigRequest(body.Config)
	case *radishpeerpb.Request_Permit:
		return s.handlePermitRequest(body.Permit), nil
	case *radishpeerpb.Request_Release:
		s.steward.Release(body.Release.GetTarget(), body.Release.GetId(), body.Release.GetTerm())
		return &radishpeerpb.Response{}, nil
	case *radishpeerpb.Request_Claim:
		return s.handleClaimRequest(ctx, body.Claim)
	default:
		return nil, fmt.Errorf("unknown request of %s", req.GetFrom())
	}
}

// handleHeartbeat applies what a peer's heartbeat reports.
func (s *Server) handleHeartbeat(hb *radishpeerpb.Heartbeat) {
	now := time.Now()
	s.roster.RecordHeartbeat(hb.GetVm(), hb.GetDataCentre(), hb.GetLeaving())
	if hb.GetDataCentre() == s.Settings.VM.DataCentre {
		s.recordSteward(hb.GetSteward(), hb.GetStewardTerm())
	}
	for _, n := range hb.GetNews() {
		s.targetTable.Observe(radishtarget.Observation{
			Target: n.GetTarget(), State: radish.TargetState(n.GetState()), InFlight: int(n.GetInFlight()),
			ObservedAt: now.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond), Peer: hb.GetVm(),
		})
	}
	s.targetTable.ConfirmStates(hb.GetVm(), now)
	if s.drains.Merge(hb.GetDrains()) {
		s.updateTargets()
		s.heartbeats.triggerSend()
	}
	if hb.GetConfigGeneration() > s.configHolder.Generation() || !s.roster.HasList() {
		s.fetchConfig(hb.GetVm())
	}
}

func (s *Server) handleConfigRequest(req *radishpeerpb.ConfigRequest) (*radishpeerpb.Response, error) {
	raw, err := s.configHolder.EncodeSince(req.GetAboveGeneration())
	if err != nil {
		return nil, err
	}
	reply := &radishpeerpb.ConfigReply{Snapshot: raw}
	if req.GetWantVms() && s.roster.HasList() {
		if reply.Vms, err = json.Marshal(s.roster.VMs()); err != nil {
			return nil, err
		}
	}
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Config{Config: reply}}, nil
}

// fetchConfig requests a newer configuration from the peer, and the list of VMs if this VM has none. It runs in the
// background and does nothing while an earlier request is in progress.
func (s *Server) fetchConfig(peer string) {
	if !s.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetchingConfig.Store(false)
		res, err := s.peerNode.Call(s.ctx, peer, &radishpeerpb.Request{Body: &radishpeerpb.Request_Config{
			Config: &radishpeerpb.ConfigRequest{AboveGeneration: s.configHolder.Generation(), WantVms: !s.roster.HasList()},
		}})
		if err == nil {
			err = s.applyConfigReply(peer, res.GetConfig())
		}
		if err != nil {
			s.Log.Warn("cannot apply configuration from peer", "peer", peer, "error", err.Error())
		}
	}()
}

// applyConfigReply applies the list of VMs and the configuration that the peer sent.
func (s *Server) applyConfigReply(peer string, reply *radishpeerpb.ConfigReply) error {
	if len(reply.GetVms()) > 0 {
		var vms []radish.VM
		if err := json.Unmarshal(reply.GetVms(), &vms); err != nil {
			return err
		}
		s.roster.SetInitialList(vms)
	}
	if len(reply.GetSnapshot()) == 0 {
		return nil
	}
	changed, err := s.configHolder.UpdateFromPeer(reply.GetSnapshot())
	if changed {
		s.Log.Info("configuration in force", "generation", s.configHolder.Generation(), "from", peer)
	}
	return err
}

func (s *Server) handlePermitRequest(req *radishpeerpb.PermitRequest) *radishpeerpb.Response {
	permit, err := s.steward.Acquire(req.GetTarget(), time.Duration(req.GetTtlMs())*time.Millisecond)
	reply := &radishpeerpb.PermitReply{Granted: err == nil, Id: permit.ID, Term: permit.Term}
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Permit{Permit: reply}}
}

func (s *Server) handleClaimRequest(ctx context.Context, req *radishpeerpb.ClaimRequest) (*radishpeerpb.Response, error) {
	var ops []radishclaim.Op
	if err := json.Unmarshal(req.GetChanges(), &ops); err != nil {
		return nil, err
	}
	records, err := s.claimWriter.Write(ctx, req.GetObject(), ops)
	if err != nil {
		return nil, err
	}
	results, err := json.Marshal(records)
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Claim{Claim: &radishpeerpb.ClaimReply{Results: results}}}, err
}

// sendClaims forwards the ops to the VM that batches the updates of their claim object.
func (s *Server) sendClaims(ctx context.Context, vm, object string, ops []radishclaim.Op) ([]radishclaim.Record, error) {
	changes, err := json.Marshal(ops)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimForwardTimeout)
	defer cancel()
	res, err := s.peerNode.Call(ctx, vm, &radishpeerpb.Request{Body: &radishpeerpb.Request_Claim{
		Claim: &radishpeerpb.ClaimRequest{Object: object, Changes: changes},
	}})
	if err != nil {
		return nil, err
	}
	var records []radishclaim.Record
	return records, json.Unmarshal(res.GetClaim().GetResults(), &records)
}
