package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

// splitRequest is a request that its caller sends in two parts, on a connection of its own.
type splitRequest struct {
	name string
	conn net.Conn
	// text is the request, and rest the part of it that was not sent yet.
	text, rest string
}

// openConn opens a connection for a request with the text. If firstText is not empty, such a request is answered on the connection before.
func openConn(t *testing.T, name, address, firstText, text string) *splitRequest {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if firstText != "" {
		if _, err := io.WriteString(conn, firstText); err != nil {
			t.Fatal(err)
		}
		if status, err := readStatus(conn); err != nil || status != http.StatusOK {
			t.Fatalf("%s: status %d, error %v", name, status, err)
		}
	}
	return &splitRequest{name: name, conn: conn, text: text, rest: text}
}

// begin sends the first bytes of the request.
func (r *splitRequest) begin(t *testing.T, bytes int) *splitRequest {
	t.Helper()
	if _, err := io.WriteString(r.conn, r.text[:bytes]); err != nil {
		t.Fatal(err)
	}
	r.rest = r.text[bytes:]
	return r
}

// checkSplitRequests sends the rest of the requests and checks that each gets a response.
func checkSplitRequests(t *testing.T, requests []*splitRequest) {
	t.Helper()
	for _, r := range requests {
		_, err := io.WriteString(r.conn, r.rest)
		status := 0
		if err == nil {
			status, err = readStatus(r.conn)
		}
		if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("%s: status %d, error %v", r.name, status, err)
		}
	}
}

// readStatus reads a response and returns its status.
func readStatus(conn net.Conn) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(readyTimeout))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// firstPart is how many bytes of the head of a request are sent before a VM stops accepting connections.
const firstPart = 20

// TestSiteAnswersRequestsReadDuringItsStop guards against requests that a VM reads after it has stopped accepting connections and drops
// without an answer.
func TestSiteAnswersRequestsReadDuringItsStop(t *testing.T) {
	s := newSiteCluster(t)
	vm := s.startVM("vm-1")
	request := func() string {
		return fmt.Sprintf("GET /plain/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 1000\r\nAuthorization: Token %s\r\n\r\n",
			uuid.NewString(), siteAPIKey)
	}
	kept := openConn(t, "kept connection, part of the head was sent", vm.callerAddress, request(), request())
	if err := vm.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	signalledAt := time.Now()
	time.Sleep(2700 * time.Millisecond)
	requests := []*splitRequest{
		kept.begin(t, firstPart),
		openConn(t, "new connection, part of the head was sent", vm.callerAddress, "", request()).begin(t, firstPart),
		openConn(t, "new connection, nothing was sent", vm.callerAddress, "", request()),
	}
	// The VM accepts connections for 3 s after the signal.
	time.Sleep(time.Until(signalledAt.Add(3200 * time.Millisecond)))
	checkSplitRequests(t, requests)
	if err := vm.cmd.Wait(); err != nil {
		t.Errorf("entry VM exited with %v", err)
	}
}

// TestEntryAnswersRequestsReadDuringItsStop guards against the same in the VMs of the product's own interface.
func TestEntryAnswersRequestsReadDuringItsStop(t *testing.T) {
	s := newCluster(t)
	p := s.startEntryVM("entry-1")
	const request = "GET /healthz HTTP/1.1\r\nHost: a.example\r\n\r\n"
	checkEntryStop(t, p,
		openConn(t, "kept connection, part of the head was sent", p.callerAddress, request, request).begin(t, firstPart),
		openConn(t, "new connection, part of the head was sent", p.callerAddress, "", request).begin(t, firstPart),
		openConn(t, "new connection, nothing was sent", p.callerAddress, "", request),
	)
}

// TestEntryAnswersOperatorsDuringItsStop guards against a stop that closes the connections of operators whose requests have begun.
func TestEntryAnswersOperatorsDuringItsStop(t *testing.T) {
	s := newCluster(t)
	p := s.startEntryVM("entry-1")
	const request = "GET /v1/status HTTP/1.1\r\nHost: a.example\r\n\r\n"
	checkEntryStop(t, p, openConn(t, "operator, part of the head was sent", p.operatorAddress, request, request).begin(t, firstPart))
}

// checkEntryStop stops the VM and checks that the requests are answered whose rest is sent after it has stopped accepting.
func checkEntryStop(t *testing.T, p *process, requests ...*splitRequest) {
	t.Helper()
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// The VM accepts connections for 0.3 s after the signal.
	time.Sleep(500 * time.Millisecond)
	checkSplitRequests(t, requests)
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("entry VM exited with %v", err)
	}
}
