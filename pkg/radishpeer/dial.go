package radishpeer

import (
	"context"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"
)

const (
	redialInitial = 100 * time.Millisecond
	redialLimit   = 2 * time.Second
	// courtesyTime is how long a VM leaves the dialling to the other one of a pair. Two connections for each pair would cost
	// processor time when many are opened at once, as after a loss of power.
	courtesyTime = 300 * time.Millisecond
)

// keepLink sees to it that there is a link to the peer, whichever of the two has dialled, until ctx ends.
func (n *Node) keepLink(ctx context.Context, p Peer) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = redialInitial
	wait.MaxInterval = redialLimit
	courtesy := time.Duration(0)
	// A seed, known by its address alone, may not know this VM.
	if p.Name != p.Address && !dialsFirst(n.Name, p.Name) {
		courtesy = courtesyTime
	}
	for pause := courtesy; ctx.Err() == nil; pause = courtesy + wait.NextBackOff() {
		if session := n.linkTo(p.Name); session != nil {
			select {
			case <-ctx.Done():
			case <-session.CloseChan():
			}
			wait.Reset()
			continue
		}
		if pause > 0 && !sleep(ctx, pause) || n.linkTo(p.Name) != nil {
			continue
		}
		conn, err := n.dial(ctx, p.Address)
		if err != nil {
			n.noteRefusal(p.Name)
			continue
		}
		wait.Reset()
		n.serveConn(ctx, conn, p.Name)
	}
}

// dialsFirst tells whether the VM dials the other one of a pair; each VM does so for about half of its peers.
func dialsFirst(self, peer string) bool {
	isEven := xxhash.Sum64String(min(self, peer)+" "+max(self, peer))%2 == 0
	return isEven == (self < peer)
}

// linkTo returns the open session with the peer, nil when there is none.
func (n *Node) linkTo(name string) *yamux.Session {
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

// sleep tells whether the time has passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
