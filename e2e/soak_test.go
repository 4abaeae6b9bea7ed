package e2e_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

var (
	soakFirst   = flag.Uint64("soak.first", 1, "first seed of the soak; 0 takes one from the time")
	soakSeeds   = flag.Int("soak.seeds", 2, "how many seeds the soak plays")
	soakSeconds = flag.Int("soak.seconds", 4, "how many seconds of faults each seed has")
	soakVMs     = flag.Int("soak.vms", 3, "how many entry VMs the soak starts")
)

const (
	// soakDeadline is what callers of the soak say that they wait, soakPatience how long they do.
	soakDeadline = 2 * time.Second
	soakPatience = 4 * time.Second
	// soakAnswer is how long after its deadline a request may stay without an answer.
	soakAnswer = 500 * time.Millisecond
	// soakRecover is how long after the last fault service is back.
	soakRecover = 12 * time.Second
	// soakCallers is how many callers each VM has.
	soakCallers = 4
)

// soakRegressions are seeds that failed once, with the cause that was found.
var soakRegressions = map[uint64]string{
	149: "the soak took the end of a process after SIGTERM for one of the process started after it",
	303: "the port of a VM was taken by an outgoing connection before the VM started: the soak chose it among those of such connections",
	305: "the soak started a VM again before its killed process was gone, so that the port was still in use",
	304: "not traced: a VM wrote its last line 4.1 s after SIGTERM and was seen to end after 6 s, beside a load average of 20 to 38",
	310: "as 305",
	327: "as 305",
}

// TestSoak plays drawn faults against entry VMs as processes and checks what callers and targets see.
func TestSoak(t *testing.T) {
	first := *soakFirst
	if first == 0 {
		first = uint64(time.Now().UnixNano() % 1e9)
	}
	for seed := range soakRegressions {
		t.Run(fmt.Sprint("regression-", seed), func(t *testing.T) { runSoak(t, seed) })
	}
	for n := range *soakSeeds {
		seed := first + uint64(n)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { runSoak(t, seed) })
	}
}

// soak is one run.
type soak struct {
	*site
	random  *rand.Rand
	vms     []*soakVM
	targets []*link
	engines []*radishadaptertest.Target
	began   time.Time

	mu    sync.Mutex
	calls []soakCall
}

// soakVM is a VM with its link to the store.
type soakVM struct {
	*siteVM
	store *link
	// signals is held by the fault that stops, pauses or kills the process; disturbed is when the last one ended.
	signals   sync.Mutex
	mu        sync.Mutex
	disturbed time.Time
	// endExpected is set once a fault has asked the process that runs now to end, ended is closed when it has.
	endExpected *atomic.Bool
	ended       chan struct{}
}

// soakCall is what a caller saw of one request; status 0 means that no whole answer came.
type soakCall struct {
	id, vm, path string
	status       int
	body         string
	took         time.Duration
	// calm tells whether no signal disturbed the VM meanwhile.
	calm bool
}

func runSoak(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	stop := make(chan struct{})
	var load sync.WaitGroup
	for _, vm := range s.vms {
		for range soakCallers {
			random := rand.New(rand.NewPCG(seed, s.random.Uint64()))
			load.Go(func() { s.callUntil(stop, vm, random) })
		}
	}
	s.playFaults(time.Duration(*soakSeconds) * time.Second)
	s.checkRecovery()
	close(stop)
	load.Wait()
	s.checkCalls()
	if t.Failed() {
		t.Logf("again: go test ./e2e -run TestSoak -soak.first=%d -soak.seeds=1 -soak.seconds=%d -soak.vms=%d", seed, *soakSeconds, *soakVMs)
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{site: newSite(t), random: rand.New(rand.NewPCG(seed, 0)), began: time.Now()}
	second := s.addTarget(&radishadaptertest.Target{ID: "engine-1", Events: 5, Work: 5 * time.Millisecond}, "engine")
	s.engines = []*radishadaptertest.Target{s.engine, second}
	for service, targets := range map[string][]*radishadaptertest.Target{"plain": s.plain, "stage": s.stages, "engine": s.engines} {
		for _, target := range targets {
			l := newLink(t, target.Address)
			target.Address = l.address
			s.targets = append(s.targets, l)
			s.store.Put("servers", target.ID, target.Record(service, "bandung", "ready"))
		}
	}
	logs, err := os.MkdirTemp("", "soak-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs of the entry VMs: %s", logs)
			return
		}
		_ = os.RemoveAll(logs)
	})
	for i := range *soakVMs {
		vm := &soakVM{store: newLink(t, s.address)}
		vm.siteVM = s.newVM(fmt.Sprint("vm-", i+1), vm.store.address)
		vm.args[len(vm.args)-1] = "info"
		file, err := os.Create(filepath.Join(logs, vm.name))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		vm.output = file
		s.launchSoak(vm)
		s.vms = append(s.vms, vm)
	}
	for _, vm := range s.vms {
		if !vm.isReady(readyTimeout) {
			t.Fatalf("entry VM %s is not ready after %v", vm.name, readyTimeout)
		}
	}
	return s
}

// launchSoak starts the VM's process and reports an end that no fault asked for.
func (s *soak) launchSoak(vm *soakVM) {
	isExpected, ended := &atomic.Bool{}, make(chan struct{})
	vm.endExpected, vm.ended = isExpected, ended
	s.launch(vm.siteVM)
	cmd := vm.cmd
	go func() {
		defer close(ended)
		err := cmd.Wait()
		if !isExpected.Load() && !s.isOver() {
			s.t.Errorf("%s ended by itself: %v", vm.name, err)
		}
	}()
}

