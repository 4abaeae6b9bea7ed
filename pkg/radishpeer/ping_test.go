package radishpeer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// lossyConn discards all writes while isDropping is set.
type lossyConn struct {
	net.Conn
	isDropping atomic.Bool
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.isDropping.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// TestPingDetectsSilentPeer pings a peer that responds, one that does not respond and one whose link is closed. The second
// ping is repeated many times, since the end of the call races with the end of its context.
func TestPingDetectsSilentPeer(t *testing.T) {
	const tries, timeout = 40, 20 * time.Millisecond
	dialled, accepted := net.Pipe()
	conn := &lossyConn{Conn: dialled}
	ctx, a, stop := startPair(t, conn, accepted, emptyHandler{})
	defer stop()
	if err := a.Ping(ctx, "b"); err != nil {
		t.Errorf("ping of a peer that responds: error %v, want none", err)
	}
	conn.isDropping.Store(true)
	for range tries {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		if err := a.Ping(ctx, "b"); !errors.Is(err, radish.ErrPeerTimeout) {
			t.Fatalf("ping of a peer that does not respond: error %v, want radish.ErrPeerTimeout", err)
		}
		cancel()
	}
	a.CloseLink("b")
	if err := a.Ping(ctx, "b"); !errors.Is(err, radish.ErrUnavailable) {
		t.Errorf("ping over a closed link: error %v, want radish.ErrUnavailable", err)
	}
}
