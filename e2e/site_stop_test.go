package e2e_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
)

// TestSiteCompletesCallsDuringShutdown sends SIGTERM to two of three VMs in turn under load. Every call must get a
// complete response.
func TestSiteCompletesCallsDuringShutdown(t *testing.T) {
	s := newSiteCluster(t)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
	var wg sync.WaitGroup
	for _, vm := range vms[:2] {
		for n := range 20 {
			wg.Go(func() {
				path, headers := "/plain/x", map[string]string(nil)
				if n%2 == 0 {
					path, headers = "/stream/x", stagedHeaders
				}
				if status, body := s.call(vm, path, headers); status != http.StatusOK {
					t.Errorf("%s: got status %d, body %q", path, status, body)
				}
			})
		}
		time.Sleep(30 * time.Millisecond)
		if err := vm.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	wg.Wait()
	for _, vm := range vms[:2] {
		if err := vm.cmd.Wait(); err != nil {
			t.Errorf("entry VM exited with %v", err)
		}
	}
	for id, n := range s.plainTargets[0].Executions() {
		if n > 1 {
			t.Errorf("request %s ran %d times, want at most once", id, n)
		}
	}
	if status, body := s.call(vms[2], "/stream/x", stagedHeaders); status != http.StatusOK {
		t.Errorf("after the other VMs have stopped: got status %d, body %q", status, body)
	}
}

// TestSiteAnswersWaitingCallsAtItsEnd guards against a planned stop that closes the connections of calls that wait at a target without a
// response. The target responds to none of the calls before the VM is to end.
func TestSiteAnswersWaitingCallsAtItsEnd(t *testing.T) {
	s := newSiteCluster(t)
	s.settings = "bounds.grace_s=4\n"
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	for _, target := range append(s.plainTargets, s.engineTarget) {
		target.SetInterceptor(func(http.ResponseWriter, *http.Request) bool {
			<-release
			return true
		})
	}
	vm := s.startVM("vm-1")
	if err := vm.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	// The calls end by themselves only after the VM has to end: the timeout of their routes is 3 and 5 seconds.
	time.Sleep(1500 * time.Millisecond)
	var wg sync.WaitGroup
	for range 5 {
		for path, headers := range map[string]map[string]string{"/plain/x": nil, "/stream/x": stagedHeaders} {
			wg.Go(func() {
				if status, body := s.call(vm, path, headers); status != http.StatusBadGateway {
					t.Errorf("%s: got status %d, body %q, want %d", path, status, body, http.StatusBadGateway)
				}
			})
		}
	}
	wg.Wait()
	if err := vm.cmd.Wait(); err != nil {
		t.Errorf("entry VM exited with %v", err)
	}
}

// TestSiteRefusesCallsLateInItsGrace guards against calls that arrive late in a planned stop, whose bodies take long, and that are sent and cut when
// the process ends: those that may last longer are refused as not run, and the others are served.
func TestSiteRefusesCallsLateInItsGrace(t *testing.T) {
	s := newSiteCluster(t)
	s.settings = "bounds.grace_s=7\n"
	var sentToEngine atomic.Int64
	s.engineTarget.SetInterceptor(func(_ http.ResponseWriter, r *http.Request) bool {
		sentToEngine.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return true
	})
	vm := s.startVM("vm-1")
	if err := vm.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2500 * time.Millisecond)
	// The routes limit the first call to 3 s and the second one to 5 s.
	paths, wants := []string{"/plain/x", "/stream/x"}, []int{http.StatusOK, http.StatusServiceUnavailable}
	var conns []net.Conn
	for _, path := range paths {
		conns = append(conns, s.beginCall(vm, path))
	}
	// The VM reads no more requests after 3 s, and ends calls without a response 6.2 s after the signal.
	time.Sleep(1500 * time.Millisecond)
	for i, conn := range conns {
		if got := s.endCall(conn); got != wants[i] {
			t.Errorf("%s: got status %d, want %d", paths[i], got, wants[i])
		}
	}
	if n := sentToEngine.Load(); n > 0 {
		t.Errorf("%d calls that may last longer than the process were sent", n)
	}
	if err := vm.cmd.Wait(); err != nil {
		t.Errorf("entry VM exited with %v", err)
	}
}

// beginCall sends a request without the end of its body.
func (s *siteCluster) beginCall(vm *siteVM, path string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", vm.callerAddress)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nAuthorization: Token %s\r\nContent-Length: 4\r\n\r\nbo",
		path, uuid.NewString(), siteAPIKey)
	if err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// endCall sends the end of the body and returns the status, or 0 without a response.
func (s *siteCluster) endCall(conn net.Conn) int {
	s.t.Helper()
	_ = conn.SetDeadline(time.Now().Add(readyTimeout))
	_, err := io.WriteString(conn, "dy")
	if err == nil {
		var res *http.Response
		if res, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			_ = res.Body.Close()
			return res.StatusCode
		}
	}
	s.t.Errorf("call on an accepted connection: %v", err)
	return 0
}
