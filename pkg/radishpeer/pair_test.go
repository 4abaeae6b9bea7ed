package radishpeer

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// chanListener accepts the connections from a channel.
type chanListener struct {
	idleListener
	conns chan net.Conn
}

func (l chanListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// startPair links two nodes: node a uses dialled as the connection that it opens; node b accepts the other end, accepted,
// and handles calls with the handler.
func startPair(t *testing.T, dialled, accepted net.Conn, handler Handler) (ctx context.Context, a *Node, stop func()) {
	t.Helper()
	// Empties the pool of timers in yamux, since timers must not be shared between a synctest bubble and code outside it.
	// A sync.Pool is empty only after two collections.
	runtime.GC()
	runtime.GC()
	conns := make(chan net.Conn, 1)
	conns <- accepted
	a = &Node{
		Name: "a", Listener: idleListener{done: make(chan struct{})}, Handler: emptyHandler{}, Log: hclog.NewNullLogger(),
		Dial: func(context.Context, string) (net.Conn, error) { return dialled, nil },
	}
	b := &Node{
		Name: "b", Listener: chanListener{idleListener: idleListener{done: make(chan struct{})}, conns: conns}, Handler: handler,
		Log: hclog.NewNullLogger(),
	}
	a.SetPeers([]Peer{{Name: "b", Address: "b:1"}})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = a.Run(ctx) })
	running.Go(func() { _ = b.Run(ctx) })
	for end := time.Now().Add(2 * time.Second); a.openSession("b") == nil && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return ctx, a, func() {
		cancel()
		running.Wait()
	}
}
