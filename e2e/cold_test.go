package e2e_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

// arrivalTimes records when requests arrive at a target.
type arrivalTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivalTimes) record(http.ResponseWriter, *http.Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
	return false
}

// mostInSecond returns the largest number of arrivals within a second, of those after the time.
func (a *arrivalTimes) mostInSecond(after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	most := 0
	for i, from := range a.times {
		n := 0
		for _, at := range a.times[i:] {
			if from.After(after) && at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestTargetTurnsColdDuringStoreOutage guards against targets that get their full share of calls although they say in their health responses that
// they have become cold: their records cannot say so while the store is away.
func TestTargetTurnsColdDuringStoreOutage(t *testing.T) {
	const (
		coldFactor, coldAllowance = 1.5, 5
		// learningTime is a heartbeat and a second more.
		learningTime, coldTime = 2200 * time.Millisecond, 5 * time.Second
	)
	s := newSiteCluster(t)
	s.coldPerSecond = 8.9
	s.settings = "bounds.cold_over=1.5\nbounds.cold_slack=5\n"
	s.putConfig("/plain/")
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
	s.eventually("the VMs are linked", func() bool { return areLinked(vms) })
	cold := s.plainTargets[0]
	arrivals := &arrivalTimes{}
	cold.SetInterceptor(arrivals.record)
	s.store.SetFault(radishadaptertest.FaultUnavailable)
	time.Sleep(200 * time.Millisecond)
	turnedCold, checksBefore := time.Now(), s.healthChecks()
	cold.TurnCold(coldTime)
	var callers sync.WaitGroup
	for _, vm := range vms {
		for range 2 {
			callers.Go(func() {
				for time.Since(turnedCold) < coldTime {
					s.call(vm, "/plain/x", nil)
				}
			})
		}
	}
	callers.Wait()
	limit := int(s.coldPerSecond*coldFactor + coldAllowance)
	if most := arrivals.mostInSecond(turnedCold.Add(learningTime)); most > limit {
		t.Errorf("the cold target got %d calls within a second, want at most %d", most, limit)
	}
	// Each target is asked by one VM once a second.
	maxChecks := len(s.plainTargets) * int(coldTime/time.Second+1)
	if checks := s.healthChecks() - checksBefore; checks == 0 || checks > maxChecks {
		t.Errorf("the targets were asked %d times for their health in %v, want 1 to %d", checks, coldTime, maxChecks)
	}
}

func (s *siteCluster) healthChecks() int {
	total := 0
	for _, target := range s.plainTargets {
		total += target.HealthChecks()
	}
	return total
}
