package e2e_test

import (
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is a fault that a linkProxy injects into its connections.
type linkFault string

// Faults of links. Once bytes of a connection have been dropped, the connection forwards nothing more in that direction,
// even after the fault ends.
const (
	linkHealthy      linkFault = "healthy"
	linkSlow         linkFault = "slow"
	linkReset        linkFault = "reset"
	linkDropToServer linkFault = "drops bytes to the server"
	linkDropToClient linkFault = "drops bytes to the client"
	linkDropAll      linkFault = "drops all bytes"
)

var linkFaults = []linkFault{linkSlow, linkReset, linkDropToServer, linkDropToClient, linkDropAll}

// slowLinkDelay is how long a slow link delays each chunk of data.
const slowLinkDelay = 80 * time.Millisecond

// linkProxy is a TCP proxy on the loopback interface that injects faults between clients and a server.
type linkProxy struct {
	address       string
	serverAddress string

	mu    sync.Mutex
	fault linkFault
	conns map[net.Conn]bool
}

func newLinkProxy(t *testing.T, serverAddress string) *linkProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &linkProxy{address: listener.Addr().String(), serverAddress: serverAddress, fault: linkHealthy, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = listener.Close()
		p.resetConns()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// setFault replaces the link's fault; linkReset resets the open connections.
func (p *linkProxy) setFault(fault linkFault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	if fault == linkReset {
		p.resetConns()
	}
}

func (p *linkProxy) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *linkProxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		resetConn(conn)
	}
}

// resetConn closes the connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// track registers an open connection for resets and returns a function that closes and unregisters it.
func (p *linkProxy) track(conn net.Conn) func() {
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

func (p *linkProxy) serve(client net.Conn) {
	defer p.track(client)()
	if p.currentFault() == linkReset {
		resetConn(client)
		return
	}
	server, err := net.Dial("tcp", p.serverAddress)
	if err != nil {
		resetConn(client)
		return
	}
	defer p.track(server)()
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(server, client, linkDropToServer) })
	wg.Go(func() { p.forward(client, server, linkDropToClient) })
	wg.Wait()
}

// forward copies bytes from one connection to the other. Once dropFault or linkDropAll is active while bytes are read, it
// drops all further bytes, as a TCP stream cannot continue after a gap.
func (p *linkProxy) forward(to, from net.Conn, dropFault linkFault) {
	buffer := make([]byte, 32<<10)
	isDropping := false
	for {
		n, err := from.Read(buffer)
		fault := p.currentFault()
		isDropping = isDropping || fault == dropFault || fault == linkDropAll
		if fault == linkSlow {
			time.Sleep(slowLinkDelay)
		}
		if n > 0 && !isDropping {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			if !isDropping {
				_ = to.Close()
			}
			return
		}
	}
}
