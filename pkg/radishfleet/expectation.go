package radishfleet

import (
	"math/rand/v2"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// maxReportAge is the age up to which a report counts; its weight falls linearly from 1 to 0 over that time. A machine is slow for some
	// hundred milliseconds at a time, and other VMs send calls meanwhile.
	maxReportAge = 500 * time.Millisecond
	// randomChoices is the number of random targets of which the best is chosen. Many VMs read the same report: if each chose the
	// best of all, all would choose the same target.
	randomChoices = 3
	// minPace and maxPace bound the reported paces; values outside are clamped.
	minPace = 0.5
	maxPace = 8
	// maxReportedCost limits what one target's report adds to the mean expected time, so that a false one has little effect.
	maxReportedCost = 8
)

// latestReport is the latest report of a target's load, whatever kind of response it came with.
type latestReport struct {
	load radish.TargetLoad
	at   time.Time
	// sentSince is the number of calls that this VM has sent to the target since.
	sentSince int
}

// recordReport records a report. If it contains a pace, the targets of the service count as uneven.
func (f *Fleet) recordReport(s *targetState, load radish.TargetLoad, now time.Time) {
	s.latest = latestReport{load: load, at: now}
	if load.Pace == 0 && f.speeds[s.target.Service] == nil {
		return
	}
	v := f.speedsOf(s.target.Service)
	if load.Pace > 0 {
		v.unevenUntil = now.Add(unevenHold)
		f.lowerUsualPace(s, load.Pace)
	}
	v.meanCost += costSampleWeight * (min(maxReportedCost, s.reportedCost()) - v.meanCost)
}

// weight returns the weight of the report by its age, from 1 to 0.
func (r *latestReport) weight(now time.Time) float64 {
	age := now.Sub(r.at)
	if !r.load.Reported || age >= maxReportAge {
		return 0
	}
	return 1 - float64(max(0, age))/float64(maxReportAge)
}

// paceAt returns the reported pace, drawn towards the usual pace as the report ages.
func (s *targetState) paceAt(now time.Time) float64 {
	usual := plausiblePace(s.usualPace)
	return usual + s.latest.weight(now)*(s.latest.pace()-usual)
}

// pace returns the reported pace, 1 if the target reported none.
func (r *latestReport) pace() float64 { return plausiblePace(r.load.Pace) }

// plausiblePace returns the pace clamped to the range from minPace to maxPace, 1 if there is none.
func plausiblePace(pace float64) float64 {
	if pace == 0 {
		return 1
	}
	return min(maxPace, max(minPace, pace))
}

// queueShare returns the calls in relation to the target's slots.
func (s *targetState) queueShare(calls int) float64 {
	return float64(calls) / float64(max(1, s.target.Slots))
}

// reportedCost returns the expected time of a call at the target by its latest report, in times of an average call.
func (s *targetState) reportedCost() float64 {
	calls := max(s.inFlight, s.latest.load.Running+s.latest.load.Waiting+s.latest.sentSince)
	return s.relativeSlowness() * s.latest.pace() * (1 + s.queueShare(calls))
}

// expectedCost returns the expected time of a call at the target. What is not known of its load is taken to be as at the mean of
// the targets, but no target is taken to be faster than it is without load.
func (s *targetState) expectedCost(meanCost float64, now time.Time) float64 {
	slowness := s.relativeSlowness()
	unknown := max(slowness, meanCost) + slowness*s.queueShare(s.inFlight)
	weight := s.latest.weight(now)
	if weight == 0 {
		return unknown
	}
	return weight*s.reportedCost() + (1-weight)*unknown
}

// pickByTime picks the target with the least expected time among a few random ones, of which those with more capacity are more
// likely to be drawn.
func (f *Fleet) pickByTime(q Query, candidates []*targetState, now time.Time) *targetState {
	if len(candidates) == 0 {
		return nil
	}
	meanCost := f.speedsOf(q.Service).meanCost
	meanErrorRate := meanErrorRateOf(candidates, now)
	var best *targetState
	bestCost := 0.0
	for _, s := range f.draw(candidates) {
		cost := s.expectedCost(meanCost, now) + failureRateCost*(s.decayedFailureRate(now)+s.errorResponses.excess(meanErrorRate, now))
		if s.target.DataCentre != f.DataCentre {
			cost += remoteDataCentreCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// draw returns random candidates, each with a probability in proportion to its capacity.
func (f *Fleet) draw(candidates []*targetState) [randomChoices]*targetState {
	total := 0.0
	for _, s := range candidates {
		total += s.capacity()
	}
	var at [randomChoices]float64
	for i := range at {
		at[i] = f.random() * total
	}
	var drawn [randomChoices]*targetState
	for _, s := range candidates {
		capacity := s.capacity()
		for i := range at {
			if drawn[i] == nil && at[i] < capacity {
				drawn[i] = s
			}
			at[i] -= capacity
		}
	}
	for i := range drawn {
		if drawn[i] == nil {
			// Rounding may leave a draw just beyond the last candidate.
			drawn[i] = candidates[len(candidates)-1]
		}
	}
	return drawn
}

// capacity returns the number of slots in relation to the time that work takes at the target.
func (s *targetState) capacity() float64 {
	return float64(max(1, s.target.Slots)) / s.relativeSlowness()
}

func (f *Fleet) random() float64 {
	if f.rand != nil {
		return f.rand.Float64()
	}
	return rand.Float64()
}

// addExpectation adds what the choice by expected time is based on.
func (f *Fleet) addExpectation(snapshot *TargetSnapshot, s *targetState, now time.Time) {
	snapshot.Slowness, snapshot.UnreadTokens = s.relativeSlowness(), s.promptTokens
	if s.latest.load.Pace > 0 {
		snapshot.Pace, snapshot.PaceAge = s.latest.load.Pace, now.Sub(s.latest.at)
	}
	if f.isUneven(s.target.Service, now) {
		snapshot.IsUneven, snapshot.ExpectedCost = true, s.expectedCost(f.speedsOf(s.target.Service).meanCost, now)
	}
}
