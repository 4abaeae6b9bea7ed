package crowd_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// holders is the size of a crowd that is larger than the VM's limit on callers' connections.
	holders = maxFDs / 2
	// stabilityWindow is how long a VM that says it is ready may take no new connection.
	stabilityWindow = 3 * time.Second
	// tryTime is how long new connections are tried beside a crowd, and tryInterval the time between two tries.
	tryTime     = 2 * stabilityWindow
	tryInterval = 50 * time.Millisecond
)

// hold opens the connections of the crowd, which send the text and stay open until the test ends.
func (s *site) hold(text func() string) []net.Conn {
	s.t.Helper()
	var conns []net.Conn
	for range holders {
		conn, err := net.DialTimeout("tcp", s.address, callTimeout)
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = conn.Close() })
		conns = append(conns, conn)
		// A VM may refuse the connection.
		_, _ = io.WriteString(conn, text())
	}
	return conns
}

// isReady asks the VM whether it is ready.
func (s *site) isReady() bool {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + s.readyAddress + "/radishramp/readyz")
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}

// TestUnfinishedBodiesLeaveRoom guards against bodies that stop short of their end and keep all new connections out until they time out.
func TestUnfinishedBodiesLeaveRoom(t *testing.T) {
	const bodyBytes = 4 << 10
	s := newSite(t)
	s.hold(func() string { return requestHead("/crowd/x", announced(bodyBytes)) + strings.Repeat("x", bodyBytes-1) })
	served, servedAt := 0, time.Now()
	var longest time.Duration
	for end := time.Now().Add(tryTime); time.Now().Before(end); time.Sleep(tryInterval) {
		if status, err := s.call("/plain/x", nil); err == nil && status == http.StatusOK {
			served, servedAt = served+1, time.Now()
		}
		if s.isReady() {
			longest = max(longest, time.Since(servedAt))
		}
	}
	t.Logf("%d calls on new connections were served, longest time without one %v", served, longest)
	if longest >= stabilityWindow {
		t.Errorf("a ready VM served no call on a new connection for %v, want less than %v", longest, stabilityWindow)
	}
	s.check("beside the crowd")
}

// TestFullVMIsNotReady guards against a VM that says it is ready while running requests hold all connections that it may have.
func TestFullVMIsNotReady(t *testing.T) {
	s := newSite(t)
	stopped := make(chan struct{})
	s.crowdTarget.SetInterceptor(func(http.ResponseWriter, *http.Request) bool {
		<-stopped
		return true
	})
	conns := s.hold(func() string { return requestHead("/crowd/x", announced(0)) })
	isReady := true
	for end := time.Now().Add(stabilityWindow); isReady && time.Now().Before(end); time.Sleep(tryInterval) {
		_, _ = s.call("/plain/x", nil)
		isReady = s.isReady()
	}
	if isReady {
		t.Errorf("a VM without room said for %v that it was ready", stabilityWindow)
	}
	close(stopped)
	for _, conn := range conns {
		_ = conn.Close()
	}
	for end := time.Now().Add(readyTimeout); !s.isReady(); time.Sleep(tryInterval) {
		if time.Now().After(end) {
			t.Fatal("the VM is not ready again after the crowd has left")
		}
	}
	s.check("after the crowd has left")
}
