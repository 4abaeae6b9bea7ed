package e2e_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

// TestLeavingTargetAnnouncesInItsResponses has one of two targets announce in its responses that it leaves, while the store, which is
// then unavailable, says that it is ready. The VM that passed on such a response must not send it another call, and its peer, which got
// none, must stop within two seconds.
func TestLeavingTargetAnnouncesInItsResponses(t *testing.T) {
	s := newSiteCluster(t)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2")}
	// The VMs learn of each other from the store.
	s.eventually("the VMs are linked", func() bool { return areLinked(vms) })
	s.store.SetFault(radishadaptertest.FaultUnavailable)
	leaving := s.plainTargets[0]
	var responses atomic.Int64
	leaving.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		responses.Add(1)
		w.Header().Set("Server-Leaving", "1")
		return false
	})
	for range 100 {
		if responses.Load() > 0 {
			break
		}
		s.call(vms[0], "/plain/x", nil)
	}
	before := responses.Load()
	if before == 0 {
		t.Fatal("the leaving target got no call")
	}
	for range 30 {
		if status, body := s.call(vms[0], "/plain/x", nil); status != http.StatusOK {
			t.Errorf("got status %d, body %q", status, body)
		}
	}
	if n := responses.Load() - before; n > 0 {
		t.Errorf("the leaving target got %d more calls from the VM that it told", n)
	}
	time.Sleep(2 * time.Second)
	for range 30 {
		if status, body := s.call(vms[1], "/plain/x", nil); status != http.StatusOK {
			t.Errorf("peer: got status %d, body %q", status, body)
		}
	}
	if n := responses.Load() - before; n > 0 {
		t.Errorf("the leaving target got %d calls from the peer", n)
	}
}

// pausingTarget rejects all calls and asks for a pause each time.
type pausingTarget struct {
	pause time.Duration

	mu       sync.Mutex
	arrivals []time.Time
}

// intercept is the interceptor of a target that pauses. The time of the arrival is taken before the response, so that the pause ends
// at the VM, which counts it from the response on, no earlier than here.
func (p *pausingTarget) intercept(w http.ResponseWriter, _ *http.Request) bool {
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", strconv.FormatFloat(p.pause.Seconds(), 'f', -1, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// count returns the number of calls so far.
func (p *pausingTarget) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.arrivals)
}

// pausedArrivals returns, for each call that arrived in a pause, how long after the call that began the pause it came.
func (p *pausingTarget) pausedArrivals() []time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var paused []time.Duration
	for i := 1; i < len(p.arrivals); i++ {
		if since := p.arrivals[i].Sub(p.arrivals[i-1]); since < p.pause {
			paused = append(paused, since)
		}
	}
	return paused
}

// TestPausedTargetGetsNoCalls has one of two targets reject a call and ask for a pause of 1.5 s, and then both. A call that is sent in the pause
// and that the VM passes on after its end is allowed.
func TestPausedTargetGetsNoCalls(t *testing.T) {
	const pause = 1500 * time.Millisecond
	s := newSiteCluster(t)
	vm := s.startVM("vm-1")
	first, second := &pausingTarget{pause: pause}, &pausingTarget{pause: pause}
	s.plainTargets[0].SetInterceptor(first.intercept)
	for startedAt := time.Now(); first.count() == 0 && time.Since(startedAt) < 5*time.Second; {
		s.call(vm, "/plain/x", nil)
	}
	if first.count() == 0 {
		t.Fatal("the target that asks for a pause got no call")
	}
	for pausedAt := time.Now(); time.Since(pausedAt) < pause-200*time.Millisecond; {
		if status, body := s.call(vm, "/plain/x", nil); status != http.StatusOK {
			t.Errorf("got status %d, body %q", status, body)
		}
	}
	s.plainTargets[1].SetInterceptor(second.intercept)
	s.call(vm, "/plain/x", nil)
	time.Sleep(pause)
	s.call(vm, "/plain/x", nil)
	startedAt := time.Now()
	if status, _ := s.call(vm, "/plain/x", nil); status != http.StatusServiceUnavailable {
		t.Errorf("all targets paused: got status %d, want 503", status)
	}
	if took := time.Since(startedAt); took > 100*time.Millisecond {
		t.Errorf("all targets paused: refused after %v, want at once", took)
	}
	for i, target := range []*pausingTarget{first, second} {
		if paused := target.pausedArrivals(); len(paused) > 0 {
			t.Errorf("the paused target plain-%d got %d calls, %v after its pause began", i, len(paused), paused)
		}
	}
}
