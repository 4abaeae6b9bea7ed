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
