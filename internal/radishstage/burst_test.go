//go:build !race

package radishstage

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// newLargeCoordinator returns a coordinator for 125 targets of three services in six data centres.
func newLargeCoordinator() *Coordinator {
	batches := map[string]*radishroute.BatchSettings{
		"enc": {
			Slots: 1, MaxPieces: 8, CallTime: 240 * time.Millisecond, PieceTime: 26 * time.Millisecond,
			ResultMemoryBytes: 9_600_000, ResultTTL: 4 * time.Second,
		},
		"find": {
			Slots: 1, MaxPieces: 28, CallTime: 240 * time.Millisecond, PieceTime: 7300 * time.Microsecond,
			ResultMemoryBytes: 3_100_000, ResultTTL: 4 * time.Second,
		},
		"rank": {
			Slots: 1, MaxPieces: 36, CallTime: 240 * time.Millisecond, PieceTime: 5700 * time.Microsecond,
			ResultMemoryBytes: 400_000, ResultTTL: 4 * time.Second,
		},
	}
	fleet := &radishfleet.Fleet{DataCentre: "dc-0"}
	for service, targets := range map[string]int{"enc": 49, "find": 35, "rank": 41} {
		for i := range targets {
			name := fmt.Sprintf("%s-%d", service, i)
			dataCentre := fmt.Sprintf("dc-%d", i%6)
			fleet.Set(radish.Target{Name: name, Address: name + ":1", DataCentre: dataCentre, Service: service, Slots: 1}, time.Now())
		}
	}
	return &Coordinator{
		Fleet: fleet, Client: &promptTargets{batches: batches}, Shards: 1, Log: hclog.NewNullLogger(),
		Batch: func(service string) *radishroute.BatchSettings { return batches[service] },
	}
}

// newLargePlan returns a plan of one of two kinds: data-heavy pieces of one stage that are due soon, or a chain of three stages.
func newLargePlan(n int) *Plan {
	p := &Plan{CallID: fmt.Sprint(n), Key: "k", Deadline: time.Now().Add(11 * time.Second), Worth: 1}
	if n%6 == 0 {
		p.Due, p.Near = time.Now().Add(1500*time.Millisecond), fmt.Sprintf("dc-%d", n/6%6)
		p.Stages = []Stage{{Service: "enc", Pieces: 1 + n/6%4, ResultBytes: 800_000}}
		return p
	}
	p.Due = time.Now().Add(2800 * time.Millisecond)
	p.Stages = []Stage{
		{Service: "enc", Pieces: 1, ResultBytes: 8000},
		{Service: "find", After: []int{0}, Pieces: 4, ResultBytes: 60_000},
		{Service: "rank", After: []int{1}, Pieces: 1 + n%11, ResultBytes: 6000},
	}
	return p
}

// largeVMCores is the processor of the largest VMs, which coordinate; the decisions about pieces may take a quarter of it, since
// the messages and log lines of the plans need the rest.
const largeVMCores = 0.8

// TestReplayBurstLeavesCoordinatorResponsive replays twice the plans that 125 targets can serve, with thousands of pieces queued. A
// coordinator that spends its whole processor on them answers no probe in time: its peers replace it while its calls still run, and
// two coordinators then find most targets full.
//
// The race detector multiplies the processor time, so that the bound holds only without it.
func TestReplayBurstLeavesCoordinatorResponsive(t *testing.T) {
	testBurstLeavesCoordinatorResponsive(t, newLargePlan)
}

// TestReplayBurstWithPrioritiesLeavesCoordinatorResponsive replays the same plans with priorities, values and teams, which need more
// decisions.
func TestReplayBurstWithPrioritiesLeavesCoordinatorResponsive(t *testing.T) {
	testBurstLeavesCoordinatorResponsive(t, func(n int) *Plan {
		p := newLargePlan(n)
		p.Urgency = &radishadmission.Urgency{Priority: n % 3, Team: fmt.Sprint("team-", n%7), Value: float64(500 + n%5*300)}
		return p
	})
}

func testBurstLeavesCoordinatorResponsive(t *testing.T, newPlan func(n int) *Plan) {
	t.Helper()
	// On more processors, the collector's idle workers would count as well.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const (
		plansPerSecond = 730
		seconds        = 8
	)
	synctest.Test(t, func(t *testing.T) {
		c := newLargeCoordinator()
		var queued int
		began := processorTime(t)
		for n := range plansPerSecond * seconds {
			time.Sleep(time.Second / plansPerSecond)
			p := newPlan(n)
			go func() {
				result, err := c.Run(context.Background(), p)
				if err != nil {
					return
				}
				// The engine reads the results before they are released.
				time.Sleep(200 * time.Millisecond)
				for _, handles := range result.Handles {
					c.Free(handles)
				}
			}()
			queued = max(queued, waitingPieces(c))
		}
		cores := (processorTime(t) - began).Seconds() / seconds
		t.Logf("%.2f of a core, at most %d pieces queued", cores, queued)
		if queued < 1000 {
			t.Errorf("at most %d pieces were queued: this is no burst", queued)
		}
		if limit := largeVMCores / 4; cores > limit {
			t.Errorf("the decisions took %.2f of a core, want at most %.2f", cores, limit)
		}
		time.Sleep(30 * time.Second)
	})
}

// waitingPieces returns the number of pieces that are queued or will be when their jobs are no longer held.
func waitingPieces(c *Coordinator) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, q := range c.queues {
		total += q.Len()
	}
	for j := range c.heldJobs {
		for _, s := range j.plan.Stages {
			total += s.Pieces
		}
	}
	return total
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
