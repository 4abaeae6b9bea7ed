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
	near, far := net.Pipe()
	conn := &muteConn{Conn: near}
	ctx, a, stop := startPair(t, conn, far, noHandler{})
	defer stop()
	if err := a.Ping(ctx, "b"); err != nil {
		t.Errorf("a peer that answers: %v", err)
	}
	conn.isMute.Store(true)
	for range tries {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		if err := a.Ping(ctx, "b"); !errors.Is(err, radish.ErrPeerTimeout) {
			t.Fatalf("a peer that stands still: %v", err)
		}
		cancel()
	}
	a.CloseLink("b")
	if err := a.Ping(ctx, "b"); !errors.Is(err, radish.ErrUnavailable) {
		t.Errorf("a closed link: %v", err)
	}
}
