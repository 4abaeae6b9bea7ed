package radishpeer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// slowCloseConn is a connection whose reads return only closeDelay after they failed, as on a busy CPU.
type slowCloseConn struct {
	net.Conn
	closeDelay time.Duration
}

func (c *slowCloseConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(c.closeDelay)
	}
	return n, err
}

// blockingHandler does not respond before the call is cancelled.
type blockingHandler struct{}

func (blockingHandler) Handle(ctx context.Context, _ *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestWaitingCallDoesNotSpin closes a link over which a call waits for its response. Until the session has ended, the call
// must not use CPU time, because a VM with one CPU needs it to end the session.
func TestWaitingCallDoesNotSpin(t *testing.T) {
	const closeDelay = 500 * time.Millisecond
	dialled, accepted := net.Pipe()
	ctx, a, stop := startPair(t, &slowCloseConn{Conn: dialled, closeDelay: closeDelay}, accepted, blockingHandler{})
	defer stop()
	callErr := make(chan error)
	go func() {
		_, err := a.Call(ctx, "b", &radishpeerpb.Request{Body: &radishpeerpb.Request_Free{Free: &radishpeerpb.FreeRequest{}}})
		callErr <- err
	}()
	time.Sleep(100 * time.Millisecond)
	before := cpuTime(t)
	a.CloseLink("b")
	if err := <-callErr; err == nil {
		t.Error("call over a closed link succeeded, want an error")
	}
	if used := cpuTime(t) - before; used > closeDelay/5 {
		t.Errorf("used %v of CPU time while the session ended, which took %v; want at most a fifth of that", used, closeDelay)
	}
}
