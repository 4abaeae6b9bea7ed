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
	radish.Pickers.Register("least_in_flight", func() radish.Picker { return leastPicker{} })
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

type leastPicker struct{}

// Pick implements radish.Picker.
func (leastPicker) Pick(candidates []radish.Candidate, _ string) int {
	best := rand.IntN(len(candidates))
	for i, c := range candidates {
		if c.InFlight < candidates[best].InFlight {
			best = i
		}
	}
	return best
}

// load is what a VM expects to wait for: its own work plus what others had there at the last report.
func load(c radish.Candidate) int { return c.InFlight + c.OtherLoad }

// expectedWait is how long a new attempt would take at the target: its latency of late, in proportion to its load.
func expectedWait(c radish.Candidate) float64 {
	return float64(load(c)+1) * float64(max(c.Latency, time.Millisecond))
}

// powerOfTwoPicker takes the better of two random targets.
type powerOfTwoPicker struct{}

// Pick implements radish.Picker.
func (powerOfTwoPicker) Pick(candidates []radish.Candidate, _ string) int {
	a := rand.IntN(len(candidates))
	if len(candidates) == 1 {
		return a
	}
	b := (a + 1 + rand.IntN(len(candidates)-1)) % len(candidates)
	if expectedWait(candidates[b]) < expectedWait(candidates[a]) {
		return b
	}
	return a
}

// affinityBound is how far above the mean the load of a prefix's own target may be.
const affinityBound = 1.25

// affinityPicker sends requests with the same prefix to the same target while its load is within the bound.
type affinityPicker struct{}

// Pick implements radish.Picker.
func (affinityPicker) Pick(candidates []radish.Candidate, prefixKey string) int {
	if prefixKey == "" {
		return powerOfTwoPicker{}.Pick(candidates, prefixKey)
	}
	total := 1
	for _, c := range candidates {
		total += load(c)
	}
	bound := affinityBound * float64(total) / float64(len(candidates))
	best, bestScore := -1, uint64(0)
	for i, c := range candidates {
		if float64(load(c)+1) > bound+1 {
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
