// Package e2e_test runs entry VMs as separate processes and kills, stops and freezes them.
package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
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

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishrule"
)

const (
	readyTimeout = 20 * time.Second
	work         = 100 * time.Millisecond
)

// system is a platform and targets in the test's process and entry VMs as processes.
type system struct {
	t        *testing.T
	platform *radishstandin.Platform
	url      string
	booking  *radishstandin.Target
	binary   string
}

// process is one entry VM.
type process struct {
	cmd    *exec.Cmd
	caller string
}

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, platform: radishstandin.NewPlatform(), binary: filepath.Join(t.TempDir(), "radishramp")}
	build := exec.Command("go", "build", "-o", s.binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	s.url = server.URL
	s.booking = &radishstandin.Target{Name: "booking-1", Work: work, RecordBegun: true}
	s.addTarget(s.booking, "booking")
	rules, err := os.ReadFile("../examples/demo/demo.rules")
	if err != nil {
		t.Fatal(err)
	}
	store := &radishconfig.Store{Platform: s.platform}
	if _, err := store.Apply(context.Background(), radishconfig.Change{By: "test", Lines: radishrule.SplitLines(string(rules))}); err != nil {
		t.Fatal(err)
	}
	return s
}

func (s *system) addTarget(target *radishstandin.Target, service string) {
	target.Start()
	server := httptest.NewServer(target.Handler())
	s.t.Cleanup(server.Close)
	s.platform.SetVM(radish.VM{Name: target.Name, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "ankara", Service: service, State: radish.VMLive})
}

// Ports of processes that start again lie below those that the kernel gives to outgoing connections, one of which would
// otherwise take the port of a process while it is down.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// freePort returns a loopback address with a port that nobody uses now.
func (s *system) freePort() string {
	const tries = 100
	for range tries {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		if err := l.Close(); err != nil {
			s.t.Fatal(err)
		}
		return address
	}
	s.t.Fatalf("no free port from %d to %d in %d tries", firstPort, lastPort, tries)
	return ""
}

func (s *system) startEntry(name string) *process {
	s.t.Helper()
	caller, peer := s.freePort(), s.freePort()
	settings := fmt.Sprintf(`{"vm": {"name": %q, "data_centre": "ankara"}, "caller": {"listen": %q}, "operator": {"listen": %q},
		"peer": {"listen": %q}, "platform": {"url": %q}, "shutdown": {"balancer_wait": "300ms", "grace": "10s"}, "log": {"level": "warn"}}`,
		name, caller, s.freePort(), peer, s.url)
	file := filepath.Join(s.t.TempDir(), name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.platform.SetVM(radish.VM{Name: name, Address: peer, DataCentre: "ankara", Service: radish.EntryService, State: radish.VMLive})
	p := &process{cmd: exec.Command(s.binary, "serve", "-c", file), caller: caller}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_, _ = p.cmd.Process.Wait()
	})
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		// The first booking waits until the target is known to be warm.
		if ran, status := s.book(p, newKey()); status == http.StatusOK && ran == "" {
			return p
		}
	}
	s.t.Fatalf("entry VM %s does not serve after %v", name, readyTimeout)
	return nil
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// book sends one booking and returns what the caller is told; status 0 means that no answer came.
func (s *system) book(p *process, key string) (radishentry.Ran, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.caller+"/v1/pipelines/seat_booking", strings.NewReader(`{"workshop":"W7"}`))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer demo-congress")
	req.Header.Set(radishentry.HeaderIdempotencyKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", 0
	}
	defer res.Body.Close()
	var problem radishentry.Problem
	if res.StatusCode != http.StatusOK {
		_ = json.NewDecoder(res.Body).Decode(&problem)
	}
	return problem.Ran, res.StatusCode
}

// attempts returns how many bookings the target began.
func (s *system) attempts() int { return s.booking.Stats().Attempts }

// TestKilledEntryLosesNothingTwice kills an entry VM with bookings in flight and retries each at another VM: the
// target begins no booking twice.
func TestKilledEntryLosesNothingTwice(t *testing.T) {
	s := newSystem(t)
	first, second := s.startEntry("entry-1"), s.startEntry("entry-2")
	before := s.attempts()
	const bookings = 30
	keys := make([]string, bookings)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = newKey()
		wg.Go(func() { s.book(first, keys[i]) })
	}
	time.Sleep(work)
	if err := first.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for _, key := range keys {
		wg.Go(func() {
			ran, status := s.book(second, key)
			if status != http.StatusOK && ran != radishentry.RanUnknown {
				t.Errorf("retry: status %d, ran %q", status, ran)
			}
		})
	}
	wg.Wait()
	for _, n := range s.booking.Stats().Ran {
		if n > 1 {
			t.Errorf("a request ran %d times", n)
		}
	}
	if got := s.attempts() - before; got > bookings {
		t.Errorf("the target began %d bookings for %d keys", got, bookings)
	}
	t.Logf("%d of %d bookings began", s.attempts()-before, bookings)
}

// TestTerminatedEntryCutsNothing ends an entry VM with SIGTERM under load: every request that it accepted is answered.
func TestTerminatedEntryCutsNothing(t *testing.T) {
	s := newSystem(t)
	p := s.startEntry("entry-1")
	var wg sync.WaitGroup
	var mu sync.Mutex
	outcomes := make(map[int]int)
	for range 20 {
		wg.Go(func() {
			_, status := s.book(p, newKey())
			mu.Lock()
			outcomes[status]++
			mu.Unlock()
		})
	}
	time.Sleep(work / 2)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if outcomes[http.StatusOK] != 20 {
		t.Errorf("outcomes by status: %v, want 20 answered", outcomes)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the entry VM ended with %v", err)
	}
}

// TestFrozenEntry stops the claims' home with SIGSTOP: others write the claims themselves, and once it goes on
// nothing has run twice.
func TestFrozenEntry(t *testing.T) {
	s := newSystem(t)
	frozen, other := s.startEntry("entry-1"), s.startEntry("entry-2")
	if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	before := s.attempts()
	answered := 0
	for range 8 {
		if _, status := s.book(other, newKey()); status == http.StatusOK {
			answered++
		}
	}
	if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if answered != 8 {
		t.Errorf("%d of 8 bookings were answered while another VM was frozen", answered)
	}
	if got := s.attempts() - before; got != answered {
		t.Errorf("the target began %d bookings, %d were answered", got, answered)
	}
}
