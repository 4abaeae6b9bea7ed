package radishpeer

import (
	"bufio"
	"io"
	"net"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// readBufferBytes holds a usual message whole.
const readBufferBytes = 512

func readMessage(r io.Reader, m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	return opts.UnmarshalFrom(bufio.NewReaderSize(r, readBufferBytes), m)
}

// countedConn counts the bytes of the links for the control budget.
type countedConn struct {
	net.Conn
	node *Node

	mu sync.Mutex
	// err is the first error of a read, which tells why the connection ended.
	err error
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.bytesReceived.Add(int64(n))
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.err == nil {
			c.err = err
		}
	}
	return n, err
}

// failure returns the first error of a read, nil when there was none.
func (c *countedConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.node.bytesSent.Add(int64(n))
	return n, err
}
