package radishentry

import (
	"time"

	"radishramp.example/radishramp/pkg/radishrule"
)

// Congestion control by additive increase and multiplicative decrease.
const (
	// congestionStart is the requests of a pipeline that a VM lets in at a time at first; until the first sign of
	// congestion each answer raises it by one, which doubles it in the time of a request.
	congestionStart = 64
	congestionFloor = 2
	// congestionCeiling keeps the bound from growing without end while there is no sign of congestion.
	congestionCeiling = 10_000
	// congestionShare is the share of its deadline above which a request counts as slow.
	congestionShare = 0.3
	// congestionCut is what is left of the limit after a sign of congestion.
	congestionCut = 0.9
	// congestionPause is the least time between two cuts, as a share of the deadline.
	congestionPause = 0.1
	// cutLeast is how many requests are in flight when answers that are slow, but in time, are a sign.
	cutLeast = 8
	// congestionSlowdown is how many times the unloaded time a slow request takes as well.
	congestionSlowdown = 2
	// creditShare is the part of a team's share of the requests that end by which it may enter whatever its requests in
	// flight: they are many while answers are long for the backlog of another team. It is below 1, so that the backlog
	// of all teams together goes down.
	creditShare = 0.8
	// unloadedFall and unloadedRise move the unloaded time towards each shorter and each longer answer; a few very
	// short answers, as from a cache, say little about the others. The first ones weigh evenly.
	unloadedFall = 0.1
	unloadedRise = 0.02
	// slowWeight is the weight of the newest request in the share of slow ones, slowLimit the share that is a sign of
	// congestion: answers differ in length, so a few slow ones say nothing.
	slowWeight = 0.2
	slowLimit  = 0.5
)

// congestion bounds the requests of one pipeline in flight on this VM. It learns from answers that take a large part of
// their deadline, before any misses it, so that refusals come before anything ran. Admission's mutex guards it.
type congestion struct {
	limit    float64
	inFlight int
	byTeam   map[string]int
	// ended counts the requests that have left; credits are what the teams in flight gained by them.
	ended   int
	credits map[string]*credit
	cutAt   time.Time
	// unloaded is about the time that a short request takes without congestion.
	unloaded time.Duration
	// slow is the moving average of the share of slow requests.
	slow float64
}

// credit is how many requests of a team may enter above its share of the limit.
type credit struct {
	requests float64
	// countedAt is the value of ended up to which the credit counts.
	countedAt int
}

// enter admits a request of the team or returns false. A team within its share of the limit always enters; one above
// it enters while a part of the limit is left for the others.
func (c *congestion) enter(rules *radishrule.RuleSet, team *radishrule.Team) bool {
	if c.limit == 0 {
		c.limit = congestionStart
		c.byTeam = make(map[string]int)
		c.credits = make(map[string]*credit)
	}
	fair := fairShare(rules, team, c.byTeam, c.limit)
	isAbove := float64(c.byTeam[team.Name]) >= fair && float64(c.inFlight) >= c.roomAbove(fair)
	if isAbove && !c.spendCredit(team.Name, fair/c.limit) {
		return false
	}
	c.inFlight++
	c.byTeam[team.Name]++
	if c.credits[team.Name] == nil {
		c.credits[team.Name] = &credit{countedAt: c.ended}
	}
	return true
}

// spendCredit takes one request from the credit of a team that has the pipeline not for itself, and tells whether
// there was one.
func (c *congestion) spendCredit(team string, share float64) bool {
	k := c.credits[team]
	if k == nil || share >= 1 {
		return false
	}
	k.requests += creditShare * share * float64(c.ended-k.countedAt)
	k.requests = min(k.requests, max(1, share*c.limit))
	k.countedAt = c.ended
	if k.requests < 1 {
		return false
	}
	k.requests--
	return true
}

// roomAbove is up to how many requests in all a team above its share may enter: the whole limit when no other team is
// active, a part of it otherwise.
func (c *congestion) roomAbove(fair float64) float64 {
	if fair >= c.limit {
		return c.limit
	}
	return pressure * c.limit
}

// leave ends a request of the team that took so long of its pipeline's deadline.
func (c *congestion) leave(team string, took, deadline time.Duration) {
	isFull := float64(c.inFlight) >= c.limit/2
	c.inFlight--
	c.ended++
	c.byTeam[team]--
	if c.byTeam[team] <= 0 {
		delete(c.byTeam, team)
		delete(c.credits, team)
	}
	c.countSlow(took, deadline)
	c.learnUnloaded(took, isFull)
	if c.slow > slowLimit {
		// When load ends, the long answers end last: with little in flight only a missed deadline is a sign.
		if took >= deadline || c.inFlight >= cutLeast {
			c.cut(deadline)
		}
		return
	}
	switch {
	case isFull && c.cutAt.IsZero():
		c.limit = min(congestionCeiling, c.limit+1)
	case isFull:
		c.limit = min(congestionCeiling, c.limit+1/c.limit)
	}
}

// learnUnloaded learns longer times only while the VM is far from its bound, or at the lowest one: then its own
// requests are not what makes them long. The first answers count evenly, for the very first may be a short one.
func (c *congestion) learnUnloaded(took time.Duration, isFull bool) {
	first := 1 / float64(c.ended)
	switch {
	case took < c.unloaded:
		c.unloaded -= time.Duration(max(unloadedFall, first) * float64(c.unloaded-took))
	case !isFull || c.limit <= congestionFloor:
		c.unloaded += time.Duration(max(unloadedRise, first) * float64(took-c.unloaded))
	}
}

// countSlow leaves out pipelines whose requests take most of their deadline at any load, unless they miss it.
func (c *congestion) countSlow(took, deadline time.Duration) {
	isLate := took >= deadline
	isSlow := float64(took) > congestionShare*float64(deadline) && c.unloaded > 0 && took > congestionSlowdown*c.unloaded
	sample := 0.0
	if isLate || isSlow {
		sample = 1
	}
	c.slow += slowWeight * (sample - c.slow)
}

func (c *congestion) cut(deadline time.Duration) {
	now := time.Now()
	if now.Sub(c.cutAt) < time.Duration(congestionPause*float64(deadline)) {
		return
	}
	// A bound far above what is in flight says nothing, so the first cut starts from there.
	c.limit = max(congestionFloor, min(c.limit, float64(c.inFlight+1))*congestionCut)
	c.cutAt = now
}
