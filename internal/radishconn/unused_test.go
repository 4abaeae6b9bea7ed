package radishconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestRequestReadAsConnectionIsClosedIsAnswered guards against a request that is read, loses its connection, which passes for unused until
// its whole head is decoded, and is executed all the same: its caller got no answer.
func TestRequestReadAsConnectionIsClosedIsAnswered(t *testing.T) {
	tests := []struct {
		name  string
		limit int
		// closeUnused makes the limiter close an unused connection.
		closeUnused func(l *Limiter)
	}{
		{"idle timeout", 0, func(l *Limiter) { l.sweep(time.Now().Add(time.Hour)) }},
		{"new connection at the limit", 1, func(l *Limiter) { l.admit(newTestConn().Conn, time.Now().Add(time.Hour)) }},
	}
	for _, tc := range tests {
		for _, isKept := range []bool{true, false} {
			name := tc.name + ", first request"
			if isKept {
				name = tc.name + ", kept connection"
			}
			t.Run(name, func(t *testing.T) {
				s := newTestServer(t, tc.limit)
				c, handledBefore := s.dial(), int64(0)
				if isKept {
					s.mustExchange(c)
					handledBefore = 1
				}
				closeUnused := func() { tc.closeUnused(s.limiter) }
				s.onRead.Store(&closeUnused)
				status, err := c.exchange()
				if status != http.StatusOK {
					t.Errorf("status %d, error %v; the handler ran %d times", status, err, s.handled.Load()-handledBefore)
				}
			})
		}
	}
}

// acceptConn returns both ends of a connection.
func acceptConn(t *testing.T) (caller net.Conn, conn *Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	if caller, err = net.Dial("tcp", inner.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	if conn, err = (&HeadListener{Listener: inner}).accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return caller, conn
}

// send sends the text and waits until the kernel has it for the connection.
func send(t *testing.T, caller net.Conn, conn *Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
	waitForData(t, conn)
}

// TestArrivedRequestIsReadBeforeClose guards against a VM that is behind with its work and closes a connection as unused on which a request
// has been waiting to be read.
func TestArrivedRequestIsReadBeforeClose(t *testing.T) {
	caller, conn := acceptConn(t)
	send(t, caller, conn, testRequest)
	if !conn.end(CauseIdle) {
		t.Fatal("the connection counts as used before its request is read")
	}
	buf := make([]byte, 2*len(testRequest))
	if n, err := conn.Read(buf); n != len(testRequest) {
		t.Errorf("read %d of %d bytes that had arrived, error %v", n, len(testRequest), err)
	}
	conn.BeginHead()
	if !conn.end(CauseIdle) {
		t.Error("an unused connection is not closed")
	}
	if n, err := conn.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read on a connection without data that is to be closed: %d bytes, error %v", n, err)
	}
}

// TestDrippingHeadEndsAtOnce guards against a caller that keeps a VM from stopping by sending its head byte by byte.
func TestDrippingHeadEndsAtOnce(t *testing.T) {
	caller, conn := acceptConn(t)
	buf := make([]byte, len(testRequest))
	send(t, caller, conn, "GE")
	if n, err := conn.Read(buf); n != 2 {
		t.Fatalf("read %d bytes, error %v", n, err)
	}
	send(t, caller, conn, "T")
	conn.endHead(CauseStop, 0)
	if n, err := conn.Read(buf); n != 1 {
		t.Errorf("read %d bytes of the one that had arrived, error %v", n, err)
	}
	timer := time.AfterFunc(testTimeout, func() { _ = conn.Close() })
	defer timer.Stop()
	if n, err := conn.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read of a head that is to end: %d bytes, error %v", n, err)
	}
}

// waitForData waits until the kernel has data for the connection.
func waitForData(t *testing.T, conn *Conn) {
	t.Helper()
	raw, err := conn.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		n, _, _ := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK)
		return n > 0
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestPartOfHeadTimesOut guards against callers that send a part of a head and hold their connection, which is not unused, for longer than
// the configuration allows.
func TestPartOfHeadTimesOut(t *testing.T) {
	const timeout = 300 * time.Millisecond
	// net/http limits the time of a head on a kept connection after its fourth byte only.
	for _, size := range []int{1, 3, 10} {
		for _, isKept := range []bool{true, false} {
			s := newTestServer(t, 0)
			s.http.ReadHeaderTimeout, s.http.IdleTimeout = time.Minute, time.Minute
			s.heads.HeaderTimeout = func() time.Duration { return timeout }
			c := s.dial()
			if isKept {
				s.mustExchange(c)
			}
			startedAt := time.Now()
			if err := c.send(testRequest[:size]); err != nil {
				t.Fatal(err)
			}
			if status, err := c.status(); err == nil {
				t.Errorf("%d bytes, kept %t: status %d", size, isKept, status)
			}
			if took := time.Since(startedAt); took < timeout/2 || took > testTimeout {
				t.Errorf("%d bytes, kept %t: the connection was closed after %v, want after %v", size, isKept, took, timeout)
			}
		}
	}
}

// TestArrivedRequestIsReadAfterHeaderTimeout guards against a VM that is behind with its work, starts to read when the time for the head is
// over, and closes the connection of a request that arrived in time.
func TestArrivedRequestIsReadAfterHeaderTimeout(t *testing.T) {
	caller, conn := acceptConn(t)
	conn.listener.HeaderTimeout = func() time.Duration { return 50 * time.Millisecond }
	send(t, caller, conn, testRequest)
	time.Sleep(100 * time.Millisecond)
	if err := conn.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(make([]byte, 2*len(testRequest))); n != len(testRequest) {
		t.Errorf("read %d of %d bytes that had arrived, error %v", n, len(testRequest), err)
	}
}

// TestEndOfHeadInParts guards against a whole head that passes for a part of one since its end arrives in two reads.
func TestEndOfHeadInParts(t *testing.T) {
	for at := 1; at < len(testRequest); at++ {
		c := newTestConn()
		c.beginHead([]byte(testRequest[:at]))
		c.beginHead([]byte(testRequest[at:]))
		if !c.isWhole {
			t.Errorf("a head that arrives in parts of %d and %d bytes does not count as whole", at, len(testRequest)-at)
		}
	}
}
