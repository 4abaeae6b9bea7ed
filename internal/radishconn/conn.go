package radishconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"radishramp.example/radishramp/internal/radishmemory"
)

// phase is what a connection does.
type phase int

const (
	// phaseWaiting is the time in which no byte of the next request has been read: the connection is unused. If the HTTP server has read a
	// request together with the one before, this phase lasts until Decoded.
	phaseWaiting phase = iota
	// phaseHead is the time from the first byte of a request until its head has been decoded.
	phaseHead
	// phaseDecoded is the time until its handler starts.
	phaseDecoded
	// phaseRequest is the time in which the handler runs.
	phaseRequest
)

// expired is a deadline in the past: reads and writes with it fail at once.
var expired = time.Unix(1, 0)

// Conn is a connection of a caller. Except when the HTTP server is closed, only the goroutine that reads from it closes it: others end it by
// letting its next read fail, so that a request that has been read is always handled. A read that returns data takes the end back.
type Conn struct {
	net.Conn
	listener   *HeadListener
	acceptedAt time.Time

	mu    sync.Mutex
	phase phase
	// requests counts the requests for which the connection has waited.
	requests int
	// isNew is whether no request has been handled on the connection yet.
	isNew bool
	// isEnding is whether reads fail since the connection is to be closed. readDeadline is the deadline of the HTTP server.
	isEnding     bool
	readDeadline time.Time
	// headBytes is how much of the head has been read, and headTail its last bytes; head holds its memory until the request ends.
	headBytes int
	headTail  string
	head      *radishmemory.Grant
	// beganAt is when the first byte of the head was read, isWhole whether its end was, and hasAnswer whether anything has been written since.
	beganAt            time.Time
	isWhole, hasAnswer bool
	// isCut is whether reading failed before the end of the head, or the head was refused: nothing more is written.
	isCut bool
	// wait is what the reader of the connection waits for.
	wait wait
	// onKeep is called after data has taken back the end of the connection; nil if nobody is told.
	onKeep func()
	// cause is why the connection is closed; empty if not known.
	cause    Cause
	isClosed bool
}

// BeginHead must be called when the connection starts to wait for a request. It releases the memory of the last head.
func (c *Conn) BeginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isNew = false
	c.waitForHead()
}

func (c *Conn) waitForHead() {
	c.head.Close()
	c.requests++
	request := c.requests
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	c.phase, c.headBytes, c.headTail = phaseWaiting, 0, ""
	c.head = c.listener.Account.Open(host, func(radishmemory.State) { c.cutOffHead(request) })
	c.isWhole, c.hasAnswer, c.isCut, c.cause = false, false, false, ""
}

// EndHead must be called when the head of a request has been read.
func (c *Conn) EndHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseRequest
	c.wait.isBody = false
	c.keep()
	c.head.SetState(radishmemory.Running, time.Now())
}

// end makes the connection close unless it has a request, and reports whether it may. It does not interrupt a head of which a part
// has arrived.
func (c *Conn) end(cause Cause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseWaiting {
		return false
	}
	c.isEnding, c.cause = true, cause
	_ = c.Conn.SetReadDeadline(expired)
	return true
}

// endHead makes a connection close on which a head has been arriving for the time or longer. It does not affect a head that was read whole.
func (c *Conn) endHead(cause Cause, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHead && time.Since(c.beganAt) >= age {
		c.interruptHead(cause)
	}
}

// interruptHead makes the connection close if its head is arriving. The caller holds the lock.
func (c *Conn) interruptHead(cause Cause) {
	if c.phase != phaseHead || c.isEnding {
		return
	}
	c.isEnding, c.cause = true, cause
	_ = c.Conn.SetReadDeadline(expired)
}

// keep takes back the end of the connection, since it has a request. The caller holds the lock.
func (c *Conn) keep() {
	if !c.isEnding {
		return
	}
	c.isEnding, c.cause = false, ""
	_ = c.Conn.SetReadDeadline(c.readDeadline)
}

// Decoded must be called when the HTTP server has decoded the head of a request, which it may have read together with the request before. The
// server reports a head that was cut, too.
func (c *Conn) Decoded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut {
		return
	}
	c.phase = phaseDecoded
	c.keep()
}

// SetReadDeadline implements net.Conn. Until the head of a request has been read, the deadline is at most the listener's header timeout from
// now on, or from the time at which a new connection was accepted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = c.limitHead(t)
	if c.isEnding {
		return nil
	}
	return c.Conn.SetReadDeadline(c.readDeadline)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// limitHead returns the read deadline that the header timeout allows. Connections that wait for another request have the idle timeout.
func (c *Conn) limitHead(t time.Time) time.Time {
	if c.phase >= phaseDecoded || c.phase == phaseWaiting && !c.isNew || t.IsZero() || c.listener.HeaderTimeout == nil {
		return t
	}
	start := time.Now()
	if c.phase == phaseWaiting {
		start = c.acceptedAt
	}
	if timeout := c.listener.HeaderTimeout(); timeout > 0 && t.After(start.Add(timeout)) {
		return start.Add(timeout)
	}
	return t
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.wantsArrived() {
		n, err = c.readArrived(p, err)
	}
	c.endRead(n)
	if n > 0 {
		if headErr := c.countHead(p[:n]); headErr != nil {
			if errors.Is(headErr, errNoMemory) {
				c.refuseHead(p)
			}
			return 0, headErr
		}
	}
	if err != nil {
		c.noteError()
	}
	return n, err
}

// noteError notes that reading failed.
func (c *Conn) noteError() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause == "" {
		c.cause = CauseRead
	}
	c.isCut = c.phase < phaseDecoded && !c.isWhole
}

// isAboutToEnd reports whether the connection is to be closed.
func (c *Conn) isAboutToEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isEnding
}

// wantsArrived reports whether data that has arrived by a deadline is read after it: a head, or what arrived before the connection was to
// be closed, but for lack of memory.
func (c *Conn) wantsArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.isEnding || c.phase < phaseDecoded) && c.cause != CauseMemory
}

// readArrived reads data that the kernel has received already, or returns the error if there is none. A VM that is behind with its work
// must not close a connection on which a request waits to be read.
func (c *Conn) readArrived(p []byte, err error) (int, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, err
	}
	raw, rawErr := socket.SyscallConn()
	if rawErr != nil {
		return 0, err
	}
	// A read with an expired deadline does not look for data.
	_ = c.Conn.SetReadDeadline(time.Time{})
	n := 0
	rawErr = raw.Read(func(fd uintptr) bool {
		n, _ = unix.Read(int(fd), p)
		return true
	})
	_ = c.Conn.SetReadDeadline(expired)
	if rawErr != nil || n <= 0 {
		return 0, err
	}
	return n, nil
}

// Write implements net.Conn. It fails after a head of which only a part could be read, or that was refused: net/http takes that for a malformed
// request, and callers do not repeat what gets status 400.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	isCut := c.isCut
	c.hasAnswer = c.hasAnswer || !isCut
	c.mu.Unlock()
	if isCut {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	drop, isDrop := c.drop()
	c.isClosed = true
	c.head.Close()
	c.mu.Unlock()
	if isDrop && c.listener.OnDrop != nil {
		c.listener.OnDrop(drop)
	}
	return c.Conn.Close()
}
