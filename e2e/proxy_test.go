package e2e_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is what a link does to the bytes that cross it.
type linkFault string

// Faults of links. Bytes that a cut swallows are lost for good, and so is the connection that they belong to.
const (
	linkFine     linkFault = "fine"
	linkSlow     linkFault = "slow"
	linkReset    linkFault = "reset"
	linkCutThere linkFault = "cut towards the server"
	linkCutBack  linkFault = "cut towards the client"
	linkSilent   linkFault = "silent"
)

var linkFaults = []linkFault{linkSlow, linkReset, linkCutThere, linkCutBack, linkSilent}

// slowLink is the delay of each piece of data on a slow link.
const slowLink = 80 * time.Millisecond

// link is a proxy on loopback between a client and the server at an address.
type link struct {
	address string
	server  string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

func newLink(t *testing.T, server string) *link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &link{address: l.Addr().String(), server: server, fault: linkFine, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// set changes the link's fault; a reset breaks the connections that are open.
func (p *link) set(fault linkFault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == linkReset {
		p.reset()
	}
}

func (p *link) now() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *link) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// reset closes the connection so that the other end sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *link) keep(conn net.Conn) func() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, conn)
		_ = conn.Close()
	}
}

func (p *link) serve(client net.Conn) {
	defer p.keep(client)()
	if p.now() == linkReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", p.server)
	if err != nil {
		reset(client)
		return
	}
	defer p.keep(server)()
	var wg sync.WaitGroup
	wg.Go(func() { p.pass(server, client, linkCutThere) })
	wg.Go(func() { p.pass(client, server, linkCutBack) })
	wg.Wait()
}

// pass copies bytes until a fault swallows some; the connection is silent in this direction from then on.
func (p *link) pass(to, from net.Conn, cut linkFault) {
	buffer := make([]byte, 32<<10)
	isSilent := false
	for {
		n, err := from.Read(buffer)
		fault := p.now()
		isSilent = isSilent || fault == cut || fault == linkSilent
		if fault == linkSlow {
			time.Sleep(slowLink)
		}
		if n > 0 && !isSilent {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !isSilent {
				_ = to.Close()
			}
			return
		}
	}
}
