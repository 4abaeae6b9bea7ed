package radishhedge

import (
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windows is the number of parts of the observed time, of which the oldest is discarded every windowTime. The observations then span
	// 30 to 60 s: shorter ones have too few calls, longer ones follow a change of load late.
	windows    = 2
	windowTime = 30 * time.Second
	// timeUnit is the unit of the recorded times, and maxTime is the longest one; longer ones are recorded as that.
	timeUnit = 100 * time.Microsecond
	maxTime  = time.Minute
	// significantDigits is the precision of the recorded times: one in a hundred.
	significantDigits = 2
	// minObservations is the number of observations below which a quantile rests on one or two calls.
	minObservations = 50
	// estimateTTL is how long an estimate is used before it is computed anew.
	estimateTTL = 500 * time.Millisecond
	// maxKinds limits the kinds of calls whose times are kept; each takes 43 kB.
	maxKinds = 128
)

// Size classes grow by a factor of four, since a prompt of twice the size does not take twice the time as a whole.
const (
	firstClassTokens = 256
	classBits        = 2
	maxSizeClass     = 5
)

// SizeClass returns the class of a prompt of that many tokens.
func SizeClass(tokens int) int {
	return min(maxSizeClass, (bits.Len(uint(max(0, tokens)/firstClassTokens))+classBits-1)/classBits)
}

// times is what is known of the times of one kind of calls.
type times struct {
	histogram *hdrhistogram.WindowedHistogram
	// rotatedAt is the start of the current window; usedAt is the time of the latest observation.
	rotatedAt, usedAt time.Time
	// latest is the estimate as of estimatedAt; isKnown is whether it rests on enough observations.
	latest      Estimate
	isKnown     bool
	estimatedAt time.Time
}

// timesOf returns the times of the kind. If there are too many kinds, the one that was not observed for the longest time is discarded.
func (h *Hedger) timesOf(k Kind, now time.Time) *times {
	t := h.times[k]
	if t != nil {
		return t
	}
	if h.times == nil {
		h.times = make(map[Kind]*times)
	}
	if len(h.times) >= maxKinds {
		h.discardOldest()
	}
	t = &times{
		histogram: hdrhistogram.NewWindowed(windows, 1, int64(maxTime/timeUnit), significantDigits), rotatedAt: now,
	}
	h.times[k] = t
	return t
}

// discardOldest discards the times of the kind that was not observed for the longest time.
func (h *Hedger) discardOldest() {
	var oldest Kind
	var oldestAt time.Time
	for k, t := range h.times {
		if oldestAt.IsZero() || t.usedAt.Before(oldestAt) {
			oldest, oldestAt = k, t.usedAt
		}
	}
	delete(h.times, oldest)
}

func (t *times) record(took time.Duration, now time.Time) {
	t.rotate(now)
	t.usedAt = now
	// A value within the histogram's range is always recorded.
	_ = t.histogram.Current.RecordValue(int64(min(maxTime, max(timeUnit, took)) / timeUnit))
}

// rotate discards observations that are too old.
func (t *times) rotate(now time.Time) {
	for range windows {
		if now.Sub(t.rotatedAt) < windowTime {
			return
		}
		t.histogram.Rotate()
		t.rotatedAt = t.rotatedAt.Add(windowTime)
	}
	if now.Sub(t.rotatedAt) >= windowTime {
		t.rotatedAt = now
	}
}

// estimate returns the latest estimate, computed anew if it is older than estimateTTL; ok is false if there are too few observations.
func (t *times) estimate(quantile float64, now time.Time) (Estimate, bool) {
	if t.estimatedAt.IsZero() || now.Sub(t.estimatedAt) >= estimateTTL {
		t.rotate(now)
		t.estimatedAt = now
		all := t.histogram.Merge()
		t.isKnown = all.TotalCount() >= minObservations
		t.latest = Estimate{Delay: valueAt(all, quantile), Median: valueAt(all, 0.5)}
	}
	return t.latest, t.isKnown
}

// valueAt returns the time at the quantile, from 0 to 1.
func valueAt(histogram *hdrhistogram.Histogram, quantile float64) time.Duration {
	const percent = 100
	return time.Duration(histogram.ValueAtQuantile(percent*quantile)) * timeUnit
}
