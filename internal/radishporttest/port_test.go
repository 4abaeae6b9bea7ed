package radishporttest

import (
	"net"
	"strconv"
	"syscall"
	"testing"
)

// TestPortsAreGivenOutOnce guards against two processes of a test with the same port, one of which then exits.
func TestPortsAreGivenOutOnce(t *testing.T) {
	const draws = 1000
	addresses := make(map[string]bool)
	for range draws {
		addresses[Address(t)] = true
	}
	if len(addresses) != draws {
		t.Errorf("%d different addresses in %d draws", len(addresses), draws)
	}
}

// TestPortStaysReserved guards against a port that another test process gets before its own process listens, while it does, or while it restarts.
func TestPortStaysReserved(t *testing.T) {
	address := Address(t)
	checkReserved(t, address)
	for range 3 {
		listener := connectOnce(t, address)
		checkReserved(t, address)
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		checkReserved(t, address)
	}
}

// checkReserved checks that a test process which draws the port of the address does not get it.
func checkReserved(t *testing.T, address string) {
	t.Helper()
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	if socket, err := reserve(port); err == nil {
		_ = syscall.Close(socket)
		t.Errorf("port %d is given out again", port)
	}
}

// connectOnce listens at the address and closes a connection from its side, which the kernel then keeps in TIME_WAIT.
func connectOnce(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	return listener
}
