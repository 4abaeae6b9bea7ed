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

// oneListener accepts one connection.
type oneListener struct {
	idleListener
	conns chan net.Conn
}

func (l oneListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// startPair links node a, which dials over near, to node b, which accepts far and answers with the handler.
func startPair(t *testing.T, near, far net.Conn, handler Handler) (ctx context.Context, a *Node, stop func()) {
	t.Helper()
	// yamux keeps timers in a pool; those of bubbles may not be used here.
	runtime.GC()
	runtime.GC()
	conns := make(chan net.Conn, 1)
	conns <- far
	a = &Node{
		Name: "a", Listener: idleListener{done: make(chan struct{})}, Handler: noHandler{}, Log: hclog.NewNullLogger(),
		Dial: func(context.Context, string) (net.Conn, error) { return near, nil },
	}
	b := &Node{
		Name: "b", Listener: oneListener{idleListener: idleListener{done: make(chan struct{})}, conns: conns}, Handler: handler,
		Log: hclog.NewNullLogger(),
	}
	a.SetPeers([]Peer{{Name: "b", Address: "b:1"}})
	ctx, cancel := context.WithCancel(t.Context())
	var nodes sync.WaitGroup
	nodes.Go(func() { _ = a.Run(ctx) })
	nodes.Go(func() { _ = b.Run(ctx) })
	for end := time.Now().Add(2 * time.Second); a.linkTo("b") == nil && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	return ctx, a, func() {
		cancel()
		nodes.Wait()
	}
}
