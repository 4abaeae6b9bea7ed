package radishdial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a dial function whose connections do not end cleanly after they were reset. The kernel reports a reset once: if a write
// gets it, the next read ends like that of a connection that the peer has closed, and a response whose end is that of its connection
// would pass for complete.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetReporter{Conn: conn}, nil
	}
}

// resetReporter is a connection with one writer and one reader at a time.
type resetReporter struct {
	net.Conn

	// mu is held while a write is under way.
	mu     sync.Mutex
	failed bool
}

// Write implements net.Conn.
func (c *resetReporter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn. It returns [io.ErrUnexpectedEOF] in place of [io.EOF] if a write has failed, or the one that is under way does.
func (c *resetReporter) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
