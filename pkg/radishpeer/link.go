package radishpeer

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"radishramp.example/radishramp/pkg/radish"
)

// relinkTime is how long a peer whose connection was reset still counts as linked: it is dialled anew at once, and calls
// wait for that. One reset of many connections would otherwise have every VM count on itself alone.
const relinkTime = 600 * time.Millisecond

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
	n.links[name] = &link{session: session}
	n.forgetReset(name)
}

// hasLink tells whether the session is known by the name.
func (n *Node) hasLink(name string, session *yamux.Session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[name]
	return l != nil && (l.session == session || !l.session.IsClosed())
}

// dropLink forgets the session; a peer that is dialled anew after a reset counts as linked a while longer.
func (n *Node) dropLink(session *yamux.Session, isReset bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, l := range n.links {
		if l.session != session {
			continue
		}
		delete(n.links, name)
		if isReset && n.isDialled(name) {
			n.reset[name] = time.Now().Add(relinkTime)
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

// forgetReset has nobody wait any longer for a link to the peer; the caller holds mu.
func (n *Node) forgetReset(name string) {
	delete(n.reset, name)
	close(n.changed)
	n.changed = make(chan struct{})
}

// giveUpReset notes that a peer whose connection was reset cannot be dialled.
func (n *Node) giveUpReset(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, ok := n.reset[name]; ok {
		n.forgetReset(name)
	}
}

// Linked returns the names of the peers that can be called now, those included that are dialled anew after a reset.
func (n *Node) Linked() []string {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	names := make([]string, 0, len(n.links))
	for name := range n.links {
		names = append(names, name)
	}
	for name, until := range n.reset {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	return names
}

// session returns the link to the peer, and waits for it after a reset; ErrUnavailable when there is none.
func (n *Node) session(ctx context.Context, name string) (*yamux.Session, error) {
	for {
		n.mu.Lock()
		l, changed, wait := n.links[name], n.changed, time.Until(n.reset[name])
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

// isRelinked tells whether the session broke, but the peer still counts as linked.
func (n *Node) isRelinked(name string, session *yamux.Session) bool {
	if !session.IsClosed() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[name] != nil || time.Now().Before(n.reset[name])
}

// CloseLink ends the session with the peer, as when its heartbeats have stopped.
func (n *Node) CloseLink(name string) {
	n.mu.Lock()
	l := n.links[name]
	delete(n.links, name)
	n.mu.Unlock()
	n.giveUpReset(name)
	if l != nil {
		_ = l.session.Close()
	}
}

// isReset tells whether a connection ended because the peer or the network ended it, and not for silence.
func isReset(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
