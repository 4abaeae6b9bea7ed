package radishsite

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// leaveTimeout bounds the telling of peers that the VM leaves.
const leaveTimeout = 500 * time.Millisecond

// peers is what the VM knows of the other entry VMs.
type peers struct {
	self    radish.VMRecord
	node    *radishpeer.Node
	mirror  *radishmirror.Mirror
	beliefs *beliefs
	router  *radishstage.Router
	// seeds returns addresses of other VMs' peer ports, some of which may be stale.
	seeds    func() []string
	isClosed func() bool
	log      hclog.Logger
	// news has one entry while peers must be told of something.
	news chan struct{}

	mu    sync.Mutex
	known map[string]radish.VMRecord
	// leaving holds, by VM, the incarnation that said that it leaves.
	leaving map[string]int64
	// storeAway holds the VMs that the store does not answer, as they said last.
	storeAway map[string]bool
	// heardAt is when a peer that the store answers was heard last.
	heardAt time.Time
	// fetching holds, by kind, when the newest fetch of records began that is under way.
	fetching map[radish.RecordKind]time.Time
	packer   packer
}

// update takes the VMs' records and keeps links to all of them, and to the seeds while no other VM is known.
func (p *peers) update() {
	known := make(map[string]radish.VMRecord)
	list := make([]radishpeer.Peer, 0)
	for _, r := range p.mirror.Records(radish.RecordVM) {
		var vm radish.VMRecord
		if err := json.Unmarshal(r.Value, &vm); err != nil || vm.Name != r.Name || vm.Address == "" {
			p.log.Warn("VM's record ignored", "peer", r.Name, "revision", r.Revision)
			continue
		}
		known[vm.Name] = vm
		if vm.Name != p.self.Name {
			list = append(list, radishpeer.Peer{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre})
		}
	}
	if len(list) == 0 {
		for _, seed := range p.seeds() {
			if seed != p.self.Address {
				// A seed's name is learned from its first answer.
				list = append(list, radishpeer.Peer{Name: seed, Address: seed})
			}
		}
	}
	p.mu.Lock()
	p.known = known
	p.mu.Unlock()
	p.node.SetPeers(list)
}

// isListed tells whether the VM has seen the list of all VMs, with which it shares the bounds on cold targets and repeats.
func (p *peers) isListed() bool { return p.mirror.Complete(radish.RecordVM) > 0 }

// count returns how many entry VMs there are, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.known)
	if _, ok := p.known[p.self.Name]; !ok {
		n++
	}
	return n
}

// names returns the names of all entry VMs, this one included.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := []string{p.self.Name}
	for name := range p.known {
		if name != p.self.Name {
			names = append(names, name)
		}
	}
	return names
}

// reachable returns the VMs that can be given work: those in reach that do not leave, and this one unless it leaves.
func (p *peers) reachable() []string {
	inReach := p.node.InReach()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, name := range inReach {
		vm, ok := p.known[name]
		if ok && p.leaving[name] != vm.Incarnation {
			names = append(names, name)
		}
	}
	if !p.isClosed() || len(names) == 0 {
		names = append(names, p.self.Name)
	}
	return names
}

// hasOthers tells whether another VM can be given work.
func (p *peers) hasOthers() bool {
	names := p.reachable()
	return len(names) > 0 && names[0] != p.self.Name
}

// hear takes in what a peer says of itself.
func (p *peers) hear(h *radishpeerpb.SiteHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.storeAway == nil {
		p.storeAway = make(map[string]bool)
	}
	p.storeAway[h.GetVm()] = h.GetStoreAway()
	if !h.GetStoreAway() {
		p.heardAt = time.Now()
	}
	if !h.GetLeaving() {
		return
	}
	if p.leaving == nil {
		p.leaving = make(map[string]int64)
	}
	if p.leaving[h.GetVm()] != h.GetIncarnation() {
		p.leaving[h.GetVm()] = h.GetIncarnation()
		p.log.Info("peer leaves", "peer", h.GetVm())
	}
}

// tellLeaving tells all peers that this VM leaves, so that they stop giving it work.
func (p *peers) tellLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, name := range p.node.Linked() {
		wg.Go(func() {
			if _, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: p.heartbeat()}}); err != nil {
				p.log.Info("peer not told of leaving", "peer", name, "error", err.Error())
			}
		})
	}
	wg.Wait()
}

// Handle implements radishpeer.Handler.
func (p *peers) Handle(ctx context.Context, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	switch body := req.GetBody().(type) {
	case *radishpeerpb.Request_Site:
		p.hear(body.Site)
		go p.fetchNewer(body.Site.GetVm(), body.Site)
		return &radishpeerpb.Response{Body: &radishpeerpb.Response_Site{Site: p.heartbeat()}}, nil
	case *radishpeerpb.Request_Records:
		return p.answerRecords(body.Records), nil
	case *radishpeerpb.Request_Plan:
		return &radishpeerpb.Response{Body: &radishpeerpb.Response_Plan{Plan: p.router.Serve(ctx, body.Plan)}}, nil
	case *radishpeerpb.Request_Free:
		p.router.Local(int(body.Free.GetShard()), int(body.Free.GetShards())).Free(body.Free.GetHandles())
		return &radishpeerpb.Response{}, nil
	default:
		return nil, radish.ErrBadRequest
	}
}
