package radishpeer

import (
	"context"
	"errors"
	"net"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// failingListener fails its first calls of Accept as if the process had no descriptor left.
type failingListener struct {
	chanListener
	failures *int
}

func (l failingListener) Accept() (net.Conn, error) {
	if *l.failures > 0 {
		*l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.chanListener.Accept()
}

// TestLackOfDescriptorsEndsNoNode guards against a process that ends when a peer connects while it has no descriptor left: the node
// goes on and accepts the link once there is one.
func TestLackOfDescriptorsEndsNoNode(t *testing.T) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		const want = 12
		failures := want
		_, accepted := net.Pipe()
		conns := make(chan net.Conn, 1)
		conns <- accepted
		n := &Node{
			Name: "self", Handler: emptyHandler{}, Log: hclog.NewNullLogger(),
			Listener: failingListener{chanListener{idleListener{done: make(chan struct{})}, conns}, &failures},
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		if got := n.AcceptErrors(); got != want {
			t.Errorf("%d errors counted, want %d", got, want)
		}
		if len(conns) > 0 {
			t.Error("the connection was not accepted after the errors")
		}
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("the node ended with %v", err)
		}
	})
}
