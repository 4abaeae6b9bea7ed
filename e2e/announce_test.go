package e2e_test

import (
	"net/http"
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

// TestPausedTargetGetsNoCalls has one of two targets reject a call and ask for a pause of 1.5 s, and then both.
func TestPausedTargetGetsNoCalls(t *testing.T) {
	const pause = 1500 * time.Millisecond
	s := newSiteCluster(t)
	vm := s.startVM("vm-1")
	var arrivals, lastArrival atomic.Int64
	rejects := func(w http.ResponseWriter, _ *http.Request) bool {
		arrivals.Add(1)
		lastArrival.Store(time.Now().UnixMilli())
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", "1.5")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	s.plainTargets[0].SetInterceptor(rejects)
	for startedAt := time.Now(); arrivals.Load() == 0 && time.Since(startedAt) < 5*time.Second; {
		s.call(vm, "/plain/x", nil)
	}
	pausedAt, before := time.Now(), arrivals.Load()
	for time.Since(pausedAt) < pause-200*time.Millisecond {
		if status, body := s.call(vm, "/plain/x", nil); status != http.StatusOK {
			t.Errorf("got status %d, body %q", status, body)
		}
	}
	if n := arrivals.Load() - before; n > 0 {
		t.Errorf("the paused target got %d calls, the last one %d ms after its pause began", n, lastArrival.Load()-pausedAt.UnixMilli())
	}
	s.plainTargets[1].SetInterceptor(rejects)
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
}
