package e2e_test

import (
	"context"
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

	"radishramp.example/radishramp/platform/radishadaptertest"
)

// site is the users' platform in the test's process with entry VMs as processes.
type site struct {
	t       *testing.T
	store   *radishadaptertest.Store
	address string
	binary  string
	plain   []*radishadaptertest.Target
	engine  *radishadaptertest.Target
	stages  []*radishadaptertest.Target
	version int
}

const siteKey = "key-of-roads"

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, store: radishadaptertest.NewStore(), binary: filepath.Join(t.TempDir(), "radishramp")}
	build := exec.Command("go", "build", "-o", s.binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	server := httptest.NewServer(s.store.Handler())
	t.Cleanup(func() {
		// A call that the store left without an answer would be waited for.
		server.CloseClientConnections()
		server.Close()
	})
	s.address = strings.TrimPrefix(server.URL, "http://")
	for i := range 2 {
		s.plain = append(s.plain, s.addTarget(&radishadaptertest.Target{ID: fmt.Sprint("plain-", i), Work: 20 * time.Millisecond}, "plain"))
		s.stages = append(s.stages, s.addTarget(&radishadaptertest.Target{ID: fmt.Sprint("stage-", i), CallTime: 30 * time.Millisecond}, "stage"))
	}
	s.engine = s.addTarget(&radishadaptertest.Target{ID: "engine-0", Events: 5, Work: 5 * time.Millisecond}, "engine")
	s.putConfig("/plain/")
	return s
}

func (s *site) addTarget(target *radishadaptertest.Target, service string) *radishadaptertest.Target {
	server := httptest.NewServer(target.Handler())
	s.t.Cleanup(server.Close)
	target.Address = strings.TrimPrefix(server.URL, "http://")
	s.store.Put("servers", target.ID, target.Record(service, "bandung", "ready"))
	return target
}

// putConfig writes a configuration whose plain route has the prefix.
func (s *site) putConfig(prefix string) {
	s.version++
	s.store.Put("config", "main", map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "plain", "host": "a.example", "path_prefix": prefix, "kind": "unsafe", "service": "plain", "max_attempts": 2, "timeout_ms": 3000},
			{"name": "stream", "host": "a.example", "path_prefix": "/stream/", "kind": "streaming", "service": "engine", "max_attempts": 2, "timeout_ms": 5000,
				"target_latency_ms": 2000, "resumable": true, "stages": []map[string]any{{"service": "stage", "after": []int{}, "bytes": 100}, {"service": "stage", "after": []int{0}, "bytes": 100}}},
		},
		"services": []map[string]any{
			{"name": "plain"}, {"name": "engine", "engine": map[string]any{"slots": 8}},
			{"name": "stage", "pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 30, "item_ms": 1, "room_mb": 1, "handle_s": 4}},
		},
		"limits":  map[string]any{"max_body_bytes": 65536},
		"tenants": []map[string]any{{"name": "roads", "api_keys": []string{siteKey}}},
	})
}

// siteVM is one entry VM.
type siteVM struct {
	process
	name  string
	ready string
	// args start the VM's process, each time with the same addresses; its log goes to output.
	args   []string
	output io.Writer
}

func (s *site) start(name string) *siteVM {
	s.t.Helper()
	vm := s.newVM(name, s.address)
	s.launch(vm)
	if !vm.isReady(readyTimeout) {
		s.t.Fatalf("entry VM %s is not ready after %v", name, readyTimeout)
	}
	return vm
}

