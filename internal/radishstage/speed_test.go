package radishstage

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

// halfSlow makes targets with an even number take twice the nominal time.
func halfSlow(target string) float64 {
	if (target[len(target)-1]-'0')%2 == 0 {
		return 2
	}
	return 1
}

// TestReplayUnevenStageTargets replays plans at targets of which half need twice the time, at about two thirds of their capacity. It
// guards against slow targets that get as many pieces as fast ones, and the last pieces of a call while a fast one is about to be free.
func TestReplayUnevenStageTargets(t *testing.T) {
	const maxP50, maxP99 = 520 * time.Millisecond, 900 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		p50, p99, refused, _ := replayStageTargets(halfSlow)
		t.Logf("p50 %v, p99 %v, %d refused", p50, p99, refused)
		if p50 > maxP50 || p99 > maxP99 || refused > 0 {
			t.Errorf("p50 %v, p99 %v, %d refused; want at most %v, %v and none", p50, p99, refused, maxP50, maxP99)
		}
	})
}

// TestEvenStageTargetsAreServedAsBefore replays the same plans at targets of equal speed: no batch may be adapted to learned times.
func TestEvenStageTargetsAreServedAsBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if _, _, _, factors := replayStageTargets(nil); factors != nil {
			t.Errorf("times of equal targets differ: %v", factors)
		}
	})
}

// replayStageTargets replays plans of two stages at 20 targets. It returns the times of the plans after the first ones, from which the
// speeds are learned, the number of refused ones, and the time factors at the end.
func replayStageTargets(timeFactor func(target string) float64) (p50, p99 time.Duration, refused int, factors map[string]float64) {
	const (
		plansPerSecond = 60
		seconds        = 40
		learned        = 10 * time.Second
	)
	batch := &radishroute.BatchSettings{
		Slots: 1, MaxPieces: 16, CallTime: 100 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultMemoryBytes: 1 << 30, ResultTTL: 4 * time.Second,
	}
	batches := map[string]*radishroute.BatchSettings{"enc": batch}
	fleet := &radishfleet.Fleet{DataCentre: "a"}
	for i := range 20 {
		name := fmt.Sprintf("enc-%d", i)
		fleet.Set(radish.Target{Name: name, Address: name + ":1", DataCentre: "a", Service: "enc", Slots: 1}, time.Now())
	}
	c := &Coordinator{
		Fleet: fleet, Client: &promptTargets{batches: batches, timeFactor: timeFactor}, Shards: 1, Log: hclog.NewNullLogger(),
		Batch: func(service string) *radishroute.BatchSettings { return batches[service] },
	}
	rnd, began := rand.New(rand.NewPCG(1, 2)), time.Now()
	var mu sync.Mutex
	var times []time.Duration
	for n := range plansPerSecond * seconds {
		time.Sleep(time.Duration(rnd.ExpFloat64() * float64(time.Second) / plansPerSecond))
		p := &Plan{CallID: fmt.Sprint(n), Key: "k", Due: time.Now().Add(3 * time.Second), Deadline: time.Now().Add(8 * time.Second), Worth: 1}
		p.Stages = []Stage{{Service: "enc", Pieces: 1 + n%4, ResultBytes: 800}, {Service: "enc", After: []int{0}, Pieces: 1 + n%3, ResultBytes: 800}}
		go func() {
			startedAt := time.Now()
			result, err := c.Run(context.Background(), p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				refused++
				return
			}
			for _, handles := range result.Handles {
				c.Free(handles)
			}
			if startedAt.Sub(began) > learned {
				times = append(times, time.Since(startedAt))
			}
		}()
	}
	factors = fleet.TimeFactors("enc", time.Now())
	time.Sleep(20 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100], refused, factors
}
