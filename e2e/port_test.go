package e2e_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
)

// Range of the ports on which entry VMs listen. It lies below the kernel's ephemeral port range, as otherwise an
// outgoing connection could take the port of a process while it restarts.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// takenPorts holds the ports that the tests of this process have got.
var takenPorts struct {
	mu    sync.Mutex
	ports map[int]bool
}

// takePort reports whether no other test of this process has got the port, and registers it.
func takePort(port int) bool {
	takenPorts.mu.Lock()
	defer takenPorts.mu.Unlock()
	if takenPorts.ports == nil {
		takenPorts.ports = make(map[int]bool)
	}
	if takenPorts.ports[port] {
		return false
	}
	takenPorts.ports[port] = true
	return true
}

// freePort returns a loopback address with a port that is currently unused and that no other caller gets, since the process that listens
// there may not have started yet, or may be restarting.
func freePort(t *testing.T) string {
	t.Helper()
	const maxTries = 100
	for range maxTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if !takePort(port) {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatalf("no free port from %d to %d found in %d tries", firstPort, lastPort, maxTries)
	return ""
}

// TestPortsAreGivenOutOnce guards against two processes of a test with the same port, one of which then exits.
func TestPortsAreGivenOutOnce(t *testing.T) {
	const draws = 1000
	addresses := make(map[string]bool)
	for range draws {
		addresses[freePort(t)] = true
	}
	if len(addresses) != draws {
		t.Errorf("%d different addresses in %d draws", len(addresses), draws)
	}
}
