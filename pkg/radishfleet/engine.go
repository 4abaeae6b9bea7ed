package radishfleet

import (
	"math"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// affinityFactor and affinitySlack bound the load of a prompt's own engine against the mean.
	affinityFactor = 1.3
	affinitySlack  = 6.0
	// maxAffinityFailures is the share of failures above which an engine is passed over.
	maxAffinityFailures = 0.3
)

// bestByAffinity takes the engine with the highest hash for the prompt whose load is near the mean, in the data centre
// of the inputs if there is one.
func (f *Fleet) bestByAffinity(q Query, candidates []*state, now time.Time) *state {
	if q.Near != "" {
		near := slices.DeleteFunc(slices.Clone(candidates), func(s *state) bool { return s.target.DataCentre != q.Near })
		if s := f.bestByHash(q, near, candidates, now); s != nil {
			return s
		}
	}
	if s := f.bestByHash(q, candidates, candidates, now); s != nil {
		return s
	}
	q.Affinity = ""
	return f.best(q, candidates, now)
}

func (f *Fleet) bestByHash(q Query, among, all []*state, now time.Time) *state {
	total := 0.0
	for _, s := range all {
		total += s.busy(now)
	}
	bound := affinitySlack + affinityFactor*total/float64(max(1, len(all)))
	var best *state
	bestScore := 0.0
	for _, s := range among {
		if s.busy(now) > bound || s.failureShare(now) > maxAffinityFailures {
			continue
		}
		score := q.score(s)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// score is the engine's weight for the prompt: by weighted rendezvous hashing, an engine wins in proportion to the
// part of its data centre.
func (q *Query) score(s *state) float64 {
	hash := (float64(radish.RendezvousScore(s.target.Name, q.Affinity)) + 1) / math.MaxUint64
	weight := 1.0
	if q.Weights != nil {
		weight = q.Weights[s.target.DataCentre]
	}
	return -weight / math.Log(min(hash, 1-1e-12))
}

// Place returns the data centre of the engine that the prompt belongs to; "" when there is none.
func (f *Fleet) Place(q Query, now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.warm(q, now)
	if s := f.bestByHash(q, candidates, candidates, now); s != nil {
		return s.target.DataCentre
	}
	return ""
}

// Weights returns, by data centre, how many targets of the stage service it has for each engine of the service.
func (f *Fleet) Weights(stage, engine string, now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	stages, engines := f.countByPlace(stage, now), f.countByPlace(engine, now)
	weights := make(map[string]float64, len(engines))
	for place, n := range engines {
		weights[place] = stages[place] / n
	}
	return weights
}

func (f *Fleet) countByPlace(service string, now time.Time) map[string]float64 {
	counts := make(map[string]float64)
	for _, s := range f.byService[service] {
		if f.isUsable(s) && !f.isOut(s, now) {
			counts[s.target.DataCentre]++
		}
	}
	return counts
}
