// Package radishporttest gives tests the ports on which their processes listen.
package radishporttest

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
)

// Range of the ports. It lies below the kernel's ephemeral port range, as otherwise an outgoing connection could take the port of a process
// while it restarts.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// Address returns a loopback address with an unused port. No other caller gets the port until the test ends, not even in another process,
// whether or not somebody listens there.
func Address(t testing.TB) string {
	t.Helper()
	const maxTries = 100
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		socket, err := reserve(port)
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = syscall.Close(socket) })
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	t.Fatalf("no free port from %d to %d found in %d tries", firstPort, lastPort, maxTries)
	return ""
}

// reserve returns a socket that is bound to the port and does not listen. It fails if the port is in use in any way.
func reserve(port int) (socket int, err error) {
	socket, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, err
	}
	// Without SO_REUSEADDR, which is set only afterwards, the port is not shared with other sockets. With it, those that have it too may listen,
	// as listeners of package net do.
	err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil {
		err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	}
	if err != nil {
		_ = syscall.Close(socket)
		return 0, err
	}
	return socket, nil
}
