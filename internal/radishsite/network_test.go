package radishsite

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// pipeNetwork is a network of in-memory connections between VMs.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	// bytesPerSecond is the upload bandwidth of each VM; 0 means unlimited.
	bytesPerSecond int
	conns          []*resetConn
	// isCut reports whether a VM cannot reach an address; nil means that all can.
	isCut func(from, address string) bool
}

// resetConn is a connection that the network can reset.
type resetConn struct {
	net.Conn
	isReset  atomic.Bool
	from, to string
}

func (c *resetConn) Read(b []byte) (int, error) {
	read, err := c.Conn.Read(b)
	if err != nil && c.isReset.Load() {
		err = syscall.ECONNRESET
	}
	return read, err
}

// reset closes all connections at once.
func (n *pipeNetwork) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.isReset.Store(true)
		_ = c.Close()
	}
	n.conns = nil
}

// rateLimitedConn sends written data over the VM's uplink, which all its connections share. Write returns at once, as
// with a socket's send buffer.
type rateLimitedConn struct {
	net.Conn
	uplink         chan struct{}
	bytesPerSecond int
	queue          chan []byte
	closed         chan struct{}
	once           sync.Once
}

func (c *rateLimitedConn) Write(b []byte) (int, error) {
	select {
	case c.queue <- slices.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *rateLimitedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// send transmits queued data in packets; the VM's connections take turns on the uplink, one packet at a time.
func (c *rateLimitedConn) send() {
	const packetSize = 1500
	for {
		var b []byte
		select {
		case b = <-c.queue:
		case <-c.closed:
			return
		}
		for packet := range slices.Chunk(b, packetSize) {
			c.uplink <- struct{}{}
			time.Sleep(time.Duration(len(packet)) * time.Second / time.Duration(c.bytesPerSecond))
			<-c.uplink
			if _, err := c.Conn.Write(packet); err != nil {
				return
			}
		}
	}
}

// limitRate returns a connection that shares the VM's uplink.
func (n *pipeNetwork) limitRate(conn net.Conn, uplink chan struct{}) net.Conn {
	if n.bytesPerSecond == 0 {
		return conn
	}
	const queueLength = 1 << 10
	c := &rateLimitedConn{
		Conn: conn, uplink: uplink, bytesPerSecond: n.bytesPerSecond, queue: make(chan []byte, queueLength), closed: make(chan struct{}),
	}
	go c.send()
	return c
}

// openedConns returns the number of connections opened since the last reset.
func (n *pipeNetwork) openedConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns) / 2
}

// disconnect simulates the end of a VM: its connections are reset, its address refuses connections, and it cannot dial.
// The result is passed to reconnect.
func (n *pipeNetwork) disconnect(name string) chan net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conns := n.listeners[name+":1"]
	delete(n.listeners, name+":1")
	for _, c := range n.conns {
		if c.from == name+":1" || c.to == name+":1" {
			c.isReset.Store(true)
			_ = c.Close()
		}
	}
	return conns
}

// cut breaks all connections between the two groups of VMs, if isOneSide tells them apart; nil heals the network.
func (n *pipeNetwork) cut(isOneSide func(address string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isCut = nil
	if isOneSide == nil {
		return
	}
	n.isCut = func(from, address string) bool { return isOneSide(from) != isOneSide(address) }
	for _, c := range n.conns {
		if n.isCut(c.from, c.to) {
			c.isReset.Store(true)
			_ = c.Close()
		}
	}
}

// reconnect makes a disconnected VM reachable again.
func (n *pipeNetwork) reconnect(name string, conns chan net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[name+":1"] = conns
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	network *pipeNetwork
	uplink  chan struct{}
	once    sync.Once
	done    chan struct{}
}

func (n *pipeNetwork) listen(address string) *pipeListener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), network: n, uplink: make(chan struct{}, 1), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l.conns
	return l
}

func (n *pipeNetwork) dial(ctx context.Context, from, address string) (net.Conn, error) {
	n.mu.Lock()
	toConns, fromConns := n.listeners[address], n.listeners[from]
	isCut := n.isCut != nil && n.isCut(from, address)
	n.mu.Unlock()
	if isCut || toConns == nil || fromConns == nil {
		return nil, radish.ErrUnavailable
	}
	dialerEnd, listenerEnd := net.Pipe()
	local, remote := &resetConn{Conn: dialerEnd, from: from, to: address}, &resetConn{Conn: listenerEnd, from: from, to: address}
	n.mu.Lock()
	n.conns = append(n.conns, local, remote)
	n.mu.Unlock()
	select {
	case toConns <- remote:
		return local, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return l.network.limitRate(conn, l.uplink), nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
