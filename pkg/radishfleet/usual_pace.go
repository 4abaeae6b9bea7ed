package radishfleet

import (
	"hash/fnv"
	"math"
	"strconv"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// paceStep is the resolution of usual paces, so that VMs soon agree on them.
	paceStep = 0.05
	// longPromptExponent is the exponent of an engine's usual speed in its weight for long prompts. An engine that reads a long prompt
	// produces the events of all its other calls several times more slowly, and on a slow engine such gaps exceed what callers accept.
	// With this exponent, nine in ten long prompts go to the faster quarter of engines that differ by a factor of two.
	longPromptExponent = 4
)

// TargetPace is the usual pace of a target: the least factor by which it reported that work takes longer there. Slow periods only raise the
// reported factors, so that the usual pace only falls, and VMs may exchange it in any order.
type TargetPace struct {
	// Key identifies the target and its start.
	Key  uint32
	Pace float64
}

// paceKey returns a hash of the target's name and start.
func paceKey(t radish.Target) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.Name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(strconv.FormatInt(t.StartedUnixMilli, 36)))
	return h.Sum32()
}

// lowerUsualPace makes the reported pace the target's usual one if it is lower.
func (f *Fleet) lowerUsualPace(s *targetState, pace float64) {
	pace = math.Round(plausiblePace(pace)/paceStep) * paceStep
	if s.usualPace > 0 && pace > s.usualPace-paceStep/2 {
		return
	}
	f.paceDigest ^= s.paceHash()
	s.usualPace = pace
	f.paceDigest ^= s.paceHash()
}

// paceHash returns a hash of the target's usual pace, or 0 if it is unknown.
func (s *targetState) paceHash() uint64 {
	if s.usualPace == 0 {
		return 0
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(strconv.FormatUint(uint64(paceKey(s.target)), 36)))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(strconv.Itoa(int(math.Round(s.usualPace / paceStep)))))
	return h.Sum64()
}

// PaceDigest returns a hash of the usual paces of all targets; 0 if none is known.
func (f *Fleet) PaceDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paceDigest
}

// Paces returns the usual paces that are known.
func (f *Fleet) Paces() []TargetPace {
	f.mu.Lock()
	defer f.mu.Unlock()
	var paces []TargetPace
	for _, s := range f.targets {
		if s.usualPace > 0 {
			paces = append(paces, TargetPace{Key: paceKey(s.target), Pace: s.usualPace})
		}
	}
	return paces
}

// MergePaces takes over the usual paces of another VM that are lower than those known here.
func (f *Fleet) MergePaces(paces []TargetPace) {
	byKey := make(map[uint32]float64, len(paces))
	for _, p := range paces {
		byKey[p.Key] = p.Pace
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if pace := byKey[paceKey(s.target)]; pace > 0 {
			f.lowerUsualPace(s, pace)
		}
	}
}

// promptWeights returns the function that weights the engines for the call's prompt by their usual speeds: 1 for all engines unless the
// prompt is longer than the service's mean and the usual paces differ.
func (f *Fleet) promptWeights(q Query, engines []*targetState) func(*targetState) float64 {
	even := func(*targetState) float64 { return 1 }
	if float64(q.PromptTokens) <= f.speedsOf(q.Service).meanPromptTokens {
		return even
	}
	mean, ok := meanUnevenPace(engines)
	if !ok {
		return even
	}
	return func(s *targetState) float64 {
		if s.usualPace == 0 {
			return 1
		}
		return math.Pow(mean/s.usualPace, longPromptExponent)
	}
}

// meanUnevenPace returns the mean of the usual paces that are known; ok is false unless they differ by more than a quarter.
func meanUnevenPace(targets []*targetState) (mean float64, ok bool) {
	sum, n, slowest, fastest := 0.0, 0, 0.0, math.Inf(1)
	for _, s := range targets {
		if s.usualPace == 0 {
			continue
		}
		sum += s.usualPace
		n++
		slowest, fastest = max(slowest, s.usualPace), min(fastest, s.usualPace)
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), slowest > minUnevenRatio*fastest
}
