package radishentry

import (
	"time"

	"radishramp.example/radishramp/pkg/radishrule"
)

// Parameters of the concurrency limit of a pipeline, which follows additive increase, multiplicative decrease (AIMD).
const (
	// initialConcurrencyLimit is the limit before the first response. Until the first sign of congestion each
	// response raises the limit by one, which doubles it once per response time.
	initialConcurrencyLimit = 64
	minConcurrencyLimit     = 2
	// maxConcurrencyLimit prevents the limit from growing indefinitely while there is no sign of congestion.
	maxConcurrencyLimit = 10_000
	// slowDeadlineFraction is the fraction of its deadline above which a request may count as slow.
	slowDeadlineFraction = 0.3
	// decreaseFactor is the factor by which a sign of congestion reduces the limit.
	decreaseFactor = 0.9
	// decreaseIntervalFraction is the minimum interval between two decreases, as a fraction of the deadline.
	decreaseIntervalFraction = 0.1
	// minInFlightForDecrease is the number of requests in flight from which slow responses that met their deadline
	// are a sign of congestion; below it only a missed deadline is.
	minInFlightForDecrease = 8
	// slowLatencyFactor is the multiple of the unloaded latency that a slow request must also exceed.
	slowLatencyFactor = 2
	// creditFraction is the fraction of a team's share of the completed requests that is credited to the team. Credit
	// admits a request even if the team has more in flight than its fair share, which happens when the backlog of
	// another team slows down all responses. The fraction is below 1 so that the total backlog shrinks.
	creditFraction = 0.8
	// unloadedDecreaseWeight and unloadedIncreaseWeight are the weights of a response that is faster or slower than
	// the moving average of the unloaded latency. It is an average rather than a minimum because a few very fast
	// responses, for example from a cache, do not represent the others. The first responses have equal weights.
	unloadedDecreaseWeight = 0.1
	unloadedIncreaseWeight = 0.02
	// slowSampleWeight is the weight of the newest request in the moving average of the share of slow requests.
	// Congestion is a share above slowShareThreshold: latencies vary, so a few slow responses are not congestion.
	slowSampleWeight   = 0.2
	slowShareThreshold = 0.5
)

// concurrencyLimiter limits the requests of one pipeline that are in flight on this VM. It reacts to responses that
// take a large part of their deadline, before any deadline is missed, so that excess requests are rejected before any
// of their stages runs. Admission's mutex guards it.
type concurrencyLimiter struct {
	limit          float64
	inFlight       int
	inFlightByTeam map[string]int
	// completed counts the requests that have ended; credits holds what each team with requests in flight gained
	// from them.
	completed   int
	credits     map[string]*credit
	decreasedAt time.Time
	// unloadedLatency estimates the latency of a short request without congestion.
	unloadedLatency time.Duration
	// slowShare is the moving average of the share of slow requests.
	slowShare float64
}

// credit is the number of requests that a team may send above its fair share of the limit.
type credit struct {
	requests float64
	// countedUpTo is the number of completed requests that are already included.
	countedUpTo int
}

// admit admits a request of the team and reports whether it did. A team within its fair share of the limit is always
// admitted; a team above it is admitted while part of the limit stays free for the others.
func (l *concurrencyLimiter) admit(rules *radishrule.RuleSet, team *radishrule.Team) bool {
	if l.limit == 0 {
		l.limit = initialConcurrencyLimit
		l.inFlightByTeam = make(map[string]int)
		l.credits = make(map[string]*credit)
	}
	fair := fairShare(rules, team, l.inFlightByTeam, l.limit)
	isOver := float64(l.inFlightByTeam[team.Name]) >= fair && float64(l.inFlight) >= l.limitAboveFairShare(fair)
	if isOver && !l.spendCredit(team.Name, fair/l.limit) {
		return false
	}
	l.inFlight++
	l.inFlightByTeam[team.Name]++
	if l.credits[team.Name] == nil {
		l.credits[team.Name] = &credit{countedUpTo: l.completed}
	}
	return true
}

