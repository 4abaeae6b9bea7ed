package radishfleet

import (
	"math"
	"time"
)

const (
	// errorSampleWeight is the weight of the latest response in the moving average of error responses. It is small, since calls
	// that fail at every target must not make a target look faulty by chance.
	errorSampleWeight = 0.1
	// errorHalfLife is the half-life of the rate of error responses of a target that gets no calls, after which it is tried
	// again.
	errorHalfLife = 3 * time.Second
	// errorRateSlack is how far a target's rate may exceed the mean of its service's targets without consequences.
	errorRateSlack = 0.2
)

// errorRate is the share of error responses among the latest responses of one target. It is for targets that fail part of
// their calls quickly: they have little load, so that without this they would get more calls than others.
type errorRate struct {
	rate      float64
	updatedAt time.Time
}

// record adds a response.
func (e *errorRate) record(isError bool, now time.Time) {
	sample := 0.0
	if isError {
		sample = 1
	}
	e.rate = e.at(now)*(1-errorSampleWeight) + errorSampleWeight*sample
	e.updatedAt = now
}

// at returns the rate as of now.
func (e *errorRate) at(now time.Time) float64 {
	if e.rate == 0 {
		return 0
	}
	return e.rate * math.Exp2(-now.Sub(e.updatedAt).Seconds()/errorHalfLife.Seconds())
}

// excess returns by how much the rate exceeds the mean of the service's targets and the slack, or 0 if it does not.
func (e *errorRate) excess(mean float64, now time.Time) float64 {
	return max(0, e.at(now)-mean-errorRateSlack)
}

// meanErrorRateOf returns the mean rate of error responses of the targets.
func meanErrorRateOf(targets []*targetState, now time.Time) float64 {
	sum := 0.0
	for _, s := range targets {
		sum += s.errorResponses.at(now)
	}
	return sum / float64(max(1, len(targets)))
}
