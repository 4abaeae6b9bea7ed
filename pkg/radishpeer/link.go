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
	// relinkTime is how long a peer whose connection was reset still counts as in reach: it is dialled anew at once, and
	// calls wait for that. One reset of many connections would otherwise have every VM count on itself alone.
	relinkTime = 600 * time.Millisecond
	// joinTime is how long a peer that is new in the list counts as in reach before the first link to it: VMs that start
	// together would otherwise each count on those that they have reached first.
	joinTime = 1500 * time.Millisecond
)

// awaited is a peer without a link that counts as in reach for a while.
type awaited struct {
	until time.Time
	// isNew tells that there was no link yet: the peer may be about to start, so that a refused dial says little.
	isNew bool
}

// link is an open session with a peer.
type link struct {
	session *yamux.Session
}

// addLink names the session; a peer that was dialled by its address alone gets its name with its first call.
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
	n.stopWaiting(name)
}

// hasLink tells whether the session is known by the name.
func (n *Node) hasLink(name string, session *yamux.Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[name]
	return l != nil && (l.session == session || !l.session.IsClosed())
}

// dropLink forgets the session; a peer that is dialled anew after a reset counts as in reach a while longer.
func (n *Node) dropLink(session *yamux.Session, isReset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.links {
		if l.session != session {
			continue
		}
		delete(n.links, name)
		n.Log.Warn("peer lost", "peer", name, "is_reset", isReset)
		if isReset && n.isDialled(name) {
			n.awaited[name] = awaited{until: time.Now().Add(relinkTime)}
		}
	}
}

// isDialled tells whether the node keeps a link to the peer itself.
func (n *Node) isDialled(name string) bool {
	for _, p := range n.peers {
		if p.Name == name {
			return true
		}
	}
	return false
}

// await counts a peer that is new in the list as in reach for a while; the caller holds mu.
func (n *Node) await(name string) {
	if n.links[name] == nil {
		n.awaited[name] = awaited{until: time.Now().Add(joinTime), isNew: true}
	}
}

// stopWaiting has nobody wait any longer for a link to the peer; the caller holds mu.
func (n *Node) stopWaiting(name string) {
	delete(n.awaited, name)
	close(n.changed)
	n.changed = make(chan struct{})
}

// noteRefusal notes that a peer cannot be dialled.
func (n *Node) noteRefusal(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if a, ok := n.awaited[name]; ok && !a.isNew {
		n.stopWaiting(name)
	}
}

// Linked returns the names of the peers to which there is a link.
func (n *Node) Linked() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Collect(maps.Keys(n.links))
}

// InReach returns the names of the peers that can be called: those with a link, and those that are being dialled and are
// likely there, for which calls wait.
func (n *Node) InReach() []string {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	names := slices.Collect(maps.Keys(n.links))
	for name, a := range n.awaited {
		if now.Before(a.until) && n.links[name] == nil {
			names = append(names, name)
		}
	}
	return names
}

// session returns the link to the peer, and waits for one that is awaited; radish.ErrUnavailable when there is none.
func (n *Node) session(ctx context.Context, name string) (*yamux.Session, error) {
	for {
		n.mu.Lock()
		l, changed, wait := n.links[name], n.changed, time.Until(n.awaited[name].until)
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

// isRelinked tells whether the session broke, but the peer still counts as in reach.
func (n *Node) isRelinked(name string, session *yamux.Session) bool {
	if !session.IsClosed() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name] != nil || time.Now().Before(n.awaited[name].until)
}

// CloseLink ends the session with the peer, as when its heartbeats have stopped.
func (n *Node) CloseLink(name string) {
	n.mu.Lock()
	l := n.links[name]
	delete(n.links, name)
	if _, ok := n.awaited[name]; ok {
		n.stopWaiting(name)
	}
	n.mu.Unlock()
	if l != nil {
		n.Log.Warn("peer lost", "peer", name, "is_reset", false)
		_ = l.session.Close()
	}
}

// isReset tells whether a connection ended because the peer or the network ended it, and not for silence.
func isReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
