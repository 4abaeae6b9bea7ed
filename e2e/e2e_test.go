// Package e2e_test tests entry VMs as separate processes, which it terminates, kills and suspends by signals.
package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
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
	"radishramp.example/radishramp/internal/radishporttest"
	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishrule"
)

const (
	readyTimeout    = 20 * time.Second
	bookingDuration = 100 * time.Millisecond
)

// cluster consists of a platform and a target within the test process and of entry VMs as separate processes.
type cluster struct {
	t             *testing.T
	platform      *radishstandin.Platform
	platformURL   string
	bookingTarget *radishstandin.Target
	binary        string
}

// process is the process of an entry VM.
type process struct {
	cmd           *exec.Cmd
	callerAddress string
	// operatorAddress is empty for VMs that have no API for operators.
	operatorAddress string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	s := &cluster{t: t, platform: radishstandin.NewPlatform(), binary: filepath.Join(t.TempDir(), "radishramp")}
	build := exec.Command("go", "build", "-o", s.binary, "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	server := httptest.NewServer(s.platform.Handler())
	t.Cleanup(server.Close)
	s.platformURL = server.URL
	s.bookingTarget = &radishstandin.Target{Name: "booking-1", ProcessingTime: bookingDuration, RecordStarts: true}
	s.addTarget(s.bookingTarget, "booking")
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

func (s *cluster) addTarget(target *radishstandin.Target, service string) {
	target.Start()
	server := httptest.NewServer(target.Handler())
	s.t.Cleanup(server.Close)
	s.platform.SetVM(radish.VM{Name: target.Name, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "ankara", Service: service, State: radish.VMLive})
}

func (s *cluster) startEntryVM(name string) *process {
	s.t.Helper()
	callerAddress, operatorAddress, peerAddress := radishporttest.Address(s.t), radishporttest.Address(s.t), radishporttest.Address(s.t)
	settings := fmt.Sprintf(`{"vm": {"name": %q, "data_centre": "ankara"}, "caller": {"listen": %q}, "operator": {"listen": %q},
		"peer": {"listen": %q}, "platform": {"url": %q}, "shutdown": {"balancer_wait": "300ms", "grace": "10s"}, "log": {"level": "warn"}}`,
		name, callerAddress, operatorAddress, peerAddress, s.platformURL)
	file := filepath.Join(s.t.TempDir(), name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.platform.SetVM(radish.VM{Name: name, Address: peerAddress, DataCentre: "ankara", Service: radish.EntryService, State: radish.VMLive})
	p := &process{cmd: exec.Command(s.binary, "serve", "-c", file), callerAddress: callerAddress, operatorAddress: operatorAddress}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		_, _ = p.cmd.Process.Wait()
	})
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		// Bookings succeed only once the entry VM has received the information that the target is warm.
		if ran, status := s.book(p, newIdempotencyKey()); status == http.StatusOK && ran == "" {
			return p
		}
	}
	s.t.Fatalf("entry VM %s did not serve a booking within %v", name, readyTimeout)
	return nil
}

func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// book sends one booking and returns the "ran" field of the error response, if any, and the status. Status 0 means that
// there was no response.
func (s *cluster) book(p *process, key string) (radishentry.Execution, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callerAddress+"/v1/pipelines/seat_booking", strings.NewReader(`{"workshop":"W7"}`))
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
	return problem.Execution, res.StatusCode
}

// bookingAttempts returns the number of booking attempts that the target has accepted.
func (s *cluster) bookingAttempts() int { return s.bookingTarget.Stats().Attempts }

// TestKilledEntryRunsNoBookingTwice kills an entry VM with bookings in flight and retries each of them at another VM.
// The target must not run any booking twice.
func TestKilledEntryRunsNoBookingTwice(t *testing.T) {
	s := newCluster(t)
	killed, other := s.startEntryVM("entry-1"), s.startEntryVM("entry-2")
	before := s.bookingAttempts()
	const bookings = 30
	keys := make([]string, bookings)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = newIdempotencyKey()
		wg.Go(func() { s.book(killed, keys[i]) })
	}
	time.Sleep(bookingDuration)
	if err := killed.cmd.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	for _, key := range keys {
		wg.Go(func() {
			ran, status := s.book(other, key)
			if status != http.StatusOK && ran != radishentry.ExecutionUnknown {
				t.Errorf("retry: got status %d, ran %q", status, ran)
			}
		})
	}
	wg.Wait()
	for _, n := range s.bookingTarget.Stats().RunsByRequestID {
		if n > 1 {
			t.Errorf("a request ran %d times, want at most once", n)
		}
	}
	if got := s.bookingAttempts() - before; got > bookings {
		t.Errorf("the target accepted %d booking attempts for %d idempotency keys", got, bookings)
	}
	t.Logf("the target accepted %d attempts for %d bookings", s.bookingAttempts()-before, bookings)
}

// TestTerminatedEntryAnswersAcceptedRequests sends SIGTERM to an entry VM under load. Every request that it accepted
// must still get its response.
func TestTerminatedEntryAnswersAcceptedRequests(t *testing.T) {
	s := newCluster(t)
	p := s.startEntryVM("entry-1")
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for range 20 {
		wg.Go(func() {
			_, status := s.book(p, newIdempotencyKey())
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	time.Sleep(bookingDuration / 2)
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if statuses[http.StatusOK] != 20 {
		t.Errorf("responses by status: %v, want 20 with status 200", statuses)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("entry VM exited with %v", err)
	}
}

// TestFrozenEntry suspends the VM that batches the claim updates with SIGSTOP. The other VM must write its claims
// itself, and nothing must run twice once the suspended VM continues.
func TestFrozenEntry(t *testing.T) {
	s := newCluster(t)
	frozen, other := s.startEntryVM("entry-1"), s.startEntryVM("entry-2")
	if err := frozen.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	before := s.bookingAttempts()
	answered := 0
	for range 8 {
		if _, status := s.book(other, newIdempotencyKey()); status == http.StatusOK {
			answered++
		}
	}
	if err := frozen.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if answered != 8 {
		t.Errorf("%d of 8 bookings succeeded while the other VM was suspended", answered)
	}
	if got := s.bookingAttempts() - before; got != answered {
		t.Errorf("the target accepted %d booking attempts, but %d bookings succeeded", got, answered)
	}
}
