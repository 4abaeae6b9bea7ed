package radishhedge

import (
	"sync"
	"time"
)

// MinQuantile is the quantile of the times of a kind of calls after which a copy is sent. If the limit allows fewer copies than calls take
// longer, a higher quantile is used, so that the slowest calls get the copies.
const MinQuantile = 0.95

// Kind identifies calls that are expected to take similar times.
type Kind struct {
	Service, Route string
	// Size is the class of the size of the prompt, see [SizeClass].
	Size int
}

// Hedger decides when copies of calls are sent. It is safe for concurrent use. The methods do nothing on a nil *Hedger, which sends no copies.
type Hedger struct {
	// Share is the limit on copies, as a share of the calls of a service. It must be set before first use.
	Share float64

	mu     sync.Mutex
	times  map[Kind]*times
	limits map[string]*limit
}

// RecordCall records a call to the service.
func (h *Hedger) RecordCall(service string, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limitOf(service).recordCall(h.Share, now)
}

// Take takes one copy from what the limit allows now and reports whether there was one.
func (h *Hedger) Take(service string, now time.Time) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.limitOf(service).take(now)
}

// Return gives back a copy that was taken and not sent.
func (h *Hedger) Return(service string) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limitOf(service).copies++
}

// limitOf returns the limit of the service, which it creates if there is none. The caller holds mu.
func (h *Hedger) limitOf(service string) *limit {
	if h.limits == nil {
		h.limits = make(map[string]*limit)
	}
	l := h.limits[service]
	if l == nil {
		l = &limit{}
		h.limits[service] = l
	}
	return l
}

// RecordTime records how long the first attempt of a call took, or how long it had taken when it was cancelled in favour of its copy. The
// times of copies must not be recorded: only those that are shorter than the rest of the first attempt would be known.
func (h *Hedger) RecordTime(k Kind, took time.Duration, now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timesOf(k, now).record(took, now)
}

// Estimate is what is known of the times of a kind of calls.
type Estimate struct {
	// Delay is the time after which a copy is sent.
	Delay time.Duration
	// Median is the time in which half of the calls respond.
	Median time.Duration
}

// Estimate returns the estimate for the kind of calls; ok is false while there are too few observations for one.
func (h *Hedger) Estimate(k Kind, now time.Time) (e Estimate, ok bool) {
	if h == nil {
		return Estimate{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.times[k]
	if t == nil {
		return Estimate{}, false
	}
	return t.estimate(max(MinQuantile, 1-h.Share), now)
}

// IsWorthwhile reports whether a copy that is sent now can be expected to respond before the deadline.
func (e Estimate) IsWorthwhile(now, deadline time.Time) bool {
	return now.Add(e.Median).Before(deadline)
}
