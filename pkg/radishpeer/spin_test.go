package radishpeer

import (
	"context"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// slowCloseConn is a connection on which a read ends some time after the close, as when the processor is busy.
type slowCloseConn struct {
	net.Conn
	takes time.Duration
}

func (c *slowCloseConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(c.takes)
	}
	return n, err
}

// slowHandler answers after a long time.
type slowHandler struct{}

func (slowHandler) Handle(ctx context.Context, _ *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

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

func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestWaitingCallDoesNotSpin closes a link over which a call waits: until the session has ended, the call takes no
// processor time, which a VM with one processor needs to end the session.
func TestWaitingCallDoesNotSpin(t *testing.T) {
	const takes = 500 * time.Millisecond
	// yamux keeps timers in a pool; those of bubbles may not be used here.
	runtime.GC()
	runtime.GC()
	near, far := net.Pipe()
	conns := make(chan net.Conn, 1)
	conns <- far
	a := &Node{
		Name: "a", Listener: idleListener{done: make(chan struct{})}, Handler: noHandler{}, Log: hclog.NewNullLogger(),
		Dial: func(context.Context, string) (net.Conn, error) { return &slowCloseConn{Conn: near, takes: takes}, nil },
	}
	b := &Node{
		Name: "b", Listener: oneListener{idleListener: idleListener{done: make(chan struct{})}, conns: conns}, Handler: slowHandler{},
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
	called := make(chan error)
	go func() {
		_, err := a.Call(ctx, "b", &radishpeerpb.Request{Body: &radishpeerpb.Request_Free{Free: &radishpeerpb.FreeRequest{}}})
		called <- err
	}()
	time.Sleep(100 * time.Millisecond)
	before := processorTime(t)
	a.CloseLink("b")
	if err := <-called; err == nil {
		t.Error("the call over the closed link was answered")
	}
	if spent := processorTime(t) - before; spent > takes/5 {
		t.Errorf("%v of processor time while the session ended, which took %v", spent, takes)
	}
	cancel()
	nodes.Wait()
}
