package radishpeer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// idleListener accepts nothing.
type idleListener struct{ done chan struct{} }

func (l idleListener) Accept() (net.Conn, error) {
	<-l.done
	return nil, net.ErrClosed
}

func (l idleListener) Close() error {
	close(l.done)
	return nil
}

func (l idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn takes all that is written and brings nothing, as the connection to a process that stands still.
type silentConn struct {
	net.Conn
	done chan struct{}
}

func (c *silentConn) Write(b []byte) (int, error) { return len(b), nil }

func (c *silentConn) Read([]byte) (int, error) {
	<-c.done
	return 0, net.ErrClosed
}

func (c *silentConn) Close() error {
	select {
	case <-c.done:
	default:
		close(c.done)
	}
	return nil
}

type noHandler struct{}

func (noHandler) Handle(context.Context, *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	return &radishpeerpb.Response{}, nil
}

// TestFrozenPeerIsNotLinked dials a VM whose process stands still: its kernel takes the connection, but it counts as out
// of reach until it has answered.
func TestFrozenPeerIsNotLinked(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		defer func() { _ = far.Close() }()
		n := &Node{
			Name: "self", Listener: idleListener{done: make(chan struct{})}, Handler: noHandler{}, Log: hclog.NewNullLogger(),
			Dial: func(context.Context, string) (net.Conn, error) {
				return &silentConn{Conn: near, done: make(chan struct{})}, nil
			},
		}
		n.SetPeers([]Peer{{Name: "frozen", Address: "frozen:1"}})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- n.Run(ctx) }()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if linked := n.Linked(); len(linked) > 0 {
				t.Errorf("linked: %v", linked)
				break
			}
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}
