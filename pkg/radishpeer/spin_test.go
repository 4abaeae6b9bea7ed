package radishpeer

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

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
	near, far := net.Pipe()
	ctx, a, stop := startPair(t, &slowCloseConn{Conn: near, takes: takes}, far, slowHandler{})
	defer stop()
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
}
