package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"radishramp.example/radishramp/internal/radishporttest"
	"radishramp.example/radishramp/platform/radishadaptertest"
)

// siteCluster consists of test doubles of the users' platform, a store and targets, within the test process and of entry
// VMs as separate processes.
type siteCluster struct {
	t            *testing.T
	store        *radishadaptertest.Store
	storeAddress string
	binary       string
	plainTargets []*radishadaptertest.Target
	engineTarget *radishadaptertest.Target
	stageTargets []*radishadaptertest.Target
	// configMu guards the next two fields.
	configMu      sync.Mutex
	configVersion int
	// addedRoutes are path prefixes that later versions of the configuration route to the plain targets too.
	addedRoutes []string
	// coldPerSecond is the rate of calls that a cold plain target bears; 0 means that it bears all. It must be set before a version is written.
	coldPerSecond float64
	// idleTimeout is how long a caller's connection may be idle by the next versions; 0 means that they do not limit it.
	idleTimeout time.Duration
	// settings are further lines of the VMs' settings.
	settings string
}

const siteAPIKey = "key-of-roads"

func newSiteCluster(t *testing.T) *siteCluster {
	t.Helper()
	s := &siteCluster{t: t, store: radishadaptertest.NewStore(), binary: filepath.Join(t.TempDir(), "radishramp")}
	build := exec.Command("go", "build", "-o", s.binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	server := httptest.NewServer(s.store.Handler())
	t.Cleanup(func() {
		// Close would otherwise wait for the requests that the store has not responded to.
		server.CloseClientConnections()
		server.Close()
	})
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for i := range 2 {
		s.plainTargets = append(s.plainTargets, s.addTarget(&radishadaptertest.Target{ID: fmt.Sprint("plain-", i), Delay: 20 * time.Millisecond}, "plain"))
		s.stageTargets = append(s.stageTargets, s.addTarget(&radishadaptertest.Target{ID: fmt.Sprint("stage-", i), BatchDelay: 30 * time.Millisecond}, "stage"))
	}
	s.engineTarget = s.addTarget(&radishadaptertest.Target{ID: "engine-0", Events: 5, Delay: 5 * time.Millisecond}, "engine")
	s.putConfig("/plain/")
	return s
}

func (s *siteCluster) addTarget(target *radishadaptertest.Target, service string) *radishadaptertest.Target {
	server := httptest.NewServer(target.Handler())
	s.t.Cleanup(server.Close)
	target.Address = strings.TrimPrefix(server.URL, "http://")
	s.store.Put("servers", target.ID, target.Record(service, "bandung", "ready"))
	return target
}

// putConfig writes a new configuration version in which the plain targets have a route with the given path prefix, and returns the version.
func (s *siteCluster) putConfig(prefix string) (version int) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.configVersion++
	s.writeConfig(prefix)
	return s.configVersion
}

// rewriteConfig writes the newest configuration version once more.
func (s *siteCluster) rewriteConfig(prefix string) {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.writeConfig(prefix)
}

// writeConfig requires configMu.
func (s *siteCluster) writeConfig(prefix string) {
	var routes []map[string]any
	for i, path := range append([]string{prefix}, s.addedRoutes...) {
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("plain-", i), "host": "a.example", "path_prefix": path, "kind": "unsafe", "service": "plain", "max_attempts": 2, "timeout_ms": 3000,
		})
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.configVersion,
		"routes": append(routes, []map[string]any{
			{"name": "stream", "host": "a.example", "path_prefix": "/stream/", "kind": "streaming", "service": "engine", "max_attempts": 2, "timeout_ms": 5000,
				"target_latency_ms": 2000, "resumable": true, "stages": []map[string]any{{"service": "stage", "after": []int{}, "bytes": 100}, {"service": "stage", "after": []int{0}, "bytes": 100}}},
		}...),
		"services": []map[string]any{
			{"name": "plain", "health_path": "/healthz", "cold_per_s": s.coldPerSecond}, {"name": "engine", "engine": map[string]any{"slots": 8}},
			{"name": "stage", "pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 30, "item_ms": 1, "room_mb": 1, "handle_s": 4}},
		},
		"limits":  map[string]any{"max_body_bytes": 65536, "idle_timeout_ms": s.idleTimeout.Milliseconds()},
		"tenants": []map[string]any{{"name": "roads", "api_keys": []string{siteAPIKey}}},
	})
}

// siteVM is an entry VM that runs with the settings of the users' platform.
type siteVM struct {
	process
	name           string
	readyAddress   string
	metricsAddress string
	// args are the arguments of the VM's process; its addresses stay the same when it restarts. output receives its log.
	args   []string
	output io.Writer
}

