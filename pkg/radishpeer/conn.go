package radishpeer

import (
	"bufio"
	"io"
	"net"

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
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.node.bytesReceived.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.node.bytesSent.Add(int64(n))
	return n, err
}
