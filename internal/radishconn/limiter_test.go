package radishconn

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// fakeConn is a connection of which only its being closed matters: the HTTP server closes it when its read fails.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *fakeConn) SetReadDeadline(t time.Time) error {
	c.closed = !t.IsZero() && t.Before(time.Now())
	return nil
}

// testConn is a caller's connection on top of a fake one.
type testConn struct {
	*Conn
	fake *fakeConn
}

func newTestConn() testConn {
	fake := &fakeConn{}
	c := &Conn{Conn: fake, listener: &HeadListener{}, isNew: true}
	c.waitForHead()
	return testConn{c, fake}
}

// receive lets the first byte of a request arrive.
func (c testConn) receive() { c.beginHead([]byte("G")) }

func newLimiter(limit int) *Limiter {
	return &Limiter{
		Max: func() int { return limit }, Log: hclog.NewNullLogger(),
		HeaderTimeout: func() time.Duration { return 5 * time.Second }, IdleTimeout: func() time.Duration { return 15 * time.Second },
	}
}

// open admits a connection and takes it through the states.
func open(t *testing.T, l *Limiter, states ...http.ConnState) testConn {
	t.Helper()
	c := newTestConn()
	if !l.admit(c.Conn, time.Now()) {
		t.Fatal("the connection was refused")
	}
	for _, s := range states {
		c.setState(l, s)
	}
	return c
}

// setState takes the connection into the state as the HTTP server does: it becomes active after bytes have arrived.
func (c testConn) setState(l *Limiter, state http.ConnState) {
	if state == http.StateActive {
		c.receive()
	}
	l.ConnState(c.Conn, state)
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
		if !firstIdle.fake.closed || secondIdle.fake.closed || active.fake.closed {
			t.Errorf("closed: first idle %t, second idle %t, active %t", firstIdle.fake.closed, secondIdle.fake.closed, active.fake.closed)
		}
		secondIdle.setState(l, http.StateActive)
		if l.admit(newTestConn().Conn, time.Now()) {
			t.Error("a connection beyond the limit was admitted although all others have a request")
		}
		fourth.setState(l, http.StateClosed)
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
		if l.admit(newTestConn().Conn, time.Now()) {
			t.Error("a connection was admitted in place of one that was just accepted")
		}
		time.Sleep(minNewAge)
		open(t, l)
		if !first.fake.closed {
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
			if silent.fake.closed != step.silent || idle.fake.closed != step.idle {
				t.Errorf("after %v more: silent closed %t, idle closed %t", step.after, silent.fake.closed, idle.fake.closed)
			}
		}
		if active.fake.closed {
			t.Error("a connection with a request was closed")
		}
	})
}

// TestConnectionEndsOnce guards against counting a connection twice that is ended again before it has been closed.
func TestConnectionEndsOnce(t *testing.T) {
	l := newLimiter(0)
	c := open(t, l)
	l.endUnfinished(time.Now().Add(time.Hour))
	l.endUnfinished(time.Now().Add(time.Hour))
	if got, want := l.Stats(), (Stats{Closed: 1}); got != want {
		t.Errorf("stats %+v, want %+v", got, want)
	}
	c.setState(l, http.StateClosed)
	if got, want := l.Stats(), (Stats{Closed: 1}); got != want {
		t.Errorf("after the close: stats %+v, want %+v", got, want)
	}
}