// startVM starts a new VM and waits until it is ready.
func (s *siteCluster) startVM(name string) *siteVM {
	s.t.Helper()
	vm := s.newVM(name, s.storeAddress)
	s.startProcess(vm)
	if !vm.waitUntilReady(readyTimeout) {
		s.t.Fatalf("entry VM %s was not ready within %v", name, readyTimeout)
	}
	return vm
}

// newVM chooses addresses for a VM and writes its settings file; storeAddress is where it connects to the store.
func (s *siteCluster) newVM(name, storeAddress string) *siteVM {
	s.t.Helper()
	frontAddress, readyAddress, controlAddress, metricsAddress := radishporttest.Address(s.t), radishporttest.Address(s.t), radishporttest.Address(s.t), radishporttest.Address(s.t)
	settings := fmt.Sprintf("node_name=%s\nzone=bandung\nzones.bandung=jawa\nbind_addresses.front=%s\nbind_addresses.ready=%s\nbind_addresses.control=%s\n"+
		"platform.address=%s\nbounds.grace_s=6\nbounds.budget_slack=100\nbounds.budget_ratio=0.2\nlimits.memory_mb=206\n", name, frontAddress, readyAddress, controlAddress, storeAddress) + s.settings
	file := filepath.Join(s.t.TempDir(), name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	_, metricsPort, _ := strings.Cut(metricsAddress, ":")
	return &siteVM{
		process: process{callerAddress: frontAddress}, name: name, readyAddress: readyAddress, metricsAddress: metricsAddress, output: os.Stderr,
		args: []string{"site", "-c", file, "--metrics-port", metricsPort, "--log-level", "warn"},
	}
}

// startProcess starts the VM's process.
func (s *siteCluster) startProcess(vm *siteVM) {
	s.t.Helper()
	cmd := exec.Command(s.binary, vm.args...)
	cmd.Stdout, cmd.Stderr = vm.output, vm.output
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	vm.cmd = cmd
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_, _ = cmd.Process.Wait()
	})
}

// readyClient requests the readiness endpoint of VMs; the timeout is for suspended VMs, which do not respond.
var readyClient = &http.Client{Timeout: time.Second}

