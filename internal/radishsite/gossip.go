package radishsite

import (
	"context"
	"math/rand/v2"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishmirror"
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
)

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
		linked := p.node.Linked()
		if len(linked) == 0 {
			continue
		}
		p.exchange(ctx, linked[rand.IntN(len(linked))])
	}
	return ctx.Err()
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

// fetch takes the peer's newer records, or all when these do not make the VM know what the peer knows.
func (p *peers) fetch(name string, kind radish.RecordKind) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	changes, err := p.fetchSince(ctx, name, kind, p.mirror.Complete(kind))
	if err != nil {
		p.log.Warn("peer gave no records", "peer", name, "kind", string(kind), "error", err.Error())
		return
	}
	news, agrees := p.mirror.ApplyPeer(kind, changes)
	p.takeNews(news, name)
	if agrees {
		return
	}
	p.log.Info("records differ from the peer's, fetching all", "peer", name, "kind", string(kind), "complete", changes.Complete)
	changes, err = p.fetchSince(ctx, name, kind, 0)
	if err != nil {
		p.log.Warn("peer gave no records", "peer", name, "kind", string(kind), "error", err.Error())
		return
	}
	p.takeNews(p.mirror.Replace(kind, changes.Records, changes.Complete), name)
}

func (p *peers) fetchSince(ctx context.Context, name string, kind radish.RecordKind, after int64) (radishmirror.Changes, error) {
	res, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Records{
		Records: &radishpeerpb.RecordsRequest{Kind: string(kind), After: after},
	}})
	if err != nil {
		return radishmirror.Changes{}, err
	}
	reply := res.GetRecords()
	changes := radishmirror.Changes{Complete: reply.GetComplete(), Digest: reply.GetDigest()}
	for _, m := range reply.GetRecords() {
		r, err := unpack(kind, m)
		if err != nil {
			return radishmirror.Changes{}, err
		}
		changes.Records = append(changes.Records, r)
	}
	return changes, nil
}

func (p *peers) takeNews(news []radish.Record, source string) {
	if len(news) == 0 {
		return
	}
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

func (p *peers) answerRecords(req *radishpeerpb.RecordsRequest) *radishpeerpb.Response {
	changes := p.mirror.Since(radish.RecordKind(req.GetKind()), req.GetAfter())
	reply := &radishpeerpb.RecordsReply{Complete: changes.Complete, Digest: changes.Digest}
	for _, r := range changes.Records {
		reply.Records = append(reply.Records, p.packer.message(r))
	}
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Records{Records: reply}}
}
