package radishdial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Times after which a connection is given up.
const (
	// ConnectTimeout bounds the opening of a connection; the round trip is a few milliseconds.
	ConnectTimeout = 300 * time.Millisecond
	// IdleTimeout is how long a connection is kept without use.
	IdleTimeout = 10 * time.Second
	// probeInterval is the time between probes of a connection on which nothing arrives.
	probeInterval = time.Second
	// probeCount is how many probes may stay unanswered.
	probeCount = 2
	// sendTimeout is how long sent bytes may stay unacknowledged.
	sendTimeout = time.Second
)

// NewDialer returns a dialer whose connections break within about three seconds when the peer falls silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         ConnectTimeout,
		KeepAliveConfig: keepAlive(),
		Control:         control,
	}
}

// NewListenConfig returns a configuration whose accepted connections break as those of NewDialer do.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: keepAlive(), Control: control}
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount}
}

func control(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(sendTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
