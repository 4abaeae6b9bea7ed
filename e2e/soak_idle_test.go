package e2e_test

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// soakIdleTimeout is the idle timeout of callers' connections by every other change of it.
	soakIdleTimeout = time.Second
	// soakIdleCallersPerVM is the number of callers of each VM whose connections are idle for about as long as that.
	soakIdleCallersPerVM = 16
)

// changeIdleTimeout lowers the idle timeout of callers' connections, and raises it again, until the period has passed. Each time, connections become due
// at the same time, while their callers send the next request, to the engines: the checks of announcements count the calls of the other
// callers at plain targets. Its draws are its own.
func (s *soak) changeIdleTimeout(seed uint64, period time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, vm := range s.vms {
		for range soakIdleCallersPerVM {
			callerRandom := rand.New(rand.NewPCG(seed, random.Uint64()))
			pause := func() time.Duration {
				return soakIdleTimeout + time.Duration(callerRandom.IntN(1200)-200)*time.Millisecond
			}
			callers.Go(func() { s.sendUntil(stop, vm, pause, func() bool { return true }) })
		}
	}
	timeout := soakIdleTimeout
	for deadline := time.Now().Add(period); time.Now().Before(deadline); {
		time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
		s.setIdleTimeout(timeout)
		timeout = soakIdleTimeout - timeout
	}
	close(stop)
	callers.Wait()
}

// setIdleTimeout writes a version with the idle timeout.
func (s *soak) setIdleTimeout(timeout time.Duration) {
	s.configMu.Lock()
	s.idleTimeout = timeout
	s.configMu.Unlock()
	s.log("idle timeout %v from configuration version %d on", timeout, s.putConfig("/plain/"))
}
