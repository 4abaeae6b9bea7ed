package radishsite

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

const (
	// gossipInterval is the time between two exchanges of what is known with a random peer.
	gossipInterval = 500 * time.Millisecond
	// gossipTimeout bounds one exchange.
	gossipTimeout = 700 * time.Millisecond
	// fetchDelay is the time that the store has to tell a VM what a peer knows already.
	fetchDelay = 50 * time.Millisecond
	// fetchTimeout bounds the fetch of records, and fetchPatience is how long one may take before another peer is asked too. Over
	// thin links several copies of a large configuration at once would keep each other from arriving.
	fetchTimeout  = 1500 * time.Millisecond
	fetchPatience = 300 * time.Millisecond
	// leaveTimeout bounds the telling of peers that the VM leaves.
	leaveTimeout = 500 * time.Millisecond
)

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
	linked  map[string]bool
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

// mostCores returns how much of a processor the largest entry VM has, this one included.
func (p *peers) mostCores() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.self.Cores
	for _, vm := range p.known {
		most = max(most, vm.Cores)
	}
	return most
}

// reachable returns the VMs that can be given work: the linked ones that do not leave, and this one unless it leaves.
func (p *peers) reachable() []string {
	linked := p.node.Linked()
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for _, name := range linked {
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

// ownersKept is how many VMs are named as owners of a key, so that one is left when a data centre is cut off.
const ownersKept = 10

// owners returns the VMs in reach that coordinate the shard, the first choice first.
func (p *peers) owners(shard, shards int) []string {
	names := p.reachable()
	cores := make(map[string]float64, len(names))
	p.mu.Lock()
	for _, name := range names {
		cores[name] = p.known[name].Cores
		if name == p.self.Name {
			cores[name] = p.self.Cores
		}
	}
	p.mu.Unlock()
	return radishfleet.Coordinators(cores, fmt.Sprintf("stages/%d/%d", shard, shards), ownersKept)
}

const (
	// followers is how many VMs ask the store for changes of a kind.
	followers = 8
	// hearTime is how long a VM that hears of no peer counts on them to tell it of changes.
	hearTime = 900 * time.Millisecond
)

// isFollower tells whether this VM asks the store itself for changes: it is one of the VMs chosen for that, or has not
// heard of any peer that the store answers of late.
func (p *peers) isFollower(kind radish.RecordKind) bool {
	p.mu.Lock()
	isAlone := time.Since(p.heardAt) > hearTime
	p.mu.Unlock()
	return isAlone || p.isChosen("follow/"+string(kind), followers)
}

// checkers is how many VMs read each kind of record again at an interval.
const checkers = 2

// isChecker tells whether this VM is one of those that read the kind again, which the store must answer.
func (p *peers) isChecker(kind radish.RecordKind) bool {
	return p.isChosen("check/"+string(kind), checkers)
}

// isChosen tells whether this VM is one of n in reach that the key chooses among those that the store answers.
func (p *peers) isChosen(key string, n int) bool {
	names := p.reachable()
	p.mu.Lock()
	names = slices.DeleteFunc(names, func(name string) bool { return name != p.self.Name && p.storeAway[name] })
	p.mu.Unlock()
	return slices.Contains(radish.RendezvousOwners(names, key, n), p.self.Name)
}

// pushPeers is how many random peers are told at once of news; they tell others in turn.
const pushPeers = 4

// push tells a few random peers what this VM knows now.
func (p *peers) push(ctx context.Context) {
	linked := p.node.Linked()
	rand.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	for _, name := range linked[:min(len(linked), pushPeers)] {
		go p.exchange(ctx, name)
	}
}

// Run exchanges what is known with random peers until ctx ends.
func (p *peers) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(gossipInterval/2 + rand.N(gossipInterval))
		select {
		case <-ctx.Done():
		case <-p.news:
			p.push(ctx)
			continue
		case <-timer.C:
		}
		p.logLinks()
		linked := p.node.Linked()
		if len(linked) == 0 {
			continue
		}
		p.exchange(ctx, linked[rand.IntN(len(linked))])
	}
	return ctx.Err()
}

