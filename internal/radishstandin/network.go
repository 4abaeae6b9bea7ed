package radishstandin

import (
	"context"
	"errors"
	"net"
	"sync"
)

// errConnectionRefused is returned by a dial to an address that has no listener or that a partition separates from the
// dialer.
var errConnectionRefused = errors.New("connection refused")

// Network connects listeners and dialers within the process by net.Pipe, so that connections work with the fake clock
// of testing/synctest. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	conns     []pipeConn
	// partitioned reports whether a partition separates two addresses; nil means that there is no partition.
	partitioned func(from, to string) bool
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

// Dialer returns the dial function of the VM at address from.
func (n *Network) Dialer(from string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		n.mu.Unlock()
		if l == nil || n.IsPartitioned(from, address) {
			return nil, errConnectionRefused
		}
		client, server := net.Pipe()
		select {
		case l.conns <- server:
			n.mu.Lock()
			n.conns = append(n.conns, pipeConn{from: from, to: address, conn: client})
			n.mu.Unlock()
			return client, nil
		case <-l.closed:
			return nil, errConnectionRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// SetPartition partitions the network: it closes the open connections between addresses for which partitioned returns
// true in either direction, and new connections are refused. A nil function removes all partitions.
func (n *Network) SetPartition(partitioned func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	if partitioned == nil {
		return
	}
	for _, c := range n.conns {
		if partitioned(c.from, c.to) || partitioned(c.to, c.from) {
			_ = c.conn.Close()
		}
	}
}

// IsPartitioned reports whether a partition separates the two addresses.
func (n *Network) IsPartitioned(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned != nil && n.partitioned(from, to)
}

// pipeListener accepts the server ends of pipes.
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

// pipeAddr is the address of a pipeListener.
type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
