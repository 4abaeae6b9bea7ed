package radishengine

import (
	"slices"
	"sync"
	"time"
)

const (
	// baseOverhead and promptTokensPerMs describe the reference engine, to which observed times are compared: its time
	// without the prompt, and the rate at which it processes prompts.
	baseOverhead      = 120 * time.Millisecond
	promptTokensPerMs = 40
	// windowSize is the number of latest observations of a service that count.
	windowSize = 48
	// initialSamples is the weight of the reference engine, in observations, while few calls have been observed.
	initialSamples = 6
	// estimateQuantile is the share of calls that should take no longer than estimated; a call that takes longer misses its
	// latency objective although its stages were on time.
	estimateQuantile = 0.8
	// minRatio bounds the estimate from below, as a fraction of the reference engine's time.
	minRatio = 0.1
)

// Estimator learns the time to the first event from the calls of one VM. The zero value assumes the reference engine for every
// service. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	services map[string]*window
}

// window holds the latest ratios of observed times to those of the reference engine.
type window struct {
	ratios [windowSize]float64
	next   int
	// quantile caches the estimated ratio.
	quantile float64
}

// Record adds an observation: the engine of the service took the given time until the first event of a call whose prompt has
// the given number of tokens.
func (e *Estimator) Record(service string, promptTokens int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := e.services[service]
	if w == nil {
		if e.services == nil {
			e.services = make(map[string]*window)
		}
		w = &window{}
		e.services[service] = w
	}
	w.add(float64(took) / float64(ReferenceTime(promptTokens)))
}

// Estimate returns the time that an engine of the service is likely to need until the first event for a prompt of the given
// number of tokens.
func (e *Estimator) Estimate(service string, promptTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	reference := ReferenceTime(promptTokens)
	w := e.services[service]
	if w == nil {
		return reference
	}
	return time.Duration(w.quantile * float64(reference))
}

// ReadTime returns the time that an engine of the service is likely to need to read the given number of prompt tokens that it
// does not keep.
func (e *Estimator) ReadTime(service string, promptTokens int) time.Duration {
	return e.Estimate(service, promptTokens) - e.Estimate(service, 0)
}

func (w *window) add(ratio float64) {
	w.ratios[w.next%windowSize] = ratio
	w.next++
	ratios := slices.Clone(w.ratios[:min(w.next, windowSize)])
	for range initialSamples - w.next {
		ratios = append(ratios, 1)
	}
	slices.Sort(ratios)
	w.quantile = max(minRatio, ratios[int(estimateQuantile*float64(len(ratios)))])
}

// ReferenceTime returns the time that the reference engine needs until the first event for a prompt of the given number of tokens.
func ReferenceTime(promptTokens int) time.Duration {
	return baseOverhead + time.Duration(promptTokens/promptTokensPerMs)*time.Millisecond
}
