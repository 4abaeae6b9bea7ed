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
	// gossipInterval is the average time between two exchanges of heartbeats with a random peer.
	gossipInterval = 500 * time.Millisecond
	// gossipTimeout limits one exchange of heartbeats.
	gossipTimeout = 700 * time.Millisecond
	// fetchDelay is how long a VM waits for the store to deliver changes that a peer already has, before it fetches
	// them from the peer.
	fetchDelay = 50 * time.Millisecond
	// fetchTimeout limits one fetch of records. fetchHedgeDelay is how long a fetch may take before the records are
	// requested from another peer as well: on slow links, several concurrent copies of a large configuration would
	// delay each other until none arrives.
	fetchTimeout    = 1500 * time.Millisecond
	fetchHedgeDelay = 300 * time.Millisecond
)

const (
	// gossipFanout is the number of random peers that are notified of a change at once; they notify others in turn.
	gossipFanout = 4
	// minGossipInterval is the shortest time between two rounds in which peers are notified of changes. In a large fleet, dozens of
	// targets' records change in a second, and a round for each would use more bandwidth than the records.
	minGossipInterval = 200 * time.Millisecond
)

// gossipToPeers exchanges heartbeats with a few random peers, so that they fetch this VM's newest records.
func (p *peerManager) gossipToPeers(ctx context.Context) {
	linked := p.node.Linked()
	rand.Shuffle(len(linked), func(i, j int) { linked[i], linked[j] = linked[j], linked[i] })
	h := p.heartbeat()
	if p.hasNewReports.Swap(false) {
		p.addReports(h)
	}
	for _, name := range linked[:min(len(linked), gossipFanout)] {
		go p.exchangeHeartbeats(ctx, name, h)
	}
}

// Run exchanges heartbeats with random peers until ctx ends.
func (p *peerManager) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastRound time.Time
	for ctx.Err() == nil {
		timer.Reset(gossipInterval/2 + rand.N(gossipInterval))
		select {
		case <-ctx.Done():
		case <-p.gossipNow:
			if !radish.Sleep(ctx, minGossipInterval-time.Since(lastRound)) {
				continue
			}
			lastRound = time.Now()
			p.gossipToPeers(ctx)
			continue
		case <-timer.C:
		}
		linked := p.node.Linked()
		if len(linked) == 0 {
			continue
		}
		h := p.heartbeat()
		if p.rollouts != nil {
			h.RolloutsDigest = p.rollouts.digest()
		}
		p.exchangeHeartbeats(ctx, linked[rand.IntN(len(linked))], h)
	}
	return ctx.Err()
}

func (p *peerManager) heartbeat() *radishpeerpb.SiteHeartbeat {
	h := &radishpeerpb.SiteHeartbeat{
		Vm: p.self.Name, DataCentre: p.self.DataCentre, PeerAddress: p.self.Address, Incarnation: p.self.Incarnation, Leaving: p.isLeaving(),
		Complete: make(map[string]int64), StoreAway: p.state.isStoreUnreachable(), CoordinatorsDigest: p.coordinatorsDigest(),
		CrashesDigest: p.quarantine.Digest(time.Now()), LeavingTargetsDigest: p.state.fleet.LeavingDigest(time.Now()),
		PacesDigest: p.state.fleet.PaceDigest(), ColdTargetsDigest: p.state.fleet.ColdDigest(time.Now()),
	}
	for _, kind := range p.recordKinds() {
		h.Complete[string(kind)] = int64(p.mirror.CompleteRevision(kind))
	}
	return h
}

// heartbeatTo returns this VM's heartbeat as the response to a peer's. It contains the coordinators and the reports on targets
// only if the peer knows others, since they rarely change.
func (p *peerManager) heartbeatTo(peer *radishpeerpb.SiteHeartbeat) *radishpeerpb.SiteHeartbeat {
	h := p.heartbeat()
	if h.GetCoordinatorsDigest() != peer.GetCoordinatorsDigest() {
		h.Coordinators = p.shardCoordinators()
	}
	if differInReports(h, peer) {
		p.addReports(h)
	}
	if p.rollouts != nil && peer.GetRolloutsDigest() != 0 && peer.GetRolloutsDigest() != p.rollouts.digest() {
		h.Rollouts, h.RolloutHistories = p.rollouts.encodeEvidence(false), p.rollouts.encodeHistories()
	}
	return h
}

// exchangeHeartbeats sends the heartbeat to a peer and fetches the records that are newer at the peer.
func (p *peerManager) exchangeHeartbeats(ctx context.Context, name string, h *radishpeerpb.SiteHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	res, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: h}})
	if err != nil {
		p.log.Warn("heartbeat exchange failed, closing the peer's link", "peer", name, "error", err.Error())
		p.node.CloseLink(name)
		return
	}
	p.handleHeartbeat(res.GetSite())
	if h.GetRolloutsDigest() != 0 {
		p.rollouts.recordAnswer()
	}
	if differInReports(p.heartbeat(), res.GetSite()) {
		p.sendReports(ctx, name)
	}
	p.fetchNewer(name, res.GetSite())
}

