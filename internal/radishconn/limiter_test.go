package radishconn

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// fakeConn is a connection of which only its being closed matters.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

func newLimiter(limit int) *Limiter {
	return &Limiter{
		Max: func() int { return limit }, Log: hclog.NewNullLogger(),
		HeaderTimeout: func() time.Duration { return 5 * time.Second }, IdleTimeout: func() time.Duration { return 15 * time.Second },
	}
}

// open admits a connection and takes it through the states.
func open(t *testing.T, l *Limiter, states ...http.ConnState) *fakeConn {
	t.Helper()
	c := &fakeConn{}
	if !l.admit(c, time.Now()) {
		t.Fatal("the connection was refused")
	}
	for _, s := range states {
		l.ConnState(c, s)
	}
	return c
}

// TestIdleConnectionsYield guards against callers that keep connections open until the process has no descriptor left: the connection
// that has been idle for the longest time is closed for a new one, and those with a request stay.
func TestIdleConnectionsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(3)
		active := open(t, l, http.StateActive)
		firstIdle := open(t, l, http.StateActive, http.StateIdle)
		time.Sleep(time.Millisecond)
		secondIdle := open(t, l, http.StateActive, http.StateIdle)
		fourth := open(t, l, http.StateActive)
		if !firstIdle.closed || secondIdle.closed || active.closed {
			t.Errorf("closed: first idle %t, second idle %t, active %t", firstIdle.closed, secondIdle.closed, active.closed)
		}
		l.ConnState(secondIdle, http.StateActive)
		if l.admit(&fakeConn{}, time.Now()) {
			t.Error("a connection beyond the limit was admitted although all others have a request")
		}
		l.ConnState(fourth, http.StateClosed)
		open(t, l)
		if got, want := l.Stats(), (Stats{Open: 3, Refused: 1, Closed: 1}); got != want {
			t.Errorf("stats %+v, want %+v", got, want)
		}
	})
}

// TestNewConnectionsHaveTimeForTheirRequest guards against new connections that push each other out before their callers can send
// anything, and against silent ones that keep others out.
func TestNewConnectionsHaveTimeForTheirRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(2)
		first := open(t, l)
		open(t, l)
		if l.admit(&fakeConn{}, time.Now()) {
			t.Error("a connection was admitted in place of one that was just accepted")
		}
		time.Sleep(minNewAge)
		open(t, l)
		if !first.closed {
			t.Error("the silent connection was not closed")
		}
	})
}

// TestUnusedConnectionsTimeOut guards against connections that stay open for longer than the configuration allows, and against closing
// those that callers may still use.
func TestUnusedConnectionsTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(0)
		silent, idle, active := open(t, l), open(t, l, http.StateActive, http.StateIdle), open(t, l, http.StateActive)
		for _, step := range []struct {
			after        time.Duration
			silent, idle bool
		}{{5*time.Second - 1, false, false}, {1, true, false}, {10*time.Second - 1, true, false}, {1, true, true}} {
			time.Sleep(step.after)
			l.sweep(time.Now())
			if silent.closed != step.silent || idle.closed != step.idle {
				t.Errorf("after %v more: silent closed %t, idle closed %t", step.after, silent.closed, idle.closed)
			}
		}
		if active.closed {
			t.Error("a connection with a request was closed")
		}
	})
}
