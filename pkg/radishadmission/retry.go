package radishadmission

import "time"

const (
	// retryWindowShare is the part of its remaining time within which a refused caller returns; it does so once.
	retryWindowShare = 0.32
	// retryWindowStart is the part of that window before which no caller returns: if the overload persists at the retry, the call is lost.
	retryWindowStart = 0.5
	// minRetrySpread is the part of the window over which returns are spread at least.
	minRetrySpread = 0.25
)

// Retry is a refused call. The load that it addresses: a burst of refused callers that return at the same time, the least urgent among them
// before the others.
type Retry struct {
	// BusyFor is the time for which there is expected to be no capacity, Remaining the time that the caller has left.
	BusyFor, Remaining time.Duration
	// Rank is the place of the call's priority among Ranks priorities that compete; 0 is the most urgent one.
	Rank, Ranks int
}

// After returns the time after which the caller should return, for a random draw from [0, 1). The calls of each priority return before those
// of the next one if they are refused at the same time and have the same time left.
func (r Retry) After(draw float64) time.Duration {
	latest := retryWindowShare * r.Remaining.Seconds()
	earliest := min((1-minRetrySpread)*latest, max(r.BusyFor.Seconds(), retryWindowStart*latest))
	ranks := max(1, r.Ranks)
	place := (float64(min(max(0, r.Rank), ranks-1)) + draw) / float64(ranks)
	return time.Duration((earliest + place*(latest-earliest)) * float64(time.Second))
}
