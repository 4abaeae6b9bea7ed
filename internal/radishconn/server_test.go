package radishconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// testTimeout bounds what a test waits for.
const testTimeout = 5 * time.Second

// testServer is an HTTP server whose connections are limited, on a port of this machine.
type testServer struct {
	t       *testing.T
	limiter *Limiter
	heads   *HeadListener
	http    *http.Server
	address string
	// onRead is called once, after the next data of a caller has been read and before the HTTP server gets it.
	onRead atomic.Pointer[func()]
	// onRequest is called for each request; nil if nothing is done. It is read when the handler starts.
	onRequest func()
	drops     chan Drop
	// handled counts the requests that reached the handler.
	handled   atomic.Int64
	startOnce sync.Once
}

// hookListener accepts connections that call the server's onRead.
type hookListener struct {
	net.Listener
	server *testServer
}

func (l *hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookConn{Conn: c, server: l.server}, nil
}

type hookConn struct {
	net.Conn
	server *testServer
}

func (c *hookConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if f := c.server.onRead.Load(); n > 0 && f != nil && c.server.onRead.CompareAndSwap(f, nil) {
		(*f)()
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *hookConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(syscall.Conn).SyscallConn() }

// CloseWrite closes the connection for writing, as [net.TCPConn] can.
func (c *hookConn) CloseWrite() error { return c.Conn.(interface{ CloseWrite() error }).CloseWrite() }

// newTestServer returns a server that accepts up to limit connections; 0 means no limit. It serves from the first dial on.
func newTestServer(t *testing.T, limit int) *testServer {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, address: inner.Addr().String(), drops: make(chan Drop, 10)}
	s.limiter = &Limiter{
		Max: func() int { return limit }, Log: hclog.NewNullLogger(),
		HeaderTimeout: func() time.Duration { return time.Minute }, IdleTimeout: func() time.Duration { return time.Minute },
	}
	s.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ConnOf(r.Context()).EndHead()
			onRequest := s.onRequest
			s.handled.Add(1)
			if onRequest != nil {
				onRequest()
			}
		}),
		ConnContext: WithConn,
		ConnState:   s.limiter.ConnState,
	}
	s.heads = &HeadListener{
		Listener: &hookListener{Listener: inner, server: s}, MaxHeadBytes: func() int { return 1 << 20 }, OnDrop: func(d Drop) { s.drops <- d },
	}
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// start serves on the first call.
func (s *testServer) start() {
	s.startOnce.Do(func() {
		listener := s.limiter.Listener(s.heads)
		go func() { _ = s.http.Serve(listener) }()
	})
}

// dial opens a connection of a caller.
func (s *testServer) dial() *testCaller {
	s.t.Helper()
	s.start()
	c, err := net.DialTimeout("tcp", s.address, testTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(2 * testTimeout))
	return &testCaller{Conn: c, reader: bufio.NewReader(c)}
}

// testCaller is one connection of a caller.
type testCaller struct {
	net.Conn
	reader *bufio.Reader
}

const testRequest = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// send sends the text and returns the error, if any.
func (c *testCaller) send(text string) error {
	_, err := fmt.Fprint(c.Conn, text)
	return err
}

// status returns the status of the next response.
func (c *testCaller) status() (int, error) {
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// exchange sends a request and returns the status of its response.
func (c *testCaller) exchange() (int, error) {
	if err := c.send(testRequest); err != nil {
		return 0, err
	}
	return c.status()
}

// mustExchange ends the test unless a request is answered.
func (s *testServer) mustExchange(c *testCaller) {
	s.t.Helper()
	if status, err := c.exchange(); status != http.StatusOK {
		s.t.Fatalf("first request on a connection: status %d, error %v", status, err)
	}
}

// sendPart sends a part of a head on a connection and returns when the server has read it.
func (s *testServer) sendPart(part string) *testCaller {
	s.t.Helper()
	read := make(chan struct{})
	onRead := func() { close(read) }
	s.onRead.Store(&onRead)
	c := s.dial()
	if err := c.send(part); err != nil {
		s.t.Fatal(err)
	}
	<-read
	// The bytes are counted right after the hook.
	time.Sleep(100 * time.Millisecond)
	return c
}

// awaitDrop returns the next request that was dropped.
func (s *testServer) awaitDrop() Drop {
	s.t.Helper()
	select {
	case d := <-s.drops:
		return d
	case <-time.After(testTimeout):
		s.t.Fatal("no dropped request was reported")
		return Drop{}
	}
}

// TestDropsAreReported guards against requests that end with their connection and leave no trace of why.
func TestDropsAreReported(t *testing.T) {
	const part = "GET / HTTP/1.1\r\n"
	for _, tc := range []struct {
		name string
		// end ends the connection of the caller.
		end  func(s *testServer, c *testCaller) error
		want Cause
	}{
		{"the caller leaves", func(_ *testServer, c *testCaller) error { return c.Close() }, CauseRead},
		{"the server is closed", func(s *testServer, _ *testCaller) error { return s.http.Close() }, CauseServer},
		{"the VM stops", func(s *testServer, _ *testCaller) error { return <-s.startDrain() }, CauseStop},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestServer(t, 0)
			if err := tc.end(s, s.sendPart(part)); err != nil {
				t.Fatal(err)
			}
			if d := s.awaitDrop(); d.Cause != tc.want || d.IsWhole || d.HeadBytes != len(part) {
				t.Errorf("got %+v", d)
			}
		})
	}
	t.Run("an answered request is none", func(t *testing.T) {
		s := newTestServer(t, 0)
		s.mustExchange(s.dial())
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if err := s.http.Shutdown(ctx); err != nil {
			t.Fatal(err)
		}
		select {
		case d := <-s.drops:
			t.Errorf("got %+v", d)
		default:
		}
	})
}