func (p *peers) logLinks() {
	now := make(map[string]bool)
	for _, name := range p.node.Linked() {
		now[name] = true
	}
	for name := range now {
		if !p.linked[name] {
			p.log.Info("peer linked", "peer", name)
		}
	}
	for name := range p.linked {
		if !now[name] {
			p.log.Warn("peer lost", "peer", name)
		}
	}
	p.linked = now
}

func (p *peers) heartbeat() *radishpeerpb.SiteHeartbeat {
	h := &radishpeerpb.SiteHeartbeat{
		Vm: p.self.Name, DataCentre: p.self.DataCentre, PeerAddress: p.self.Address, Incarnation: p.self.Incarnation, Leaving: p.isClosed(),
		Complete: make(map[string]int64), StoreAway: p.beliefs.isStoreAway(),
	}
	for _, kind := range radish.RecordKinds {
		h.Complete[string(kind)] = p.mirror.Complete(kind)
	}
	return h
}

// exchange tells a peer what this VM knows and fetches what the peer knows beyond that.
func (p *peers) exchange(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	res, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: p.heartbeat()}})
	if err != nil {
		p.log.Warn("peer did not answer", "peer", name, "error", err.Error())
		p.node.CloseLink(name)
		return
	}
	p.hear(res.GetSite())
	p.fetchNewer(name, res.GetSite())
}

// fetchNewer fetches what the peer knows beyond what this VM knows; a seed's link bears its address for a name.
func (p *peers) fetchNewer(name string, h *radishpeerpb.SiteHeartbeat) {
	for kind, complete := range h.GetComplete() {
		kind := radish.RecordKind(kind)
		began := time.Now()
		if complete <= p.mirror.Complete(kind) || !p.beginFetch(kind, began) {
			continue
		}
		// The store tells this VM as well, most often a little later.
		time.Sleep(fetchDelay)
		if complete > p.mirror.Complete(kind) {
			p.fetch(name, kind)
		}
		p.endFetch(kind, began)
	}
}

// beginFetch tells whether records of the kind may be fetched now, which they are not while another fetch has just begun.
func (p *peers) beginFetch(kind radish.RecordKind, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if began, ok := p.fetching[kind]; ok && now.Sub(began) < fetchPatience {
		return false
	}
	if p.fetching == nil {
		p.fetching = make(map[radish.RecordKind]time.Time)
	}
	p.fetching[kind] = now
	return true
}

func (p *peers) endFetch(kind radish.RecordKind, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching[kind].Equal(began) {
		delete(p.fetching, kind)
	}
}

func (p *peers) fetch(name string, kind radish.RecordKind) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	after := p.mirror.Complete(kind)
	res, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Records{
		Records: &radishpeerpb.RecordsRequest{Kind: string(kind), After: after},
	}})
	if err != nil {
		p.log.Warn("peer gave no records", "peer", name, "kind", string(kind), "error", err.Error())
		return
	}
	var records []radish.Record
	for _, m := range res.GetRecords().GetRecords() {
		r, err := unpack(kind, m)
		if err != nil {
			p.log.Warn("peer's records not taken", "peer", name, "kind", string(kind), "error", err.Error())
			return
		}
		records = append(records, r)
	}
	if news := p.mirror.ApplyUpTo(kind, records, res.GetRecords().GetComplete()); len(news) > 0 {
		p.takeNews(news, name)
	}
}

func (p *peers) takeNews(news []radish.Record, source string) {
	if news[0].Kind == radish.RecordVM {
		p.update()
	}
	p.beliefs.take(news, source)
	p.tellSoon()
}

// tellSoon has peers told of news.
func (p *peers) tellSoon() {
	select {
	case p.news <- struct{}{}:
	default:
	}
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

func (p *peers) answerRecords(req *radishpeerpb.RecordsRequest) *radishpeerpb.Response {
	records, complete := p.mirror.Since(radish.RecordKind(req.GetKind()), req.GetAfter())
	reply := &radishpeerpb.RecordsReply{Complete: complete}
	for _, r := range records {
		reply.Records = append(reply.Records, p.packer.message(r))
	}
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Records{Records: reply}}
}
