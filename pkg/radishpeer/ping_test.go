package radishpeer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

// muteConn takes what is written and passes nothing on while it is mute.
type muteConn struct {
	net.Conn
	isMute atomic.Bool
}

func (c *muteConn) Write(b []byte) (int, error) {
	if c.isMute.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestPingTellsSilence pings a peer that answers, one that stands still, over and over since the ends of the call and of
// its context race, and one whose link is closed.
func TestPingTellsSilence(t *testing.T) {
	const tries, timeout = 40, 20 * time.Millisecond
	// yamux keeps timers in a pool; those of bubbles may not be used here.
	runtime.GC()
	runtime.GC()
	near, far := net.Pipe()
	conns := make(chan net.Conn, 1)
	conns <- far
	conn := &muteConn{Conn: near}
	a := &Node{
		Name: "a", Listener: idleListener{done: make(chan struct{})}, Handler: noHandler{}, Log: hclog.NewNullLogger(),
		Dial: func(context.Context, string) (net.Conn, error) { return conn, nil },
	}
	b := &Node{
		Name: "b", Listener: oneListener{idleListener: idleListener{done: make(chan struct{})}, conns: conns}, Handler: noHandler{},
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
	if err := a.Ping(ctx, "b"); err != nil {
		t.Errorf("a peer that answers: %v", err)
	}
	conn.isMute.Store(true)
	for range tries {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		if err := a.Ping(ctx, "b"); !errors.Is(err, radish.ErrSilent) {
			t.Fatalf("a peer that stands still: %v", err)
		}
		cancel()
	}
	a.CloseLink("b")
	if err := a.Ping(ctx, "b"); !errors.Is(err, radish.ErrUnavailable) {
		t.Errorf("a closed link: %v", err)
	}
	cancel()
	nodes.Wait()
}
