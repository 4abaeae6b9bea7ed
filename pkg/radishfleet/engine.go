package radishfleet

import (
	"math"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// affinityLoadFactor and affinityLoadSlack bound the load up to which an engine is picked by affinity: the factor
	// times the mean load of the engines, plus the slack.
	affinityLoadFactor = 1.3
	affinityLoadSlack  = 6.0
	// maxAffinityFailureRate is the failure rate above which an engine is not picked by affinity.
	maxAffinityFailureRate = 0.3
)

// pickByAffinity picks the engine with the highest hash score for the prompt among those whose load is close to the
// mean, preferring the data centre of the call's inputs. If there is none, it ignores affinity.
func (f *Fleet) pickByAffinity(q Query, candidates []*targetState, now time.Time) *targetState {
	if q.PreferredDataCentre != "" {
		local := slices.DeleteFunc(slices.Clone(candidates), func(s *targetState) bool { return s.target.DataCentre != q.PreferredDataCentre })
		if s := f.pickByHash(q, local, candidates, now); s != nil {
			return s
		}
	}
	if s := f.pickByHash(q, candidates, candidates, now); s != nil {
		return s
	}
	q.AffinityKey = ""
	return f.pickBest(q, candidates, now)
}

func (f *Fleet) pickByHash(q Query, eligible, all []*targetState, now time.Time) *targetState {
	if f.isUneven(q.Service, now) {
		return f.pickByHashAndLoad(q, eligible, all, now)
	}
	total := 0.0
	for _, s := range all {
		total += s.load(now)
	}
	maxLoad := affinityLoadSlack + affinityLoadFactor*total/float64(max(1, len(all)))
	var best *targetState
	bestScore := 0.0
	for _, s := range eligible {
		if s.load(now) > maxLoad || s.decayedFailureRate(now) > maxAffinityFailureRate {
			continue
		}
		score := q.hashScore(s)
		if best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// hashScore returns the engine's score for the prompt by weighted rendezvous hashing: the probability that an engine
// has the highest score is proportional to the weight of its data centre.
func (q *Query) hashScore(s *targetState) float64 {
	draw := (float64(radish.RendezvousScore(s.target.Name, q.AffinityKey)) + 1) / math.MaxUint64
	weight := 1.0
	if q.DataCentreWeights != nil {
		weight = q.DataCentreWeights[s.target.DataCentre]
	}
	return -weight / math.Log(min(draw, 1-1e-12))
}

// AffinityDataCentre returns the data centre of the engine to which affinity assigns the prompt, or "" if there is none.
func (f *Fleet) AffinityDataCentre(q Query, now time.Time) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	q.versions = f.versionsFor(q.Service, q.Route, 0, now)
	candidates := f.warmTargets(q, now)
	if s := f.pickByHash(q, candidates, candidates, now); s != nil {
		return s.target.DataCentre
	}
	return ""
}

// StageTargetsPerEngine returns, by data centre, the number of targets of the stage service per engine of the engine
// service.
func (f *Fleet) StageTargetsPerEngine(stage, engine string, now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	stageTargets, engineTargets := f.countByDataCentre(stage, now), f.countByDataCentre(engine, now)
	weights := make(map[string]float64, len(engineTargets))
	for dataCentre, engineCount := range engineTargets {
		weights[dataCentre] = stageTargets[dataCentre] / engineCount
	}
	return weights
}

func (f *Fleet) countByDataCentre(service string, now time.Time) map[string]float64 {
	counts := make(map[string]float64)
	versions := f.versionsFor(service, "", 0, now)
	for _, s := range f.byService[service] {
		if f.isAvailable(s, versions, now) {
			counts[s.target.DataCentre]++
		}
	}
	return counts
}
