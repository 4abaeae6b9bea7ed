// Package crowd_test tests an entry VM, as a separate process, under callers and targets that hold on to its memory and its descriptors.
// The tests check no share of served calls, only that the process lives, what it holds, and that it answers ordinary calls. The only time
// that they check is the platform's limit on how long a VM that says it is ready may take no new connection. They run one at a time.
package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"radishramp.example/radishramp/internal/radishporttest"
	"radishramp.example/radishramp/platform/radishadaptertest"
)

// Limits of the VM under test. They are lower than those of any deployment, so that a small crowd suffices.
const (
	memoryMB     = 128
	maxFDs       = 1000
	maxBodyBytes = 4 << 20
)

const (
	apiKey = "key-of-roads"
	// readyTimeout and callTimeout only keep a test of a VM that hangs from running forever.
	readyTimeout = 20 * time.Second
	callTimeout  = 20 * time.Second
	// sampleInterval is the time between two readings of what the process holds.
	sampleInterval = 20 * time.Millisecond
)

// binary is the program under test; TestMain builds it once.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(folder, "radishramp")
	if out, err := exec.Command("go", "build", "-o", binary, "../..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// site is one VM as a process, with a store and two targets within the test: one for ordinary calls and one for those of the crowd.
type site struct {
	t           *testing.T
	crowdTarget *radishadaptertest.Target
	address     string
	// readyAddress is the VM's address for readiness probes.
	readyAddress string
	cmd          *exec.Cmd
	exited       chan struct{}
	// peak is the most that the process held at once, in bytes; peakFDs is its highest number of open descriptors.
	peak, peakFDs atomic.Int64
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, crowdTarget: &radishadaptertest.Target{ID: "crowd-0", Delay: time.Second}, exited: make(chan struct{})}
	store := radishadaptertest.NewStore()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	s.addTarget(store, s.crowdTarget, "crowd")
	s.addTarget(store, &radishadaptertest.Target{ID: "plain-0"}, "plain")
	store.Put("config", "main", map[string]any{
		"version": 1,
		"routes": []map[string]any{
			{"name": "plain", "host": "a.example", "path_prefix": "/plain/", "kind": "unsafe", "service": "plain", "max_attempts": 1, "timeout_ms": 5000},
			{"name": "crowd", "host": "a.example", "path_prefix": "/crowd/", "kind": "unsafe", "service": "crowd", "max_attempts": 1, "timeout_ms": 5000},
		},
		"services": []map[string]any{{"name": "plain"}, {"name": "crowd"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "roads", "api_keys": []string{apiKey}}},
	})
	s.start(strings.TrimPrefix(storeServer.URL, "http://"))
	return s
}

func (s *site) addTarget(store *radishadaptertest.Store, target *radishadaptertest.Target, service string) {
	server := httptest.NewServer(target.Handler())
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	target.Address = strings.TrimPrefix(server.URL, "http://")
	store.Put("servers", target.ID, target.Record(service, "bandung", "ready"))
}

// start starts the VM and waits until it serves.
func (s *site) start(storeAddress string) {
	s.t.Helper()
	s.address, s.readyAddress = radishporttest.Address(s.t), radishporttest.Address(s.t)
	_, metricsPort, _ := net.SplitHostPort(radishporttest.Address(s.t))
	settings := fmt.Sprintf("node_name=vm-1\nzone=bandung\nzones.bandung=jawa\nbind_addresses.front=%s\nbind_addresses.ready=%s\nbind_addresses.control=%s\n"+
		"platform.address=%s\nbounds.grace_s=6\nbounds.budget_slack=100\nbounds.budget_ratio=0.2\nlimits.memory_mb=%d\nlimits.max_fds=%d\n",
		s.address, s.readyAddress, radishporttest.Address(s.t), storeAddress, memoryMB, maxFDs)
	file := filepath.Join(s.t.TempDir(), "vm-1.conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.cmd = exec.Command(binary, "site", "-c", file, "--metrics-port", metricsPort, "--log-level", "warn")
	s.cmd.Stdout, s.cmd.Stderr = os.Stderr, os.Stderr
	if err := s.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_ = s.cmd.Wait()
		close(s.exited)
	}()
	s.t.Cleanup(func() {
		_ = s.cmd.Process.Kill()
		<-s.exited
	})
	if err := s.callUntilServed(readyTimeout); err != nil {
		s.t.Fatalf("the VM did not serve: %v", err)
	}
	go s.sample()
}

// sample records what the process holds until it exits.
func (s *site) sample() {
	for {
		select {
		case <-s.exited:
			return
		case <-time.After(sampleInterval):
		}
		resident := s.statusBytes("VmRSS:")
		s.peak.Store(max(s.peak.Load(), resident+s.queuedBytes()))
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.cmd.Process.Pid)); err == nil {
			s.peakFDs.Store(max(s.peakFDs.Load(), int64(len(files))))
		}
	}
}

// statusBytes returns a field of the process's status that is given in kB.
func (s *site) statusBytes(field string) int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10
		}
	}
	return 0
}

// queuedBytes returns the bytes in the kernel's buffers of the VM's connections from callers and to the crowd's target.
func (s *site) queuedBytes() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", s.cmd.Process.Pid))
	callers, target := hexPort(s.address), hexPort(s.crowdTarget.Address)
	var total int64
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 5 {
			continue
		}
		const established, closeWait = "01", "08"
		if fields[3] != established && fields[3] != closeWait {
			continue
		}
		if strings.HasSuffix(fields[1], callers) || strings.HasSuffix(fields[2], target) {
			sent, received, _ := strings.Cut(fields[4], ":")
			for _, queue := range []string{sent, received} {
				n, _ := strconv.ParseInt(queue, 16, 64)
				total += n
			}
		}
	}
	return total
}

func hexPort(address string) string {
	_, port, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	return fmt.Sprintf(":%04X", n)
}

// requestHead returns the head of a request of the crowd, with further header lines.
func requestHead(path string, lines ...string) string {
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nAuthorization: Token %s\r\n", path, uuid.NewString(), apiKey)
	return head + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// callUntilServed sends one ordinary call after the other until one is served.
func (s *site) callUntilServed(timeout time.Duration) error {
	var err error
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		var status int
		if status, err = s.call("/plain/x", []byte("body")); status == http.StatusOK {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
	}
	return err
}

func (s *site) call(path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout/2)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = "a.example", true
	req.Header.Set("Attempt-Id", uuid.NewString())
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Token "+apiKey)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// check checks that the VM lives and stayed within its limits, and that it answers an ordinary call.
func (s *site) check(when string) {
	s.t.Helper()
	if err := s.callUntilServed(callTimeout); err != nil {
		s.t.Errorf("%s: no ordinary call was served: %v", when, err)
	}
	select {
	case <-s.exited:
		s.t.Errorf("%s: the process has ended", when)
	default:
	}
	peak, fds := max(s.peak.Load(), s.statusBytes("VmHWM:")), s.peakFDs.Load()
	s.t.Logf("%s: at most %d MB and %d descriptors", when, peak>>20, fds)
	if peak > memoryMB<<20 {
		s.t.Errorf("%s: the process and its connections held %d MB, the limit is %d MB", when, peak>>20, memoryMB)
	}
	if fds > maxFDs {
		s.t.Errorf("%s: the process had %d descriptors, the limit is %d", when, fds, maxFDs)
	}
}
