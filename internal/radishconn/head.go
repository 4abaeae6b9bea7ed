package radishconn

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
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
var endOfHead = []byte("\r\n\r\n")

// ErrHeadTooLarge is the error of reading a head beyond the limit or without memory for it.
var ErrHeadTooLarge = errors.New("head of the request is larger than the limit, or memory is short")

// HeadListener accepts connections on which the head of each request (request line and header) counts towards the account.
type HeadListener struct {
	net.Listener
	Account *radishmemory.Account
	// MaxHeadBytes returns the configuration's limit on the head of a request.
	MaxHeadBytes func() int
	// OnDrop is called when a connection is closed without an answer to a request whose head had begun to arrive; nil if nobody is told.
	OnDrop func(Drop)
}

// Accept implements net.Listener.
func (l *HeadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &Conn{Conn: c, listener: l}
	conn.BeginHead()
	return conn, nil
}

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	listener *HeadListener

	mu sync.Mutex
	// isHead is whether the head of a request is expected or arrives; head holds its memory until the request ends.
	isHead    bool
	headBytes int
	head      *radishmemory.Grant
	// beganAt is when the first byte of the head was read, isWhole whether its end was, and hasAnswer whether anything has been written since.
	beganAt            time.Time
	isWhole, hasAnswer bool
	// cause is why the connection is closed; empty if not known.
	cause    Cause
	isClosed bool
}

// BeginHead must be called when the connection starts to wait for a request. It releases the memory of the last head.
func (c *Conn) BeginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Close()
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	c.isHead, c.headBytes, c.head = true, 0, c.listener.Account.Open(host, c.CutOff)
	c.isWhole, c.hasAnswer = false, false
}

// EndHead must be called when the head of a request has been read.
func (c *Conn) EndHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isHead = false
	c.head.SetState(radishmemory.Running, time.Now())
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHead(p[:n]) {
		return 0, ErrHeadTooLarge
	}
	if err != nil {
		c.setCause(CauseRead)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.hasAnswer = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// countHead counts bytes of a head and reports whether there is memory for them.
func (c *Conn) countHead(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isHead {
		return true
	}
	if c.headBytes == 0 {
		c.beganAt = time.Now()
	}
	c.headBytes += len(p)
	c.isWhole = c.isWhole || bytes.Contains(p, endOfHead)
	if c.headBytes > max(minHeadBytes, 2*c.listener.MaxHeadBytes())+readAheadBytes {
		return false
	}
	return c.head.Grow(int64(headByteCost*len(p)+headLineCost*bytes.Count(p, []byte("\n"))), time.Now())
}

// CutOff makes pending and later reads and writes fail.
func (c *Conn) CutOff() {
	c.setCause(CauseMemory)
	_ = c.SetDeadline(time.Unix(1, 0))
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

type connKey struct{}

// WithConn is the ConnContext function of an HTTP server: requests of the connection can find it by [ConnOf].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection of a request, or nil if it is not a *Conn.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