// newVM gives a VM addresses and settings; store is the address under which it reaches the store.
func (s *site) newVM(name, store string) *siteVM {
	s.t.Helper()
	free := system{t: s.t}
	front, ready, control, metrics := free.freePort(), free.freePort(), free.freePort(), free.freePort()
	settings := fmt.Sprintf("node_name=%s\nzone=bandung\nzones.bandung=jawa\nbind_addresses.front=%s\nbind_addresses.ready=%s\nbind_addresses.control=%s\n"+
		"platform.address=%s\nbounds.grace_s=6\nbounds.budget_slack=100\nbounds.budget_ratio=0.2\nlimits.memory_mb=206\n", name, front, ready, control, store)
	file := filepath.Join(s.t.TempDir(), name+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	_, port, _ := strings.Cut(metrics, ":")
	return &siteVM{
		process: process{caller: front}, name: name, ready: ready, output: os.Stderr,
		args: []string{"site", "-c", file, "--metrics-port", port, "--log-level", "warn"},
	}
}

// launch starts the VM's process.
func (s *site) launch(vm *siteVM) {
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

// readyClient asks VMs whether they are ready; one that is paused does not answer.
var readyClient = &http.Client{Timeout: time.Second}

// isReady waits until the VM says that it is ready, and tells whether it has within the time.
func (vm *siteVM) isReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if res, err := readyClient.Get("http://" + vm.ready + "/radishramp/readyz"); err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// call sends one request and returns the status and body; status 0 means that no whole answer came.
func (s *site) call(vm *siteVM, path string, header map[string]string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.caller+path, strings.NewReader("body"))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Attempt-Id", uuid.NewString())
	req.Header.Set("Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Token "+siteKey)
	for name, value := range header {
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

var staged = map[string]string{"Pieces": "1,3", "Piece-Key": "pk", "Model": "m", "Token-Usage": "100,40", "Prompt-Prefix": "aa:80,bb:20"}

// eventually waits until the condition holds, for as long as a change may take to be in force.
func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	const inForce = 2 * time.Second
	for end := time.Now().Add(inForce); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	s.t.Errorf("%s: not after %v", what, inForce)
}

func TestSiteServesEachKind(t *testing.T) {
	s := newSite(t)
	vms := []*siteVM{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	for _, vm := range vms {
		if status, body := s.call(vm, "/plain/x?q=1", nil); status != http.StatusOK || body != "POST /plain/x?q=1 body" {
			t.Errorf("plain: %d %q", status, body)
		}
		if status, body := s.call(vm, "/stream/x", staged); status != http.StatusOK || strings.Count(body, "data: token") != 5 {
			t.Errorf("staged stream: %d %q", status, body)
		}
		if status, _ := s.call(vm, "/plain/x", map[string]string{"Authorization": "Token wrong"}); status != http.StatusUnauthorized {
			t.Errorf("wrong key: %d", status)
		}
		if status, _ := s.call(vm, "/none/x", nil); status != http.StatusNotFound {
			t.Errorf("no route: %d", status)
		}
	}
	for _, h := range s.engine.Headers() {
		if n := len(strings.Split(h.Get("Inputs"), ",")); n != 3 || h.Get("Tenant") != "roads" || h.Get("Authorization") != "" {
			t.Errorf("the engine got %v", h)
		}
	}
	s.eventually("results are given up", func() bool { return s.stages[0].Held()+s.stages[1].Held() == 0 })
}

func TestSiteFollowsChanges(t *testing.T) {
	s := newSite(t)
	vms := []*siteVM{s.start("vm-1"), s.start("vm-2")}
	s.putConfig("/moved/")
	for _, vm := range vms {
		s.eventually("the new route is in force", func() bool {
			added, _ := s.call(vm, "/moved/x", nil)
			dropped, _ := s.call(vm, "/plain/x", nil)
			return added == http.StatusOK && dropped == http.StatusNotFound
		})
	}
	drained := s.plain[0]
	s.store.Put("servers", drained.ID, drained.Record("plain", "bandung", "draining"))
	time.Sleep(2 * time.Second)
	before := len(drained.Ran())
	for range 10 {
		for _, vm := range vms {
			if status, body := s.call(vm, "/moved/x", nil); status != http.StatusOK {
				t.Errorf("during the drain: %d %q", status, body)
			}
		}
	}
	if got := len(drained.Ran()) - before; got > 0 {
		t.Errorf("the leaving target got %d calls", got)
	}
}

// TestSiteWithoutItsStore has the store turn everybody away: calls are served with what was known.
func TestSiteWithoutItsStore(t *testing.T) {
	s := newSite(t)
	vm := s.start("vm-1")
	for _, fault := range []radishadaptertest.Fault{radishadaptertest.FaultBusy, radishadaptertest.FaultTorn, radishadaptertest.FaultSilent} {
		s.store.SetFault(fault)
		for range 5 {
			if status, body := s.call(vm, "/plain/x", nil); status != http.StatusOK {
				t.Errorf("store %s: %d %q", fault, status, body)
			}
		}
	}
	s.store.SetFault(radishadaptertest.FaultNone)
	s.putConfig("/moved/")
	const regained = 5 * time.Second
	for end := time.Now().Add(regained); ; time.Sleep(50 * time.Millisecond) {
		if status, _ := s.call(vm, "/moved/x", nil); status == http.StatusOK {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("a change after the outage is not in force after %v", regained)
		}
	}
}

// TestSiteStopsWithoutCuttingCalls stops two of three VMs in turn under load; each call is answered whole.
func TestSiteStopsWithoutCuttingCalls(t *testing.T) {
	s := newSite(t)
	vms := []*siteVM{s.start("vm-1"), s.start("vm-2"), s.start("vm-3")}
	var wg sync.WaitGroup
	for _, vm := range vms[:2] {
		for n := range 20 {
			wg.Go(func() {
				path, header := "/plain/x", map[string]string(nil)
				if n%2 == 0 {
					path, header = "/stream/x", staged
				}
				if status, body := s.call(vm, path, header); status != http.StatusOK {
					t.Errorf("%s: %d %q", path, status, body)
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
			t.Errorf("the entry VM ended with %v", err)
		}
	}
	for id, n := range s.plain[0].Ran() {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if status, body := s.call(vms[2], "/stream/x", staged); status != http.StatusOK {
		t.Errorf("after the others have left: %d %q", status, body)
	}
}

// TestSiteReloadsItsSettings sends SIGHUP with good and with bad settings: the VM goes on.
func TestSiteReloadsItsSettings(t *testing.T) {
	s := newSite(t)
	vm := s.start("vm-1")
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
			t.Errorf("%d %q", status, body)
		}
	}
}
