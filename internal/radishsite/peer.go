package radishsite

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

// announceTimeout limits the time to notify all peers that this VM is shutting down.
const announceTimeout = 500 * time.Millisecond

// peerManager tracks the other entry VMs, keeps the links to them and exchanges records with them.
type peerManager struct {
	self   radish.VMRecord
	node   *radishpeer.Node
	mirror *radishmirror.Mirror
	state  *clusterState
	// quarantine holds the evidence on crashes of targets, which the VMs exchange.
	quarantine *radishquarantine.Quarantine
	router     *radishstage.Router
	// rollouts keeps the operator's orders and the evidence on them; nil where they are not in force.
	rollouts *rolloutManager
	// seeds returns peer addresses of other VMs, some of which may be stale.
	seeds     func() []string
	isLeaving func() bool
	log       hclog.Logger
	// gossipNow holds one element while changes are waiting to be announced to peers.
	gossipNow chan struct{}
	// hasNewReports is whether peers have not been notified of the newest reports on targets.
	hasNewReports atomic.Bool

	mu  sync.Mutex
	vms map[string]radish.VMRecord
	// leavingIncarnations maps a VM to the incarnation that announced its shutdown.
	leavingIncarnations map[string]int64
	// storeUnreachable maps a VM to whether its last heartbeat reported the store as unreachable.
	storeUnreachable map[string]bool
	// lastStorePeerHeartbeat is the time of the last heartbeat of a peer that can reach the store.
	lastStorePeerHeartbeat time.Time
	// fetchStartedAt maps a kind of record to the start of its newest fetch that is still running.
	fetchStartedAt map[radish.RecordKind]time.Time
	// incumbents are the coordinators of the shards of the stage targets.
	incumbents radishfleet.Incumbents
	encoder    recordEncoder
}

// updateLinks reads the VM records and keeps links to all other VMs, or to the seeds while no other VM is known.
func (p *peerManager) updateLinks() {
	vms := make(map[string]radish.VMRecord)
	peerList := make([]radishpeer.Peer, 0)
	for _, r := range p.mirror.Records(radish.RecordVM) {
		var vm radish.VMRecord
		if err := json.Unmarshal(r.Value, &vm); err != nil || vm.Name != r.Name || vm.Address == "" {
			p.log.Warn("invalid VM record ignored", "peer", r.Name, "revision", r.Revision.String())
			continue
		}
		vms[vm.Name] = vm
		if vm.Name != p.self.Name {
			peerList = append(peerList, radishpeer.Peer{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre})
		}
	}
	if len(peerList) == 0 {
		for _, seed := range p.seeds() {
			if seed != p.self.Address {
				// The VM name of a seed is not known before its first response.
				peerList = append(peerList, radishpeer.Peer{Name: seed, Address: seed})
			}
		}
	}
	p.mu.Lock()
	p.vms = vms
	p.mu.Unlock()
	p.node.SetPeers(peerList)
}

// hasVMList reports whether the VM has received the complete list of VMs. Without it, the VM cannot compute its share
// of the limits on cold targets and retries.
func (p *peerManager) hasVMList() bool { return p.mirror.CompleteRevision(radish.RecordVM) > 0 }

// vmCount returns the number of entry VMs, including this one.
func (p *peerManager) vmCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.vms)
	if _, ok := p.vms[p.self.Name]; !ok {
		n++
	}
	return n
}

// listedVMCount returns the number of entry VMs, or 0 until the list of VMs is known.
func (p *peerManager) listedVMCount() int {
	if !p.hasVMList() {
		return 0
	}
	return p.vmCount()
}

// vmNames returns the names of all entry VMs, including this one.
func (p *peerManager) vmNames() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{p.self.Name}
	for name := range p.vms {
		if name != p.self.Name {
			names = append(names, name)
		}
	}
	return names
}

// availableVMs returns the VMs that can be sent work: the peers that can be called and are not shutting down, and this
// VM. This VM is left out while it shuts down, unless no other one is available.
func (p *peerManager) availableVMs() []string {
	callable := p.node.Reachable()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, name := range callable {
		vm, ok := p.vms[name]
		if ok && p.leavingIncarnations[name] != vm.Incarnation {
			names = append(names, name)
		}
	}
	if !p.isLeaving() || len(names) == 0 {
		names = append(names, p.self.Name)
	}
	return names
}

