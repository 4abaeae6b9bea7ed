package radishdial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of connections.
const (
	// ConnectTimeout limits the time to establish a connection; a round trip takes a few milliseconds.
	ConnectTimeout = 300 * time.Millisecond
	// IdleTimeout is how long an unused connection is kept open.
	IdleTimeout = 10 * time.Second
	// keepAliveInterval is the time without received data after which keep-alive probes are sent, and the time between
	// them.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which a connection is closed.
	keepAliveCount = 2
	// ackTimeout is how long sent data may stay unacknowledged before the connection is closed (TCP_USER_TIMEOUT).
	ackTimeout = time.Second
)

// NewDialer returns a dialer whose connections fail within about three seconds after the peer stops responding.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         ConnectTimeout,
		KeepAliveConfig: keepAliveConfig(),
		Control:         setUserTimeout,
	}
}

// NewListenConfig returns a listen configuration whose accepted connections fail as those of [NewDialer] do.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}
}

// NewCallerListenConfig returns a listen configuration for callers: sent data may stay unacknowledged, and unread by the caller, for the
// timeout.
func NewCallerListenConfig(timeout time.Duration, buffers Buffers) *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAliveConfig(), Control: func(_, _ string, conn syscall.RawConn) error {
		return control(conn, func(fd int) error {
			return errors.Join(setTimeout(fd, timeout), buffers.set(fd))
		})
	}}
}

// NewBufferedDialer returns a dialer like that of [NewDialer] whose connections have buffers of the sizes.
func NewBufferedDialer(buffers Buffers) *net.Dialer {
	d := NewDialer()
	d.Control = func(_, _ string, conn syscall.RawConn) error {
		return control(conn, func(fd int) error {
			return errors.Join(setTimeout(fd, ackTimeout), buffers.set(fd))
		})
	}
	return d
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT on the socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	return control(conn, func(fd int) error { return setTimeout(fd, ackTimeout) })
}

func setTimeout(fd int, timeout time.Duration) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
}

// Buffers are the sizes in bytes of the kernel's buffers of a connection; 0 means the kernel's default.
type Buffers struct{ Receive, Send int }

func (b Buffers) set(fd int) error {
	var errs []error
	if b.Receive > 0 {
		errs = append(errs, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, b.Receive))
	}
	if b.Send > 0 {
		errs = append(errs, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, b.Send))
	}
	return errors.Join(errs...)
}

// control calls f with the descriptor of the socket.
func control(conn syscall.RawConn, f func(fd int) error) error {
	var controlErr error
	if err := conn.Control(func(fd uintptr) { controlErr = f(int(fd)) }); err != nil {
		return err
	}
	return controlErr
}
