package radishconn

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// receivingHead and receivingBody take the connection to where it reads more of the head or of the body of its request.
func (c testConn) receivingHead() testConn {
	c.receive()
	c.beginRead(len(testRequest))
	return c
}

func (c testConn) receivingBody() testConn {
	c.EndHead()
	c.BeginBody()
	c.beginRead(len(testRequest))
	return c
}

// TestStalledRequestsYield guards against requests that only wait for their callers and keep new connections out: the one that has waited
// longest gives way, and not before minStallAge.
func TestStalledRequestsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(3)
		body := open(t, l, http.StateActive).receivingBody()
		time.Sleep(time.Millisecond)
		head := open(t, l).receivingHead()
		running := open(t, l, http.StateActive)
		running.EndHead()
		running.beginRead(watchBytes)
		time.Sleep(minStallAge - 2*time.Millisecond)
		if l.admit(newTestConn().Conn, time.Now()) {
			t.Error("a connection was admitted in place of one that has hardly waited")
		}
		time.Sleep(searchInterval)
		open(t, l, http.StateActive).EndHead()
		if !body.fake.closed || head.fake.closed {
			t.Errorf("after one more connection: body closed %t, head closed %t", body.fake.closed, head.fake.closed)
		}
		open(t, l, http.StateActive).EndHead()
		if !head.fake.closed {
			t.Error("the head that has stalled was not closed")
		}
		time.Sleep(time.Hour)
		if l.admit(newTestConn().Conn, time.Now()) || running.fake.closed {
			t.Errorf("a connection was admitted in place of a request that runs; closed: %t", running.fake.closed)
		}
		if got, want := l.Stats(), (Stats{Open: 3, Refused: 2, Closed: 2}); got != want {
			t.Errorf("stats %+v, want %+v", got, want)
		}
		body.setState(l, http.StateClosed)
		head.setState(l, http.StateClosed)
		if got := l.Stats().Open; got != 3 {
			t.Errorf("%d connections count as open after the interrupted ones were closed, want 3", got)
		}
	})
}

// TestDataTakesInterruptionBack guards against interrupting a request of which more has arrived by then, and against one that counts as ending
// for good.
func TestDataTakesInterruptionBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		body := open(t, l, http.StateActive).receivingBody()
		time.Sleep(minStallAge)
		if !l.admit(newTestConn().Conn, time.Now()) || !body.fake.closed {
			t.Fatalf("the body that has stalled was not interrupted: closed %t", body.fake.closed)
		}
		body.endRead(1)
		if body.fake.closed {
			t.Error("the body still fails after more of it has arrived")
		}
		if got, want := l.Stats(), (Stats{Open: 2}); got != want {
			t.Errorf("stats %+v, want %+v", got, want)
		}
	})
}

// TestWholeBodyIsNeverInterrupted guards against interrupting a request whose body was read whole: its handler would take its caller for gone.
func TestWholeBodyIsNeverInterrupted(t *testing.T) {
	for _, name := range []string{"the body has ended", "net/http watches for the end", "the reader is behind"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newLimiter(1)
				c := open(t, l, http.StateActive).receivingBody()
				c.endRead(1)
				switch name {
				case "the body has ended":
					c.EndBody()
					c.beginRead(len(testRequest))
				case "net/http watches for the end":
					c.beginRead(watchBytes)
				}
				time.Sleep(time.Hour)
				if l.admit(newTestConn().Conn, time.Now()) || c.fake.closed {
					t.Errorf("another connection was admitted in place of the request; closed: %t", c.fake.closed)
				}
			})
		})
	}
}

// TestInterruptedBodyIsRefused guards against a stalled body whose connection is closed without an answer, and one that arrives after all and is lost.
func TestInterruptedBodyIsRefused(t *testing.T) {
	const bodyBytes = 10
	head := "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 10\r\n\r\n"
	for _, arrives := range []bool{false, true} {
		s := newTestServer(t, 1)
		s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			conn := ConnOf(r.Context())
			conn.EndHead()
			conn.BeginBody()
			s.handled.Add(1)
			p, err := io.ReadAll(r.Body)
			conn.EndBody()
			if err != nil || len(p) != bodyBytes {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			// A request that was read whole is not cancelled.
			time.Sleep(testTimeout / 100)
			if r.Context().Err() != nil {
				w.WriteHeader(http.StatusInternalServerError)
			}
		})
		c := s.dial()
		if err := c.send(head + strings.Repeat("x", bodyBytes-1)); err != nil {
			t.Fatal(err)
		}
		for s.handled.Load() < 1 {
			time.Sleep(time.Millisecond)
		}
		want := http.StatusRequestTimeout
		if arrives {
			want = http.StatusOK
			interrupt := func() {
				if !s.limiter.admit(newTestConn().Conn, time.Now().Add(minStallAge)) {
					t.Error("the body was not interrupted")
				}
			}
			s.onRead.Store(&interrupt)
			if err := c.send("x"); err != nil {
				t.Fatal(err)
			}
		} else {
			time.Sleep(minStallAge)
			s.dial()
		}
		if status, err := c.status(); status != want {
			t.Errorf("last byte arrives %t: status %d, error %v, want %d", arrives, status, err, want)
		}
	}
}

// TestStalledHeadYields guards against a head that does not go on and keeps new connections out until the header timeout.
func TestStalledHeadYields(t *testing.T) {
	s := newTestServer(t, 1)
	c := s.dial()
	if err := c.send(testRequest[:10]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(minStallAge + searchInterval)
	s.mustExchange(s.dial())
	if status, err := c.status(); err == nil {
		t.Errorf("part of a head: status %d", status)
	}
	if d := s.awaitDrop(); d.Cause != CauseDisplaced || d.IsWhole {
		t.Errorf("got %+v", d)
	}
}
