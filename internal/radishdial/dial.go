package radishdial

import (
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

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

// setUserTimeout sets TCP_USER_TIMEOUT on the socket.
func setUserTimeout(_, _ string, conn syscall.RawConn) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
