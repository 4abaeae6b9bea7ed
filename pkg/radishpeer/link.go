package radishpeer

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// relinkGrace is how long a peer counts as reachable after its connection was reset. It is redialled at once, and
	// calls wait for the new link. Without this, every VM would see only itself as available after many connections
	// were reset at the same time.
	relinkGrace = 600 * time.Millisecond
	// firstLinkGrace is how long a peer that is new in the list counts as reachable before the first link to it. Without
	// this, each of several VMs that start together would see only the peers that it happened to connect to first.
	firstLinkGrace = 1500 * time.Millisecond
)

// pendingLink is a link that is expected to open soon. Until then its peer counts as reachable.
type pendingLink struct {
	until time.Time
	// isNew means that there was no link to the peer before. The peer may still be starting, so a failed dial does not
	// show that it is unreachable.
	isNew bool
}

// link is an open session with a peer.
type link struct {
	session *yamux.Session
}

// addLink registers the session as the link to the named peer. A peer that was dialled by its address alone has the
// address as its name until its first call arrives.
func (n *Node) addLink(name string, session *yamux.Session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.links == nil || name == "" {
		return
	}
	for other, l := range n.links {
		if l.session == session && other != name {
			delete(n.links, other)
		}
	}
	if l := n.links[name]; l == nil || l.session != session {
		n.Log.Info("peer linked", "peer", name)
	}
	n.links[name] = &link{session: session}
	n.clearPending(name)
}

// hasLink reports whether the session is the link to the named peer or the peer has another open link.
func (n *Node) hasLink(name string, session *yamux.Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[name]
	return l != nil && (l.session == session || !l.session.IsClosed())
}

// removeLink removes the session. After a reset, a peer that this VM redials counts as reachable for relinkGrace.
func (n *Node) removeLink(session *yamux.Session, isReset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.links {
		if l.session != session {
			continue
		}
		delete(n.links, name)
		n.Log.Warn("peer lost", "peer", name, "is_reset", isReset)
		if isReset && n.isListed(name) {
			n.pending[name] = pendingLink{until: time.Now().Add(relinkGrace)}
		}
	}
}

// isListed reports whether the peer is one of those set by SetPeers, which this VM redials. The caller holds mu.
func (n *Node) isListed(name string) bool {
	for _, p := range n.peers {
		if p.Name == name {
			return true
		}
	}
	return false
}

// expectFirstLink makes a peer that is new in the list count as reachable for firstLinkGrace. The caller holds mu.
func (n *Node) expectFirstLink(name string) {
	if n.links[name] == nil {
		n.pending[name] = pendingLink{until: time.Now().Add(firstLinkGrace), isNew: true}
	}
}

// clearPending ends the wait for a link to the peer and notifies all waiting calls, which then check again. The caller
// holds mu.
func (n *Node) clearPending(name string) {
	delete(n.pending, name)
	close(n.pendingChanged)
	n.pendingChanged = make(chan struct{})
}

// handleDialError ends the wait for a link to a peer that could not be dialled, unless the peer is new.
func (n *Node) handleDialError(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.pending[name]; ok && !p.isNew {
		n.clearPending(name)
	}
}

// Linked returns the names of the peers to which there is a link, in no particular order.
func (n *Node) Linked() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.links))
}

// Reachable returns the names of the peers that can be called: those with a link, and those whose link is expected to open
// soon. Calls to the latter wait for the link.
func (n *Node) Reachable() []string {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	names := slices.Collect(maps.Keys(n.links))
	for name, p := range n.pending {
		if now.Before(p.until) && n.links[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

// awaitSession returns the session with the peer. It waits while a link is expected to open soon, and returns
// radish.ErrUnavailable if there is none.
func (n *Node) awaitSession(ctx context.Context, name string) (*yamux.Session, error) {
	for {
		n.mu.Lock()
		l, changed, wait := n.links[name], n.pendingChanged, time.Until(n.pending[name].until)
		n.mu.Unlock()
		if l != nil {
			return l.session, nil
		}
		if wait <= 0 {
			return nil, trace.Wrap(radish.ErrUnavailable, "no link to %s", name)
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, trace.Wrap(radish.ErrUnavailable, "no link to %s: %v", name, ctx.Err())
		}
		timer.Stop()
	}
}

// isRelinking reports whether the session broke but the peer still counts as reachable.
func (n *Node) isRelinking(name string, session *yamux.Session) bool {
	if !session.IsClosed() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name] != nil || time.Now().Before(n.pending[name].until)
}

// CloseLink closes the session with the peer, for example because the peer no longer sends heartbeats.
func (n *Node) CloseLink(name string) {
	n.mu.Lock()
	l := n.links[name]
	delete(n.links, name)
	if _, ok := n.pending[name]; ok {
		n.clearPending(name)
	}
	n.mu.Unlock()
	if l != nil {
		n.Log.Warn("peer lost", "peer", name, "is_reset", false)
		_ = l.session.Close()
	}
}

// isConnReset reports whether a connection with this read error was closed or reset by the peer or the network, and not
// closed by this VM because the peer did not respond.
func isConnReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
