package radishpeer

import (
	"bufio"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// readBufferBytes is large enough for a typical message.
const readBufferBytes = 512

func readMessage(r io.Reader, m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return opts.UnmarshalFrom(bufio.NewReaderSize(r, readBufferBytes), m)
}

// countingConn counts the bytes sent and received over the links, so that they can be compared with the budget for control
// traffic.
type countingConn struct {
	net.Conn
	node *Node

	mu sync.Mutex
	// readErr is the first read error, which shows why the connection ended.
	readErr error
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.bytesReceived.Add(int64(n))
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.readErr == nil {
			c.readErr = err
		}
	}
	return n, err
}

// firstReadErr returns the first read error, or nil if there was none.
func (c *countingConn) firstReadErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.node.bytesSent.Add(int64(n))
	return n, err
}
