package e2e_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

const (
	// harmfulPart is the part of a prompt that crashes engines.
	harmfulPart = "dead00"
	// stabilityWindow is the time that VMs have to stop sending calls with such a part, from the fifth crash on.
	stabilityWindow = 3 * time.Second
	// maxHarmfulArrivals is how many of these calls may reach engines after that.
	maxHarmfulArrivals = 3
	// engineDownTime is the time between the crash of an engine and its restart.
	engineDownTime = time.Second
)

// crashes counts what reaches the engines of a test.
type crashes struct {
	mu       sync.Mutex
	at       []time.Time
	arrivals []time.Time
}

// lateArrivals returns how many calls with the harmful part arrived later than the stability window after the fifth crash.
func (c *crashes) lateArrivals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < 5 {
		return 0
	}
	late := 0
	for _, at := range c.arrivals {
		if at.Sub(c.at[4]) > stabilityWindow {
			late++
		}
	}
	return late
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.at)
}

// crashingEngine is an engine that crashes when it starts to respond to a call with the harmful part.
type crashingEngine struct {
	t       *testing.T
	store   *radishadaptertest.Store
	target  *radishadaptertest.Target
	crashes *crashes

	mu     sync.Mutex
	server *http.Server
}

// start serves at the engine's address, or at a new one if it has none yet.
func (e *crashingEngine) start() error {
	address := e.target.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.target.Address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: time.Second}
	e.mu.Lock()
	e.server = server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (e *crashingEngine) serve(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.Header.Get("Prompt-Prefix"), harmfulPart) {
		e.target.Handler().ServeHTTP(w, r)
		return
	}
	e.crashes.mu.Lock()
	e.crashes.arrivals = append(e.crashes.arrivals, time.Now())
	e.crashes.mu.Unlock()
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Stamp", "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	_ = http.NewResponseController(w).Flush()
	e.crash()
	panic(http.ErrAbortHandler)
}

// crash closes all connections at once and restarts the engine after a while, unless it has crashed already. The engine then says when it
// has started anew, without which VMs count its crashes as one.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	e.crashes.mu.Lock()
	e.crashes.at = append(e.crashes.at, time.Now())
	e.crashes.mu.Unlock()
	time.AfterFunc(engineDownTime, func() {
		if err := e.start(); err != nil {
			e.t.Logf("engine %s not restarted: %v", e.target.ID, err)
			return
		}
		e.target.Restart()
		e.store.Put("servers", e.target.ID, e.target.Record("engine", "bandung", "ready"))
	})
}

// newCrashingCluster returns a cluster with ten engines that crash, and counts what reaches them.
func newCrashingCluster(t *testing.T) (*siteCluster, *crashes) {
	t.Helper()
	s := newSiteCluster(t)
	s.store.Remove("servers", s.engineTarget.ID)
	seen := &crashes{}
	for i := range 10 {
		engine := &crashingEngine{t: t, store: s.store, crashes: seen, target: &radishadaptertest.Target{ID: fmt.Sprint("crashing-", i), Events: 5, Delay: 5 * time.Millisecond}}
		if err := engine.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			engine.mu.Lock()
			defer engine.mu.Unlock()
			if engine.server != nil {
				_ = engine.server.Close()
			}
		})
		s.store.Put("servers", engine.target.ID, engine.target.Record("engine", "bandung", "ready"))
	}
	return s, seen
}

// callWithPart sends the call number i, whose prompt contains the harmful part.
func (s *siteCluster) callWithPart(vm *siteVM, i int) {
	s.t.Helper()
	prompt := fmt.Sprintf("aa:80,b%d:20,%s:20,c%d:20", i%9, harmfulPart, i)
	if status, body := s.call(vm, "/stream/x", map[string]string{"Model": "m", "Token-Usage": "140,40", "Prompt-Prefix": prompt}); status == http.StatusOK {
		s.t.Errorf("call with the harmful part: got status %d, body %q", status, body)
	}
}

// callWithoutPart sends a sound call with the same first parts and returns whether it was answered.
func (s *siteCluster) callWithoutPart(vm *siteVM, i int) bool {
	prompt := fmt.Sprintf("aa:80,b%d:20,d%d:20", i%9, i)
	status, _ := s.call(vm, "/stream/x", map[string]string{"Model": "m", "Token-Usage": "120,40", "Prompt-Prefix": prompt})
	return status == http.StatusOK
}

// TestPromptPartCrashesEnginesOfAllVMs sends calls with a part of the prompt that crashes engines to three VMs in turn, beside sound
// ones with the same team and first part.
func TestPromptPartCrashesEnginesOfAllVMs(t *testing.T) {
	s, seen := newCrashingCluster(t)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
	answered, sent := 0, 0
	for i, startedAt := 0, time.Now(); time.Since(startedAt) < 4*stabilityWindow; i++ {
		vm := vms[i%len(vms)]
		s.callWithPart(vm, i)
		isAnswered := s.callWithoutPart(vm, i)
		if time.Since(startedAt) > 2*stabilityWindow {
			sent++
			if isAnswered {
				answered++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if late := seen.lateArrivals(); late > maxHarmfulArrivals {
		t.Errorf("%d calls with the part reached engines later than %v after the fifth of %d crashes, want at most %d", late, stabilityWindow, seen.count(), maxHarmfulArrivals)
	}
	if 2*answered < sent {
		t.Errorf("%d of %d sound calls were answered, want at least half", answered, sent)
	}
}

// TestEvidenceOnPromptOutlastsKilledVMs kills all VMs at once, twice, while calls with a part that crashes engines arrive. It guards against VMs
// that have lost what they knew of the part and let it crash engines anew.
func TestEvidenceOnPromptOutlastsKilledVMs(t *testing.T) {
	s, seen := newCrashingCluster(t)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
	sound, answered := 0, 0
	for round := range 3 {
		for i := range 20 {
			s.callWithPart(vms[i%len(vms)], 100*round+i)
			if s.callWithoutPart(vms[i%len(vms)], 100*round+i) && i >= 10 {
				answered++
			}
			if i >= 10 {
				sound++
			}
			time.Sleep(200 * time.Millisecond)
		}
		if round == 2 {
			break
		}
		for _, vm := range vms {
			if err := vm.cmd.Process.Kill(); err != nil {
				t.Fatal(err)
			}
		}
		for _, vm := range vms {
			_, _ = vm.cmd.Process.Wait()
			s.startProcess(vm)
		}
		for _, vm := range vms {
			if !vm.waitUntilReady(readyTimeout) {
				t.Fatalf("%s was not ready within %v", vm.name, readyTimeout)
			}
		}
		// Calls that come sooner after the kill are not limited.
		time.Sleep(stabilityWindow)
	}
	if late := seen.lateArrivals(); late > maxHarmfulArrivals {
		t.Errorf("%d calls with the part reached engines later than %v after the fifth of %d crashes, want at most %d", late, stabilityWindow, seen.count(), maxHarmfulArrivals)
	}
	if 2*answered < sound {
		t.Errorf("%d of %d sound calls were answered, want at least half", answered, sound)
	}
	t.Logf("%d crashes, %d late arrivals, %d of %d sound calls answered", seen.count(), seen.lateArrivals(), answered, sound)
}
