package radishstandin

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errNoListener reports a connection to an address at which nobody listens or that is cut off.
var errNoListener = errors.New("connection refused")

// Network connects listeners and dialers of one process by net.Pipe, so that links run on a paused clock; the
// zero value is ready.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     []pipeConn
	// blocked tells whether two addresses cannot reach each other.
	blocked func(from, to string) bool
}

// pipeConn is an open connection.
type pipeConn struct {
	from, to string
	conn     net.Conn
}

// Listen returns a listener at the address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = make(map[string]*pipeListener)
	}
	l := &pipeListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function of the VM at the address.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil || n.IsBlocked(from, address) {
			return nil, errNoListener
		}
		near, far := net.Pipe()
		select {
		case l.conns <- far:
			n.mu.Lock()
			n.conns = append(n.conns, pipeConn{from: from, to: address, conn: near})
			n.mu.Unlock()
			return near, nil
		case <-l.closed:
			return nil, errNoListener
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// SetBlocked cuts addresses off from each other and breaks the connections between them; nil heals all cuts.
func (n *Network) SetBlocked(blocked func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
	if blocked == nil {
		return
	}
	for _, c := range n.conns {
		if blocked(c.from, c.to) || blocked(c.to, c.from) {
			_ = c.conn.Close()
		}
	}
}

// IsBlocked tells whether two addresses are cut off from each other.
func (n *Network) IsBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked != nil && n.blocked(from, to)
}

// pipeListener hands out the far ends of pipes.
type pipeListener struct {
	address string
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

// pipeAddr is the address of a pipe.
type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