// spendCredit takes one request from the credit of a team and reports whether there was one. A team that is alone on
// the pipeline has no credit.
func (l *concurrencyLimiter) spendCredit(team string, share float64) bool {
	c := l.credits[team]
	if c == nil || share >= 1 {
		return false
	}
	c.requests += creditFraction * share * float64(l.completed-c.countedUpTo)
	c.requests = min(c.requests, max(1, share*l.limit))
	c.countedUpTo = l.completed
	if c.requests < 1 {
		return false
	}
	c.requests--
	return true
}

// limitAboveFairShare returns the total number of requests in flight up to which a team above its fair share is
// admitted: the whole limit if no other team is active, otherwise a part of it.
func (l *concurrencyLimiter) limitAboveFairShare(fair float64) float64 {
	if fair >= l.limit {
		return l.limit
	}
	return fairShareThreshold * l.limit
}

// release ends a request of the team and adjusts the limit to its latency.
func (l *concurrencyLimiter) release(team string, latency, deadline time.Duration) {
	isLoaded := float64(l.inFlight) >= l.limit/2
	l.inFlight--
	l.completed++
	l.inFlightByTeam[team]--
	if l.inFlightByTeam[team] <= 0 {
		delete(l.inFlightByTeam, team)
		delete(l.credits, team)
	}
	l.updateSlowShare(latency, deadline)
	l.updateUnloadedLatency(latency, isLoaded)
	if l.slowShare > slowShareThreshold {
		// When load ends, the slowest requests end last: with few in flight only a missed deadline is a sign.
		if latency >= deadline || l.inFlight >= minInFlightForDecrease {
			l.decrease(deadline)
		}
		return
	}
	switch {
	case isLoaded && l.decreasedAt.IsZero():
		l.limit = min(maxConcurrencyLimit, l.limit+1)
	case isLoaded:
		l.limit = min(maxConcurrencyLimit, l.limit+1/l.limit)
	}
}

// updateUnloadedLatency adapts to higher latencies only while the VM is far below its limit, or while the limit is
// the minimum: then this VM's own requests are not the cause. The first responses have equal weights because the very
// first one may be unusually fast.
func (l *concurrencyLimiter) updateUnloadedLatency(latency time.Duration, isLoaded bool) {
	equalWeight := 1 / float64(l.completed)
	switch {
	case latency < l.unloadedLatency:
		l.unloadedLatency -= time.Duration(max(unloadedDecreaseWeight, equalWeight) * float64(l.unloadedLatency-latency))
	case !isLoaded || l.limit <= minConcurrencyLimit:
		l.unloadedLatency += time.Duration(max(unloadedIncreaseWeight, equalWeight) * float64(latency-l.unloadedLatency))
	}
}

// updateSlowShare counts a request as slow if it missed its deadline or was much slower than without load, so that
// pipelines that take most of their deadline at any load are not considered congested.
func (l *concurrencyLimiter) updateSlowShare(latency, deadline time.Duration) {
	isLate := latency >= deadline
	isSlow := float64(latency) > slowDeadlineFraction*float64(deadline) &&
		l.unloadedLatency > 0 && latency > slowLatencyFactor*l.unloadedLatency
	sample := 0.0
	if isLate || isSlow {
		sample = 1
	}
	l.slowShare += slowSampleWeight * (sample - l.slowShare)
}

func (l *concurrencyLimiter) decrease(deadline time.Duration) {
	now := time.Now()
	if now.Sub(l.decreasedAt) < time.Duration(decreaseIntervalFraction*float64(deadline)) {
		return
	}
	// A limit far above the number of requests in flight has no effect, so the decrease starts from that number.
	l.limit = max(minConcurrencyLimit, min(l.limit, float64(l.inFlight+1))*decreaseFactor)
	l.decreasedAt = now
}
