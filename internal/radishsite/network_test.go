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

// pipes is a network of in-memory connections between VMs.
type pipes struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	// bytesPerSecond is what each VM can send; 0 sets no bound.
	bytesPerSecond int
	conns          []*resetConn
}

// resetConn is a connection that the network can reset.
type resetConn struct {
	net.Conn
	isReset  atomic.Bool
	from, to string
}

func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.isReset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// reset ends all connections at once.
func (p *pipes) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.isReset.Store(true)
		_ = c.Close()
	}
	p.conns = nil
}

// slowConn sends what is written over the VM's link, which its connections share; a write does not wait for that, as with a
// socket's buffer.
type slowConn struct {
	net.Conn
	link           chan struct{}
	bytesPerSecond int
	queue          chan []byte
	closed         chan struct{}
	once           sync.Once
}

func (c *slowConn) Write(b []byte) (int, error) {
	select {
	case c.queue <- slices.Clone(b):
		return len(b), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// send has the connections take turns on the link, a packet at a time.
func (c *slowConn) send() {
	const packet = 1500
	for {
		var b []byte
		select {
		case b = <-c.queue:
		case <-c.closed:
			return
		}
		for part := range slices.Chunk(b, packet) {
			c.link <- struct{}{}
			time.Sleep(time.Duration(len(part)) * time.Second / time.Duration(c.bytesPerSecond))
			<-c.link
			if _, err := c.Conn.Write(part); err != nil {
				return
			}
		}
	}
}

// throttle has the VM's connections share its link.
func (p *pipes) throttle(conn net.Conn, link chan struct{}) net.Conn {
	if p.bytesPerSecond == 0 {
		return conn
	}
	const buffered = 1 << 10
	c := &slowConn{Conn: conn, link: link, bytesPerSecond: p.bytesPerSecond, queue: make(chan []byte, buffered), closed: make(chan struct{})}
	go c.send()
	return c
}

// opened returns how many connections were opened since the last reset.
func (p *pipes) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) / 2
}

// remove ends a VM: its connections are reset, nobody listens at its address, and it dials nobody.
func (p *pipes) remove(name string) chan net.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.listeners[name+":1"]
	delete(p.listeners, name+":1")
	for _, c := range p.conns {
		if c.from == name+":1" || c.to == name+":1" {
			c.isReset.Store(true)
			_ = c.Close()
		}
	}
	return conns
}

// restore has the VM reached again that was removed.
func (p *pipes) restore(name string, conns chan net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[name+":1"] = conns
}

type pipeListener struct {
	address string
	conns   chan net.Conn
	network *pipes
	link    chan struct{}
	once    sync.Once
	done    chan struct{}
}

func (p *pipes) listen(address string) *pipeListener {
	l := &pipeListener{address: address, conns: make(chan net.Conn), network: p, link: make(chan struct{}, 1), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l.conns
	return l
}

func (p *pipes) dial(ctx context.Context, from, address string) (net.Conn, error) {
	p.mu.Lock()
	conns, self := p.listeners[address], p.listeners[from]
	p.mu.Unlock()
	if conns == nil || self == nil {
		return nil, radish.ErrUnavailable
	}
	near, far := net.Pipe()
	ours, theirs := &resetConn{Conn: near, from: from, to: address}, &resetConn{Conn: far, from: from, to: address}
	p.mu.Lock()
	p.conns = append(p.conns, ours, theirs)
	p.mu.Unlock()
	select {
	case conns <- theirs:
		return ours, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return l.network.throttle(conn, l.link), nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
