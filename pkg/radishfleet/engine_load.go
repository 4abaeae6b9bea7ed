package radishfleet

import (
	"math"
	"time"
)

const (
	// promptSampleWeight is the weight of the latest prompt in the mean number of tokens that a call's engine has to read.
	promptSampleWeight = 0.05
	// minLoadSlack and loadSlackPerSlot replace affinityLoadSlack, which remains the limit, for engines whose speeds differ: a few more
	// calls delay each other at an engine with few slots, and are worth an unread prompt at one with many.
	minLoadSlack     = 1.0
	loadSlackPerSlot = 0.25
	// hashWeightStep is the step, as a power of two, in which the weight of an engine follows its learned speed. VMs that learn
	// slightly different speeds then mostly assign a prompt to the same engine.
	hashWeightStep = 0.25
	// hashWeightMargin is how far, in steps, the speed must be from the weight in use for the weight to change.
	hashWeightMargin = 0.75
)

// addPrompt counts the tokens of a call that the target begins to read.
func (f *Fleet) addPrompt(s *targetState, tokens int) {
	if tokens <= 0 {
		return
	}
	s.promptTokens += tokens
	v := f.speedsOf(s.target.Service)
	if v.meanPromptTokens == 0 {
		v.meanPromptTokens = float64(tokens)
	}
	v.meanPromptTokens += promptSampleWeight * (float64(tokens) - v.meanPromptTokens)
}

// PromptRead records that the target has read the prompt of a call that Pick assigned to it, or that the call ended before that.
func (f *Fleet) PromptRead(name string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[name]; s != nil {
		s.promptTokens = max(0, s.promptTokens-tokens)
	}
}

// promptWork returns the prompts that the engine is reading for this VM, in calls: while an engine reads a prompt, its other calls wait.
func (f *Fleet) promptWork(s *targetState) float64 {
	if s.promptTokens == 0 {
		return 0
	}
	return float64(s.promptTokens) / f.speedsOf(s.target.Service).meanPromptTokens
}

// engineLoads estimates the load that engines would have with another call, in calls at an engine of mean speed.
type engineLoads struct {
	fleet *Fleet
	now   time.Time
	mean  float64
}

// engineLoadsOf returns the loads of the engines. The mean is that of the engines whose load is known, or of this VM's own calls if
// none is.
func (f *Fleet) engineLoadsOf(all []*targetState, now time.Time) engineLoads {
	loads := engineLoads{fleet: f, now: now}
	known, reports, own := 0.0, 0.0, 0.0
	for _, s := range all {
		own += loads.own(s)
		if loads.isKnown(s) {
			known += loads.reported(s)
			reports++
		}
	}
	loads.mean = own / float64(max(1, len(all)))
	if reports > 0 {
		loads.mean = max(loads.mean, known/reports)
	}
	return loads
}

// own returns the load by this VM's calls.
func (l *engineLoads) own(s *targetState) float64 {
	return s.relativeSlowness() * plausiblePace(s.usualPace) * (1 + float64(s.inFlight) + l.fleet.promptWork(s))
}

// reported returns the load by the latest report and the calls that this VM has sent since.
func (l *engineLoads) reported(s *targetState) float64 {
	calls := max(s.inFlight, s.latest.load.Running+s.latest.load.Waiting+s.latest.sentSince)
	return s.relativeSlowness() * s.paceAt(l.now) * (1 + float64(calls) + l.fleet.promptWork(s))
}

// isKnown reports whether the engine reported its load a short time ago. Streams take seconds, so the number of calls changes slowly.
func (l *engineLoads) isKnown(s *targetState) bool {
	return s.latest.load.Reported && l.now.Sub(s.latest.at) < loadReportTTL
}

// of returns the expected load. What is not known of it is taken to be as at the mean of the engines.
func (l *engineLoads) of(s *targetState) float64 {
	if l.isKnown(s) {
		return max(l.own(s), l.reported(s))
	}
	return max(l.own(s), l.mean)
}

// pickByHashAndLoad returns the engine to which the prompt is assigned if its expected load is close to the mean. Otherwise it returns
// the less loaded one of the next two, so that the prompt is kept by few engines; nil if no eligible engine's load is close to the mean.
func (f *Fleet) pickByHashAndLoad(q Query, eligible, all []*targetState, now time.Time) *targetState {
	loads := f.engineLoadsOf(all, now)
	promptWeight := f.promptWeights(q, all)
	var assigned, first, second *targetState
	var assignedScore, firstScore, secondScore float64
	for _, s := range eligible {
		if s.decayedFailureRate(now) > maxAffinityFailureRate {
			continue
		}
		score := q.hashScore(s) * s.hashWeight() * promptWeight(s)
		if assigned == nil || score > assignedScore {
			assigned, assignedScore = s, score
		}
		switch {
		case first != nil && score < secondScore || loads.of(s) > s.maxEngineLoad(loads.mean):
		case first == nil || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = s, score
		default:
			second, secondScore = s, score
		}
	}
	if second == nil || first == assigned || loads.of(first) <= loads.of(second) {
		return first
	}
	return second
}

// maxEngineLoad returns the load up to which the engine is picked by affinity.
func (s *targetState) maxEngineLoad(mean float64) float64 {
	slack := min(affinityLoadSlack, max(minLoadSlack, loadSlackPerSlot*float64(s.target.Slots)))
	return slack + affinityLoadFactor*mean
}

// updateHashWeight lets the weight of the engine follow its learned speed in steps.
func (s *targetState) updateHashWeight() {
	speed := -math.Log2(s.relativeSlowness()) / hashWeightStep
	if math.Abs(speed-s.hashWeightSteps) > hashWeightMargin {
		s.hashWeightSteps = math.Round(speed)
	}
}

// hashWeight returns the weight of the engine in the assignment of prompts.
func (s *targetState) hashWeight() float64 {
	if s.hashWeightSteps == 0 {
		return 1
	}
	return math.Exp2(s.hashWeightSteps * hashWeightStep)
}
