package radishconn

import (
	"fmt"
	"time"

	"radishramp.example/radishramp/internal/radishmemory"
)

const (
	// refusalTimeout is how long the refusal of a head may take, with the rest of the request, of which lingerBytes are read.
	refusalTimeout = 500 * time.Millisecond
	lingerBytes    = 64 << 10
)

// refuseHead answers a request for whose head there is no memory, and which therefore is not executed. Nothing may follow on the connection,
// since the head is not decoded. It uses the buffer of the read.
func (c *Conn) refuseHead(buf []byte) {
	deadline := time.Now().Add(refusalTimeout)
	_ = c.SetWriteDeadline(deadline)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRetry-After: %.3f\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		radishmemory.RetryAfter().Seconds())
	c.mu.Lock()
	c.isCut, c.cause = true, CauseMemory
	c.mu.Unlock()
	c.linger(buf, deadline)
}

// linger reads on until the caller has closed the connection: an answer is lost if the connection is closed while the caller still sends.
func (c *Conn) linger(buf []byte, deadline time.Time) {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	_ = c.Conn.SetReadDeadline(deadline)
	for left := lingerBytes; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}