// fetchNewer fetches the kinds of records of which the peer has later revisions. name is the name of the peer's link,
// which for a seed is its address.
func (p *peerManager) fetchNewer(name string, h *radishpeerpb.SiteHeartbeat) {
	for kindName, revision := range h.GetComplete() {
		kind, complete := radish.RecordKind(kindName), radish.Revision(revision)
		startedAt := time.Now()
		if complete <= p.mirror.CompleteRevision(kind) || !p.beginFetch(kind, startedAt) {
			continue
		}
		// The store usually delivers the same changes a little later.
		time.Sleep(fetchDelay)
		if complete > p.mirror.CompleteRevision(kind) {
			p.fetchRecords(name, kind)
		}
		p.endFetch(kind, startedAt)
	}
}

// beginFetch reports whether a fetch of the kind may start now, and registers it. It may not start within
// fetchHedgeDelay of the start of another one that is still running.
func (p *peerManager) beginFetch(kind radish.RecordKind, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if startedAt, ok := p.fetchStartedAt[kind]; ok && now.Sub(startedAt) < fetchHedgeDelay {
		return false
	}
	if p.fetchStartedAt == nil {
		p.fetchStartedAt = make(map[radish.RecordKind]time.Time)
	}
	p.fetchStartedAt[kind] = now
	return true
}

func (p *peerManager) endFetch(kind radish.RecordKind, startedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetchStartedAt[kind].Equal(startedAt) {
		delete(p.fetchStartedAt, kind)
	}
}

// fetchRecords fetches the peer's changes since this VM's revision. If the records still differ from the peer's after
// that, it fetches all of them.
func (p *peerManager) fetchRecords(name string, kind radish.RecordKind) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	changes, err := p.fetchSince(ctx, name, kind, p.mirror.CompleteRevision(kind))
	if err != nil {
		p.log.Warn("cannot fetch records from peer", "peer", name, "kind", string(kind), "error", err.Error())
		return
	}
	changed, matches := p.mirror.ApplyPeerChanges(kind, changes)
	p.applyChanges(changed, name)
	if matches {
		return
	}
	p.log.Info("records differ from the peer's, fetching all", "peer", name, "kind", string(kind), "complete", changes.CompleteRevision.String())
	changes, err = p.fetchSince(ctx, name, kind, 0)
	if err != nil {
		p.log.Warn("cannot fetch records from peer", "peer", name, "kind", string(kind), "error", err.Error())
		return
	}
	p.applyChanges(p.mirror.Replace(kind, changes.Records, changes.CompleteRevision), name)
}

func (p *peerManager) fetchSince(ctx context.Context, name string, kind radish.RecordKind, after radish.Revision) (radishmirror.Changes, error) {
	res, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Records{
		Records: &radishpeerpb.RecordsRequest{Kind: string(kind), After: int64(after)},
	}})
	if err != nil {
		return radishmirror.Changes{}, err
	}
	reply := res.GetRecords()
	changes := radishmirror.Changes{CompleteRevision: radish.Revision(reply.GetComplete()), Digest: reply.GetDigest()}
	for _, m := range reply.GetRecords() {
		r, err := decodeRecord(kind, m)
		if err != nil {
			return radishmirror.Changes{}, err
		}
		changes.Records = append(changes.Records, r)
	}
	return changes, nil
}

func (p *peerManager) applyChanges(changed []radish.Record, source string) {
	if len(changed) == 0 {
		return
	}
	switch changed[0].Kind {
	case radish.RecordVM:
		p.updateLinks()
	case radish.RecordCrashEvidence:
		p.mergeCrashRecord()
	}
	p.state.apply(changed, source)
	p.scheduleGossip()
}

// scheduleGossip makes Run notify peers of new changes.
func (p *peerManager) scheduleGossip() {
	select {
	case p.gossipNow <- struct{}{}:
	default:
	}
}

func (p *peerManager) handleRecordsRequest(req *radishpeerpb.RecordsRequest) *radishpeerpb.Response {
	changes := p.mirror.ChangesSince(radish.RecordKind(req.GetKind()), radish.Revision(req.GetAfter()))
	reply := &radishpeerpb.RecordsReply{Complete: int64(changes.CompleteRevision), Digest: changes.Digest}
	for _, r := range changes.Records {
		reply.Records = append(reply.Records, p.encoder.encode(r))
	}
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Records{Records: reply}}
}
