package radishdial

import (
	"bytes"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestCallerMayPause guards against connections of callers that are reset because the caller does not read for a second and a half.
func TestCallerMayPause(t *testing.T) {
	const size = 8 << 20
	listener, err := NewCallerListenConfig(10*time.Second, Buffers{Send: 64 << 10}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write(bytes.Repeat([]byte("x"), size))
		_ = conn.Close()
	}()
	const receiveBuffer = 4 << 10
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	time.Sleep(1500 * time.Millisecond)
	if body, err := io.ReadAll(conn); err != nil || len(body) != size {
		t.Errorf("after a pause of 1.5 s: %d of %d bytes, error %v", len(body), size, err)
	}
}
