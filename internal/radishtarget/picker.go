package radishtarget

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

func init() {
	radish.Pickers.Register("random", func() radish.Picker { return randomPicker{} })
	radish.Pickers.Register("round_robin", func() radish.Picker { return &roundRobinPicker{} })
	radish.Pickers.Register("least_in_flight", func() radish.Picker { return leastInFlightPicker{} })
	radish.Pickers.Register("power_of_two", func() radish.Picker { return powerOfTwoPicker{} })
	radish.Pickers.Register("affinity", func() radish.Picker { return affinityPicker{} })
}

type randomPicker struct{}

// Pick implements radish.Picker.
func (randomPicker) Pick(candidates []radish.Candidate, _ string) int {
	return rand.IntN(len(candidates))
}

type roundRobinPicker struct{ next atomic.Uint64 }

// Pick implements radish.Picker.
func (p *roundRobinPicker) Pick(candidates []radish.Candidate, _ string) int {
	return int(p.next.Add(1) % uint64(len(candidates)))
}

type leastInFlightPicker struct{}

// Pick implements radish.Picker.
func (leastInFlightPicker) Pick(candidates []radish.Candidate, _ string) int {
	best := rand.IntN(len(candidates))
	for i, c := range candidates {
		if c.InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// estimatedLoad returns the estimated number of attempts in flight at the target: those of this VM plus those of all
// other VMs according to the target's last report.
func estimatedLoad(c radish.Candidate) int { return c.InFlight + c.OtherLoad }

// estimatedWait estimates how long a new attempt would take at the target: its recent latency multiplied by its load.
// The result is only meant for comparisons between targets.
func estimatedWait(c radish.Candidate) float64 {
	return float64(estimatedLoad(c)+1) * float64(max(c.Latency, time.Millisecond))
}

// powerOfTwoPicker picks two targets at random and chooses the one with the shorter estimated wait.
type powerOfTwoPicker struct{}

// Pick implements radish.Picker.
func (powerOfTwoPicker) Pick(candidates []radish.Candidate, _ string) int {
	a := rand.IntN(len(candidates))
	if len(candidates) == 1 {
		return a
	}
	b := (a + 1 + rand.IntN(len(candidates)-1)) % len(candidates)
	if estimatedWait(candidates[b]) < estimatedWait(candidates[a]) {
		return b
	}
	return a
}

// affinityLoadFactor is the maximum ratio of a target's load to the mean load at which it still gets attempts because
// of their prefix.
const affinityLoadFactor = 1.25

// affinityPicker sends attempts with the same prompt prefix to the same target, by rendezvous hashing with bounded
// loads: targets whose load is above the bound are skipped.
type affinityPicker struct{}

// Pick implements radish.Picker.
func (affinityPicker) Pick(candidates []radish.Candidate, prefixKey string) int {
	if prefixKey == "" {
		return powerOfTwoPicker{}.Pick(candidates, prefixKey)
	}
	total := 1
	for _, c := range candidates {
		total += estimatedLoad(c)
	}
	bound := affinityLoadFactor * float64(total) / float64(len(candidates))
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		if float64(estimatedLoad(c)+1) > bound+1 {
			continue
		}
		score := radish.RendezvousScore(c.Target.Name, prefixKey)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return powerOfTwoPicker{}.Pick(candidates, prefixKey)
	}
	return best
}
