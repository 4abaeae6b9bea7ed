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

// idleListener accepts no connection.
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

// silentConn accepts all writes and never delivers data, like a connection to a frozen process.
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

// emptyHandler responds to every request with an empty response.
type emptyHandler struct{}

func (emptyHandler) Handle(context.Context, *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	return &radishpeerpb.Response{}, nil
}

// TestFrozenPeerIsNotLinked dials a VM whose process is frozen. Its kernel accepts the connection, but the VM must not count
// as linked before it has responded.
func TestFrozenPeerIsNotLinked(t *testing.T) {
	// Empties the pool of timers in yamux, since timers must not be shared between a synctest bubble and code outside it.
	// A sync.Pool is empty only after two collections.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		defer func() { _ = local.Close() }()
		defer func() { _ = remote.Close() }()
		n := &Node{
			Name: "self", Listener: idleListener{done: make(chan struct{})}, Handler: emptyHandler{}, Log: hclog.NewNullLogger(),
			Dial: func(context.Context, string) (net.Conn, error) {
				return &silentConn{Conn: local, done: make(chan struct{})}, nil
			},
		}
		n.SetPeers([]Peer{{Name: "frozen", Address: "frozen:1"}})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- n.Run(ctx) }()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if linked := n.Linked(); len(linked) > 0 {
				t.Errorf("Linked() = %v, want none before the peer has responded", linked)
				break
			}
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}
