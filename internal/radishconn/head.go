package radishconn

import (
	"bytes"
	"errors"
	"net"
	"strings"
	"time"

	"radishramp.example/radishramp/internal/radishmemory"
)

const (
	// headByteCost and headLineCost are the memory that a byte and a line of the head of a request take: net/http decodes it, and the
	// header that is forwarded is a copy.
	headByteCost = 2
	headLineCost = 256
	// minHeadBytes is the lowest limit on the size of a head. Configurations usually allow half of it.
	minHeadBytes = 32 << 10
	// readAheadBytes is what net/http may read beyond a head at once.
	readAheadBytes = 4 << 10
)

// endOfHead ends the head of a request.
const endOfHead = "\r\n\r\n"

var (
	// ErrHeadTooLarge is the error of reading a head beyond the limit.
	ErrHeadTooLarge = errors.New("head of the request is larger than the limit")
	// errNoMemory is the error of reading a head without memory for it.
	errNoMemory = errors.New("memory is short, the request was not read")
)

// HeadListener accepts connections on which the head of each request (request line and header) counts towards the account. Its exported
// fields must be set before first use.
type HeadListener struct {
	net.Listener
	// Account grants the memory; nil grants everything.
	Account *radishmemory.Account
	// MaxHeadBytes returns the configuration's limit on the head of a request; without it, only that of the HTTP server holds.
	MaxHeadBytes func() int
	// HeaderTimeout returns how long the head of a request may take; 0 or no function means no limit.
	HeaderTimeout func() time.Duration
	// OnDrop is called when a connection is closed without an answer to a request whose head had begun to arrive; nil if nobody is told.
	OnDrop func(Drop)
}

// Accept implements net.Listener.
func (l *HeadListener) Accept() (net.Conn, error) { return l.accept() }

func (l *HeadListener) accept() (*Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: c, listener: l, acceptedAt: time.Now(), isNew: true}
	conn.waitForHead()
	return conn, nil
}

// countHead counts bytes of a head. It returns an error if they are too many or there is no memory for them.
func (c *Conn) countHead(p []byte) error {
	head, ok := c.beginHead(p)
	if !ok {
		return ErrHeadTooLarge
	}
	// The account may cut off other connections for this one, so its lock is free.
	if !head.Grow(int64(headByteCost*len(p)+headLineCost*bytes.Count(p, []byte("\n"))), time.Now()) {
		return errNoMemory
	}
	return nil
}

// beginHead notes bytes of a head and returns its grant, or false if there are too many. The grant is nil if the bytes are not part of a head.
func (c *Conn) beginHead(p []byte) (*radishmemory.Grant, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= phaseDecoded {
		return nil, true
	}
	if c.phase == phaseWaiting {
		c.startHead(time.Now())
	}
	c.headBytes += len(p)
	c.findEnd(p)
	return c.head, c.listener.allowsHead(c.headBytes)
}

// startHead notes the first byte of a head and limits the time for the rest: the HTTP server does so only after some more bytes. The caller
// holds the lock.
func (c *Conn) startHead(now time.Time) {
	c.phase, c.beganAt = phaseHead, now
	c.keep()
	if c.listener.HeaderTimeout == nil {
		return
	}
	timeout := c.listener.HeaderTimeout()
	if limit := now.Add(timeout); timeout > 0 && (c.readDeadline.IsZero() || c.readDeadline.After(limit)) {
		c.readDeadline = limit
		_ = c.Conn.SetReadDeadline(limit)
	}
}

// findEnd notes whether the bytes end the head, also if its end arrives in parts. The caller holds the lock.
func (c *Conn) findEnd(p []byte) {
	const overlap = len(endOfHead) - 1
	joint := c.headTail + string(p[:min(len(p), overlap)])
	c.isWhole = c.isWhole || bytes.Contains(p, []byte(endOfHead)) || strings.Contains(joint, endOfHead)
	if len(p) >= overlap {
		joint = string(p[len(p)-overlap:])
	}
	c.headTail = joint[max(0, len(joint)-overlap):]
}

func (l *HeadListener) allowsHead(bytes int) bool {
	return l.MaxHeadBytes == nil || bytes <= max(minHeadBytes, 2*l.MaxHeadBytes())+readAheadBytes
}
