package radishserve

import (
	"context"
	"sync"
	"time"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// urgentDelay collects what happens at the same time into one extra heartbeat.
const urgentDelay = 20 * time.Millisecond

// heartbeats sends this VM's heartbeat to its peers, each with the news that the peer has not acknowledged.
type heartbeats struct {
	server *Server
	urgent chan struct{}

	mu      sync.Mutex
	pending map[string]map[string]radishtarget.News
	busy    map[string]bool
}

func newHeartbeats(s *Server) *heartbeats {
	return &heartbeats{
		server: s, urgent: make(chan struct{}, 1),
		pending: make(map[string]map[string]radishtarget.News), busy: make(map[string]bool),
	}
}

// sendSoon sends an extra heartbeat, as when something must be known at once.
func (h *heartbeats) sendSoon() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// addNews queues news for every peer that is linked now.
func (h *heartbeats) addNews(n radishtarget.News) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, news := range h.pending {
		news[n.Target] = n
	}
}

// Run sends heartbeats until ctx ends.
func (h *heartbeats) Run(ctx context.Context) error {
	ticker := time.NewTicker(h.server.Settings.Peer.HeartbeatInterval)
	defer ticker.Stop()
	for {
		h.sendAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-h.urgent:
			time.Sleep(urgentDelay)
		}
	}
}

func (h *heartbeats) sendAll(ctx context.Context) {
	linked := h.server.node.Linked()
	h.forgetUnlinked(linked)
	for _, peer := range linked {
		if h.begin(peer) {
			go h.send(ctx, peer)
		}
	}
}

// forgetUnlinked drops what is pending for peers without a link: a new link starts with everything.
func (h *heartbeats) forgetUnlinked(linked []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isLinked := make(map[string]bool, len(linked))
	for _, peer := range linked {
		isLinked[peer] = true
	}
	for peer := range h.pending {
		if !isLinked[peer] {
			delete(h.pending, peer)
		}
	}
}

// begin marks the peer as being sent to; one that is slow to answer gets one heartbeat at a time.
func (h *heartbeats) begin(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy[peer] {
		return false
	}
	h.busy[peer] = true
	if h.pending[peer] == nil {
		h.pending[peer] = h.server.poller.own()
	}
	return true
}

func (h *heartbeats) send(ctx context.Context, peer string) {
	h.mu.Lock()
	news := h.pending[peer]
	h.pending[peer] = make(map[string]radishtarget.News)
	h.mu.Unlock()
	hb := h.server.heartbeat(news)
	ctx, cancel := context.WithTimeout(ctx, radishpeer.DefaultCallTimeout)
	defer cancel()
	_, err := h.server.node.Call(ctx, peer, &radishpeerpb.Request{Body: &radishpeerpb.Request_Heartbeat{Heartbeat: hb}})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.busy[peer] = false
	if err == nil {
		return
	}
	// A peer that does not answer is dialled anew and then told everything.
	delete(h.pending, peer)
	h.server.node.CloseLink(peer)
}

// heartbeat returns this VM's heartbeat with the news.
func (s *Server) heartbeat(news map[string]radishtarget.News) *radishpeerpb.Heartbeat {
	steward, term := s.stewardHeld()
	hb := &radishpeerpb.Heartbeat{
		Vm: s.Settings.VM.Name, DataCentre: s.Settings.VM.DataCentre, ConfigGeneration: s.holder.Generation(),
		Leaving: s.roster.IsLeaving(), Steward: steward, StewardTerm: term, Drains: s.drains.List(),
	}
	for _, n := range news {
		hb.News = append(hb.News, &radishpeerpb.TargetNews{
			Target: n.Target, State: string(n.State), InFlight: uint32(n.InFlight),
			AgeMs: uint32(max(0, time.Since(n.Seen).Milliseconds())),
		})
	}
	return hb
}

// connectPeers links to the data centre's VMs with a higher name, which pairs each two once, and to one VM of
// another data centre.
func (s *Server) connectPeers() {
	self := s.Settings.VM
	var peers []radishpeer.Peer
	var remote []string
	byName := make(map[string]radish.VM)
	for _, vm := range s.roster.EntryVMs() {
		byName[vm.Name] = vm
		switch {
		case vm.DataCentre != self.DataCentre:
			remote = append(remote, vm.Name)
		case vm.Name > self.Name:
			peers = append(peers, radishpeer.Peer{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre})
		}
	}
	for _, name := range radish.RendezvousOwners(remote, self.Name, 1) {
		vm := byName[name]
		peers = append(peers, radishpeer.Peer{Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre})
	}
	if len(byName) == 0 {
		for _, seed := range s.Settings.Peer.Seeds {
			peers = append(peers, radishpeer.Peer{Name: seed, Address: seed})
		}
	}
	s.node.SetPeers(peers)
}
