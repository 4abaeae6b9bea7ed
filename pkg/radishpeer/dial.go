package radishpeer

import (
	"context"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	initialRedialInterval = 100 * time.Millisecond
	maxRedialInterval     = 2 * time.Second
	// passiveDialDelay is how long the VM of a pair that does not dial first waits for the other one to connect. Two
	// connections per pair would cost CPU time when many are opened at once, such as after a power failure.
	passiveDialDelay = 300 * time.Millisecond
)

// maintainLink keeps a link to the peer until ctx ends, no matter which of the two VMs dialled. It dials when there is none.
func (n *Node) maintainLink(ctx context.Context, p Peer) {
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval = initialRedialInterval
	redial.MaxInterval = maxRedialInterval
	dialDelay := time.Duration(0)
	// A seed, which is configured by its address alone, is dialled without delay, since the seed may not have this VM in its list.
	if p.Name != p.Address && !dialsFirst(n.Name, p.Name) {
		dialDelay = passiveDialDelay
	}
	for pause := dialDelay; ctx.Err() == nil; pause = dialDelay + redial.NextBackOff() {
		if session := n.openSession(p.Name); session != nil {
			select {
			case <-ctx.Done():
			case <-session.CloseChan():
			}
			redial.Reset()
			continue
		}
		if pause > 0 && !radish.Sleep(ctx, pause) || n.openSession(p.Name) != nil {
			continue
		}
		conn, err := n.dial(ctx, p.Address)
		if err != nil {
			n.handleDialError(p.Name)
			continue
		}
		redial.Reset()
		n.serveConn(ctx, conn, p.Name)
	}
}

// dialsFirst reports whether this VM is the one of the pair that dials without delay. It is for about half of its peers.
func dialsFirst(self, peer string) bool {
	isEvenHash := xxhash.Sum64String(min(self, peer)+" "+max(self, peer))%2 == 0
	return isEvenHash == (self < peer)
}

// openSession returns the open session with the peer, or nil if there is none.
func (n *Node) openSession(name string) *yamux.Session {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.links[name]; l != nil && !l.session.IsClosed() {
		return l.session
	}
	return nil
}

func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.Dial != nil {
		return n.Dial(ctx, address)
	}
	dialer := net.Dialer{Timeout: DefaultCallTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