func (s *soak) isOver() bool { return s.t.Context().Err() != nil }

// disturb notes that the VM was disturbed until now.
func (vm *soakVM) disturb() {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.disturbed = time.Now()
}

// wasCalm tells whether no signal was at work since the time.
func (vm *soakVM) wasCalm(since time.Time) bool {
	if !vm.signals.TryLock() {
		return false
	}
	defer vm.signals.Unlock()
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.disturbed.Before(since)
}

// callUntil sends one request after the other; connections stay open until the process is gone.
func (s *soak) callUntil(stop chan struct{}, vm *soakVM, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(30)) * time.Millisecond):
		}
		call := s.send(client, vm, random.IntN(3) == 0)
		s.mu.Lock()
		s.calls = append(s.calls, call)
		s.mu.Unlock()
	}
}

func (s *soak) send(client *http.Client, vm *soakVM, isStaged bool) soakCall {
	call := soakCall{id: uuid.NewString(), vm: vm.name}
	call.path = "/plain/" + call.id
	if isStaged {
		call.path = "/stream/" + call.id
	}
	began := time.Now()
	defer func() { call.took, call.calm = time.Since(began), vm.wasCalm(began) }()
	ctx, cancel := context.WithTimeout(context.Background(), soakPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.caller+call.path, io.NopCloser(strings.NewReader(call.id)))
	if err != nil {
		s.t.Error(err)
		return call
	}
	req.Host, req.ContentLength = "a.example", int64(len(call.id))
	req.Header.Set("Attempt-Id", call.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(soakDeadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+siteKey)
	if isStaged {
		for name, value := range staged {
			req.Header.Set(name, value)
		}
	}
	res, err := client.Do(req)
	if err != nil {
		return call
	}
	defer res.Body.Close()
	if body, err := io.ReadAll(res.Body); err == nil {
		call.status, call.body = res.StatusCode, string(body)
	}
	return call
}

// playFaults draws faults that come in series and overlap, and ends them all.
func (s *soak) playFaults(length time.Duration) {
	var faults sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); {
		time.Sleep(time.Duration(50+s.random.IntN(300)) * time.Millisecond)
		lasts := time.Duration(100+s.random.IntN(1400)) * time.Millisecond
		vm := s.vms[s.random.IntN(len(s.vms))]
		fault := linkFaults[s.random.IntN(len(linkFaults))]
		switch s.random.IntN(9) {
		case 0, 1:
			l := s.targets[s.random.IntN(len(s.targets))]
			s.log("link to a target %s for %v", fault, lasts)
			faults.Go(func() { s.breakLink(l, fault, lasts) })
		case 2:
			s.log("%s: link to the store %s for %v", vm.name, fault, lasts)
			faults.Go(func() { s.breakLink(vm.store, fault, lasts) })
		case 3:
			outages := []radishadaptertest.Fault{radishadaptertest.FaultBusy, radishadaptertest.FaultTorn, radishadaptertest.FaultSilent}
			outage := outages[s.random.IntN(len(outages))]
			s.log("store %s for %v", outage, lasts)
			faults.Go(func() {
				s.store.SetFault(outage)
				time.Sleep(lasts)
				s.store.SetFault(radishadaptertest.FaultNone)
			})
		case 4:
			s.putConfig("/plain/")
			s.log("configuration %d", s.version)
		case 5:
			faults.Go(func() { s.signal(vm, syscall.SIGSTOP, lasts) })
		case 6:
			faults.Go(func() { s.signal(vm, syscall.SIGKILL, lasts/4) })
		case 7:
			faults.Go(func() { s.signal(vm, syscall.SIGTERM, 0) })
		default:
			faults.Go(func() { s.signal(vm, syscall.SIGHUP, 0) })
		}
	}
	faults.Wait()
}

func (s *soak) log(format string, args ...any) {
	s.t.Logf("%6.3f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *soak) breakLink(l *link, fault linkFault, lasts time.Duration) {
	l.set(fault)
	time.Sleep(lasts)
	l.set(linkFine)
}

// signal disturbs the VM's process unless another signal is at work, and leaves it running.
func (s *soak) signal(vm *soakVM, signal syscall.Signal, lasts time.Duration) {
	if !vm.signals.TryLock() {
		return
	}
	defer vm.signals.Unlock()
	defer vm.disturb()
	s.log("%s: %v for %v", vm.name, signal, lasts)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		vm.endExpected.Store(true)
	}
	process := vm.cmd.Process
	if err := process.Signal(signal); err != nil {
		s.t.Errorf("%s: %v", vm.name, err)
	}
	switch signal {
	case syscall.SIGSTOP:
		time.Sleep(lasts)
		_ = process.Signal(syscall.SIGCONT)
	case syscall.SIGTERM:
		s.waitForEnd(vm)
		s.launchSoak(vm)
	case syscall.SIGKILL:
		time.Sleep(lasts)
		s.waitForEnd(vm)
		s.launchSoak(vm)
	}
}

// waitForEnd waits until the process has ended, which must be before the platform would kill it.
func (s *soak) waitForEnd(vm *soakVM) {
	const grace = 6 * time.Second
	select {
	case <-vm.ended:
	case <-time.After(grace):
		s.t.Errorf("%s has not ended %v after it was asked to", vm.name, grace)
		_ = vm.cmd.Process.Kill()
		<-vm.ended
	}
}
