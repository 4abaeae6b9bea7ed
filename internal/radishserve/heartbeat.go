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

// urgentDelay is the delay before an extra heartbeat. Events that occur during the delay share that heartbeat.
const urgentDelay = 20 * time.Millisecond

// heartbeatSender sends heartbeats to the peers. Each one contains the target states that the peer has not yet
// acknowledged.
type heartbeatSender struct {
	server *Server
	// urgent triggers an extra heartbeat.
	urgent chan struct{}

	mu sync.Mutex
	// pending holds the target states to be sent, by peer and target.
	pending map[string]map[string]radishtarget.Observation
	// sending holds the peers that have not yet responded to the last heartbeat.
	sending map[string]bool
}

func newHeartbeatSender(s *Server) *heartbeatSender {
	return &heartbeatSender{
		server: s, urgent: make(chan struct{}, 1),
		pending: make(map[string]map[string]radishtarget.Observation), sending: make(map[string]bool),
	}
}

// triggerSend requests an extra heartbeat to all peers without waiting for the next interval.
func (h *heartbeatSender) triggerSend() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// queueState adds a target state to the next heartbeat to each linked peer.
func (h *heartbeatSender) queueState(observed radishtarget.Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, states := range h.pending {
		states[observed.Target] = observed
	}
}

// Run sends heartbeats at the configured interval and on request until ctx is cancelled.
func (h *heartbeatSender) Run(ctx context.Context) error {
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

func (h *heartbeatSender) sendAll(ctx context.Context) {
	linked := h.server.peerNode.Linked()
	h.discardUnlinked(linked)
	for _, peer := range linked {
		if h.startSend(peer) {
			go h.send(ctx, peer)
		}
	}
}

// discardUnlinked discards the pending states of peers without a link. All states are sent when a link is established.
func (h *heartbeatSender) discardUnlinked(linked []string) {
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

// startSend marks the start of a heartbeat to the peer and reports whether it may be sent. It may not while the previous
// one is in progress, so a slow peer gets one heartbeat at a time.
func (h *heartbeatSender) startSend(peer string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.sending[peer] {
		return false
	}
	h.sending[peer] = true
	if h.pending[peer] == nil {
		h.pending[peer] = h.server.poller.states()
	}
	return true
}

func (h *heartbeatSender) send(ctx context.Context, peer string) {
	h.mu.Lock()
	states := h.pending[peer]
	h.pending[peer] = make(map[string]radishtarget.Observation)
	h.mu.Unlock()
	hb := h.server.newHeartbeat(states)
	ctx, cancel := context.WithTimeout(ctx, radishpeer.DefaultCallTimeout)
	defer cancel()
	_, err := h.server.peerNode.Call(ctx, peer, &radishpeerpb.Request{Body: &radishpeerpb.Request_Heartbeat{Heartbeat: hb}})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sending[peer] = false
	if err == nil {
		return
	}
	// Close the link to a peer that does not respond. Once the peer is linked again, all states are sent to it.
	delete(h.pending, peer)
	h.server.peerNode.CloseLink(peer)
}

// newHeartbeat returns a heartbeat of this VM that contains the given target states.
func (s *Server) newHeartbeat(states map[string]radishtarget.Observation) *radishpeerpb.Heartbeat {
	steward, term := s.currentSteward()
	hb := &radishpeerpb.Heartbeat{
		Vm: s.Settings.VM.Name, DataCentre: s.Settings.VM.DataCentre, ConfigGeneration: s.configHolder.Generation(),
		Leaving: s.roster.IsLeaving(), Steward: steward, StewardTerm: term, Drains: s.drains.List(),
	}
	for _, observed := range states {
		hb.News = append(hb.News, &radishpeerpb.TargetNews{
			Target: observed.Target, State: string(observed.State), InFlight: uint32(observed.InFlight),
			AgeMs: uint32(max(0, time.Since(observed.ObservedAt).Milliseconds())),
		})
	}
	return hb
}

// connectPeers sets the peers that this VM connects to: the entry VMs of its data centre whose names sort after its own,
// so that each pair of VMs has one link, and one entry VM of another data centre. While the roster contains no other
// entry VM, it connects to the configured seeds.
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
	s.peerNode.SetPeers(peers)
}