// waitUntilReady waits until the VM reports that it is ready, and reports whether it did so before the timeout.
func (vm *siteVM) waitUntilReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if res, err := readyClient.Get("http://" + vm.readyAddress + "/radishramp/readyz"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// areLinked reports whether each of the VMs has a link to all others.
func areLinked(vms []*siteVM) bool {
	for _, vm := range vms {
		if !strings.Contains(vm.metrics(), fmt.Sprintf("\nradishramp_peers_linked %d\n", len(vms)-1)) {
			return false
		}
	}
	return true
}

// metrics returns the VM's metrics as text; it is empty if the VM does not answer.
func (vm *siteVM) metrics() string {
	res, err := readyClient.Get("http://" + vm.metricsAddress + "/metrics")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return string(text)
}

// call sends one request and returns the status and body. Status 0 means that there was no complete response; the body
// is then the error.
func (s *siteCluster) call(vm *siteVM, path string, headers map[string]string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.callerAddress+path, strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Attempt-Id", uuid.NewString())
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Token "+siteAPIKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(body)
}

// stagedHeaders are the request headers of a call that needs results of stages.
var stagedHeaders = map[string]string{"Pieces": "1,3", "Piece-Key": "pk", "Model": "m", "Token-Usage": "100,40", "Prompt-Prefix": "aa:80,bb:20"}

// eventually waits until the condition holds, at most for the time in which a change must take effect.
func (s *siteCluster) eventually(condition string, holds func() bool) {
	s.t.Helper()
	const changeTimeout = 2 * time.Second
	for deadline := time.Now().Add(changeTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Errorf("%s: did not hold within %v", condition, changeTimeout)
}

func TestSiteServesEachKind(t *testing.T) {
	s := newSiteCluster(t)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
	for _, vm := range vms {
		if status, body := s.call(vm, "/plain/x?q=1", nil); status != http.StatusOK || body != "POST /plain/x?q=1 body" {
			t.Errorf("plain: got status %d, body %q", status, body)
		}
		if status, body := s.call(vm, "/stream/x", stagedHeaders); status != http.StatusOK || strings.Count(body, "data: token") != 5 {
			t.Errorf("staged stream: got status %d, body %q", status, body)
		}
		if status, _ := s.call(vm, "/plain/x", map[string]string{"Authorization": "Token wrong"}); status != http.StatusUnauthorized {
			t.Errorf("wrong API key: got status %d, want 401", status)
		}
		if status, _ := s.call(vm, "/none/x", nil); status != http.StatusNotFound {
			t.Errorf("no route: got status %d, want 404", status)
		}
	}
	for _, header := range s.engineTarget.Headers() {
		if n := len(strings.Split(header.Get("Inputs"), ",")); n != 3 || header.Get("Tenant") != "roads" || header.Get("Authorization") != "" {
			t.Errorf("engine got the headers %v", header)
		}
	}
	s.eventually("the stage targets hold no more results", func() bool { return s.stageTargets[0].StoredResults()+s.stageTargets[1].StoredResults() == 0 })
}

func TestSiteFollowsChanges(t *testing.T) {
	s := newSiteCluster(t)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2")}
	s.putConfig("/moved/")
	for _, vm := range vms {
		s.eventually("only the new route is served", func() bool {
			newStatus, _ := s.call(vm, "/moved/x", nil)
			oldStatus, _ := s.call(vm, "/plain/x", nil)
			return newStatus == http.StatusOK && oldStatus == http.StatusNotFound
		})
	}
	s.checkDrain(vms, "/moved/x")
}

// checkDrain makes a target say in its record that it leaves, and checks that it gets no calls from 2 seconds later on.
func (s *siteCluster) checkDrain(vms []*siteVM, path string) {
	s.t.Helper()
	leaving := s.plainTargets[0]
	s.store.Put("servers", leaving.ID, leaving.Record("plain", "bandung", "draining"))
	time.Sleep(2 * time.Second)
	before := len(leaving.Executions())
	for range 10 {
		for _, vm := range vms {
			if status, body := s.call(vm, path, nil); status != http.StatusOK {
				s.t.Errorf("%s, while a target leaves: got status %d, body %q", vm.name, status, body)
			}
		}
	}
	if got := len(leaving.Executions()) - before; got > 0 {
		s.t.Errorf("the leaving target got %d calls, want none", got)
	}
}

// TestSiteServesDuringStoreOutage makes the store fail in several ways. Calls must still be served with the last known
// configuration, and a change made after the outage must take effect.
func TestSiteServesDuringStoreOutage(t *testing.T) {
	s := newSiteCluster(t)
	vm := s.startVM("vm-1")
	for _, fault := range []radishadaptertest.Fault{radishadaptertest.FaultUnavailable, radishadaptertest.FaultTruncated, radishadaptertest.FaultNoResponse} {
		s.store.SetFault(fault)
		for range 5 {
			if status, body := s.call(vm, "/plain/x", nil); status != http.StatusOK {
				t.Errorf("store fault %q: got status %d, body %q", fault, status, body)
			}
		}
	}
	s.store.SetFault(radishadaptertest.FaultNone)
	s.putConfig("/moved/")
	const recoveryTimeout = 5 * time.Second
	for deadline := time.Now().Add(recoveryTimeout); ; time.Sleep(50 * time.Millisecond) {
		if status, _ := s.call(vm, "/moved/x", nil); status == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("configuration change after the outage did not take effect within %v", recoveryTimeout)
		}
	}
}

// TestHangupDuringStartIsNoEnd sends SIGHUP while a VM that starts reads its settings: the platform may change the file and signal at
// any moment. The settings file is a named pipe, so that the VM waits in the read.
func TestHangupDuringStartIsNoEnd(t *testing.T) {
	s := newSiteCluster(t)
	vm := s.newVM("vm-1", s.storeAddress)
	file := vm.args[2]
	settings, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	regular := file + ".regular"
	if err := errors.Join(os.Rename(file, regular), syscall.Mkfifo(file, 0o600)); err != nil {
		t.Fatal(err)
	}
	s.startProcess(vm)
	// This returns once the VM has opened the other end.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := vm.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	_, writeErr := pipe.Write(settings)
	// Later reads find the regular file.
	if err := errors.Join(os.Rename(regular, file), pipe.Close()); err != nil {
		t.Fatal(err)
	}
	if writeErr != nil || !vm.waitUntilReady(readyTimeout) {
		t.Errorf("the VM did not start after SIGHUP; its settings were written with error %v", writeErr)
	}
}

// TestSiteReloadsItsSettings sends SIGHUP after the settings file was made empty or incomplete. The VM must keep serving.
func TestSiteReloadsItsSettings(t *testing.T) {
	s := newSiteCluster(t)
	vm := s.startVM("vm-1")
	file := vm.cmd.Args[3]
	for _, text := range []string{"", "node_name=vm-1\n"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := vm.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		if status, body := s.call(vm, "/plain/x", nil); status != http.StatusOK {
			t.Errorf("after SIGHUP: got status %d, body %q", status, body)
		}
	}
}