// recordKinds returns the kinds of records that this VM follows.
func (p *peerManager) recordKinds() []radish.RecordKind {
	if p.rollouts == nil {
		return radish.RecordKinds
	}
	return append(slices.Clip(radish.RecordKinds), radish.RecordRollout)
}

// hasAvailablePeers reports whether another VM can be sent work.
func (p *peerManager) hasAvailablePeers() bool {
	names := p.availableVMs()
	return len(names) > 0 && names[0] != p.self.Name
}

// handleHeartbeat records the state that a peer reports about itself.
func (p *peerManager) handleHeartbeat(h *radishpeerpb.SiteHeartbeat) {
	p.recordPeerState(h)
	p.mergeCoordinators(h.GetCoordinators())
	p.mergeCrashes(h.GetCrashes(), h.GetVm())
	p.mergeLeaving(h.GetLeavingTargets(), h.GetVm())
	p.mergeCold(h.GetColdTargets(), h.GetVm())
	p.mergePaces(h)
	if p.rollouts != nil {
		p.rollouts.mergeHistories(h.GetRolloutHistories(), h.GetVm())
		p.rollouts.mergeEvidence(h.GetRollouts(), time.Now())
	}
}

// recordPeerState records whether the peer reaches the store and whether it is leaving.
func (p *peerManager) recordPeerState(h *radishpeerpb.SiteHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeUnreachable == nil {
		p.storeUnreachable = make(map[string]bool)
	}
	p.storeUnreachable[h.GetVm()] = h.GetStoreAway()
	if !h.GetStoreAway() {
		p.lastStorePeerHeartbeat = time.Now()
	}
	if !h.GetLeaving() {
		return
	}
	if p.leavingIncarnations == nil {
		p.leavingIncarnations = make(map[string]int64)
	}
	if p.leavingIncarnations[h.GetVm()] != h.GetIncarnation() {
		p.leavingIncarnations[h.GetVm()] = h.GetIncarnation()
		p.log.Info("peer leaves", "peer", h.GetVm())
	}
}

// announceLeaving notifies all peers that this VM is shutting down, so that they stop sending it work.
func (p *peerManager) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range p.node.Linked() {
		wg.Go(func() {
			if _, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: p.heartbeat()}}); err != nil {
				p.log.Info("cannot announce shutdown to peer", "peer", name, "error", err.Error())
			}
		})
	}
	wg.Wait()
}

// servePlan executes a plan for a peer. A VM that starts and does not know the orders yet leaves it to another one.
func (p *peerManager) servePlan(ctx context.Context, plan *radishpeerpb.PlanRequest) *radishpeerpb.PlanReply {
	if p.rollouts != nil && !p.state.hasOrders(time.Now()) {
		return &radishpeerpb.PlanReply{Moved: true, Refusal: "this VM does not know the orders yet"}
	}
	return p.router.Serve(ctx, plan)
}

// Handle implements radishpeer.Handler.
func (p *peerManager) Handle(ctx context.Context, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	switch body := req.GetBody().(type) {
	case *radishpeerpb.Request_Site:
		p.handleHeartbeat(body.Site)
		go p.fetchNewer(body.Site.GetVm(), body.Site)
		return &radishpeerpb.Response{Body: &radishpeerpb.Response_Site{Site: p.heartbeatTo(body.Site)}}, nil
	case *radishpeerpb.Request_Records:
		return p.handleRecordsRequest(body.Records), nil
	case *radishpeerpb.Request_Plan:
		return &radishpeerpb.Response{Body: &radishpeerpb.Response_Plan{Plan: p.servePlan(ctx, body.Plan)}}, nil
	case *radishpeerpb.Request_Free:
		p.router.ServeFree(body.Free)
		return &radishpeerpb.Response{}, nil
	default:
		return nil, radish.ErrBadRequest
	}
}
