package e2e_test

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

const (
	// soakPause is the pause in seconds for which a target asks that turns calls away. It is longer than the target does so.
	soakPause = "4"
	// soakAnnouncementTime is how long a target announces that it leaves, or turns calls away.
	soakAnnouncementTime = 2500 * time.Millisecond
)

// announce makes plain targets announce that they leave, and ask for pauses, in turn with times without either, until the period has
// passed. Its draws are its own, so that those of the faults are the same for a seed as without it.
func (s *soak) announce(seed uint64, period time.Duration) {
	random := rand.New(rand.NewPCG(seed, 1))
	for deadline := time.Now().Add(period); time.Now().Before(deadline); {
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		target := s.plainTargets[random.IntN(len(s.plainTargets))]
		if random.IntN(2) == 0 {
			s.announceLeaving(target)
		} else {
			s.askForPause(target)
		}
	}
}

// announceLeaving has the target announce that it leaves, and then start again.
func (s *soak) announceLeaving(target *radishadaptertest.Target) {
	s.log("%s announces that it leaves", target.ID)
	arrivals := s.interceptCalls(target, soakAnnouncementTime, func(w http.ResponseWriter) bool {
		w.Header().Set("Server-Leaving", "1")
		return false
	})
	s.checkArrivals(target, "announced that it leaves", arrivals)
	target.Restart()
	s.store.Put("servers", target.ID, target.Record("plain", "bandung", "ready"))
}

// askForPause has the target turn calls away and ask for a pause.
func (s *soak) askForPause(target *radishadaptertest.Target) {
	s.log("%s turns calls away", target.ID)
	arrivals := s.interceptCalls(target, soakAnnouncementTime, func(w http.ResponseWriter) bool {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", soakPause)
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	s.checkArrivals(target, "asked for a pause", arrivals)
}

// interceptedCalls is what reached a target while its calls were intercepted.
type interceptedCalls struct {
	arrivals int64
	// starts is the number of VMs' processes that may have sent them.
	starts int64
}

func (s *soak) interceptCalls(target *radishadaptertest.Target, period time.Duration, respond func(w http.ResponseWriter) bool) interceptedCalls {
	var arrivals atomic.Int64
	startsBefore := s.starts.Load()
	target.SetInterceptor(func(w http.ResponseWriter, _ *http.Request) bool {
		arrivals.Add(1)
		return respond(w)
	})
	time.Sleep(period)
	target.SetInterceptor(nil)
	return interceptedCalls{arrivals: arrivals.Load(), starts: int64(len(s.vms)) + s.starts.Load() - startsBefore}
}

// checkArrivals checks that each VM's process sent the target no more calls than its callers have at once: before the first response
// arrives the VM cannot know, and after that it must send nothing. A restarted VM may have forgotten.
func (s *soak) checkArrivals(target *radishadaptertest.Target, what string, calls interceptedCalls) {
	if limit := calls.starts * soakCallersPerVM; calls.arrivals > limit {
		s.t.Errorf("%s %s and got %d calls from %d processes, want at most %d", target.ID, what, calls.arrivals, calls.starts, limit)
	}
}
