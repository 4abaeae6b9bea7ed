package radishrollout

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
)

const (
	// falseRevert is the probability with which a version like the old one is found bad by the sequential test during an order.
	falseRevert = 0.001
	// windowTime is the time over which responses of both versions are compared as one stratum.
	windowTime = 500 * time.Millisecond
	// longWindowTime is the time that a window lasts if a route has few responses.
	longWindowTime = 3 * time.Second
	// windowResponses is the number of the old version's responses with which a window need not last longer.
	windowResponses = 10
	// windowParts is the number of windows that a bad verdict takes at least, so that a burst on one target does not suffice.
	windowParts = 4
	// A response is slow if its bucket is more than slowBuckets above that of the slowQuantile of the old version's times on the
	// route: it took at least 1.5 to 2.25 times as long.
	slowQuantile = 0.95
	slowBuckets  = 1
	// minBaseline is the number of the old version's responses on a route from which the quantile is taken.
	minBaseline = 20
	// doubtPart is the part of the limit at which the candidate is in doubt.
	doubtPart = 0.5
	// fewResponses is the number of the candidate's responses up to which the second test is used for slow responses too. With more,
	// the sequential test suffices; it forgets slow periods of single machines, while the second one would not.
	fewResponses = 100
	// falseDoubt is the probability with which a version like the old one is found in doubt in one look, for each kind.
	falseDoubt = 0.001
	// doubtRatio is how many times the old version's rate of bad responses the candidate's is then at least; slow periods of single
	// machines double it by chance.
	doubtRatio = 3
)

// ratios are the alternatives that are tested: how many times the old version's share of bad responses a bad version has.
var ratios = [...]float64{2, 6}

// Kinds of bad responses, which are tested separately.
const (
	kindFailure = iota
	kindSlow
	kindCount
)

// comparison compares the versions by a sequential probability ratio test. In a window of one route, all responses are equally
// likely to be the candidate's if the versions are alike. So each bad response is the candidate's with the probability f, its share
// of the responses, and with r f / (r f + 1 - f) if the candidate has r times as many. Failures of both versions alike are thus no
// evidence, however many there are.
type comparison struct {
	// windowCount is the largest number of windows during the order.
	windowCount float64
	seen        map[string]*routeWindow
	// scores hold the sums of the log-likelihood ratios, from the start that is worst for the candidate (CUSUM).
	scores map[scoreKey]float64
	tables [kindCount]table
	// worst is the largest score as a part of its limit, and worstKey what it is about.
	worst    float64
	worstKey scoreKey
}

// scoreKey is a hypothesis: the candidate has ratio times as many bad responses on the route, "" for all routes together.
type scoreKey struct {
	route string
	kind  int
	ratio float64
}

// routeWindow is the state of a route at the start of its current window.
type routeWindow struct {
	startAt        time.Time
	old, candidate VersionCounts
}

// stratum are the numbers of responses and of bad ones in a window.
type stratum struct {
	old, candidate       float64
	badOld, badCandidate float64
}

// table sums strata over the whole time: the bad responses of both versions, those of the candidate, and how many of them would be
// the candidate's if the versions were alike.
type table struct{ bad, observed, expected float64 }

// update closes the windows that are complete and adds them to the scores.
func (c *comparison) update(totals map[string]*RouteEvidence, now time.Time) {
	sums := make(map[scoreKey]float64)
	for route, total := range totals {
		w := c.window(route, now)
		if w == nil || !w.isComplete(total, now) {
			continue
		}
		for kind, s := range w.strata(total) {
			c.tables[kind].add(s)
			for _, ratio := range ratios {
				gain := s.logRatio(ratio)
				sums[scoreKey{route, kind, ratio}] = gain
				sums[scoreKey{"", kind, ratio}] += gain
			}
		}
		w.restart(total, now)
	}
	for key, gain := range sums {
		c.addScore(key, gain)
	}
	c.findWorst()
}

// restart forgets the scores; windows go on.
func (c *comparison) restart() {
	clear(c.scores)
	c.tables = [kindCount]table{}
	c.findWorst()
}

// window returns the state of the route, or nil in the pass that starts it.
func (c *comparison) window(route string, now time.Time) *routeWindow {
	if c.seen == nil {
		c.seen, c.scores = make(map[string]*routeWindow), make(map[scoreKey]float64)
	}
	w := c.seen[route]
	if w == nil {
		c.seen[route] = &routeWindow{startAt: now}
	}
	return w
}

// addScore adds the gain of a window. The part of one window is limited; the sum is reset to 0 when it would become negative.
func (c *comparison) addScore(key scoreKey, gain float64) {
	if _, ok := c.scores[key]; !ok && len(c.scores) >= (MaxRoutes+1)*kindCount*len(ratios) {
		return
	}
	c.scores[key] = max(0, c.scores[key]+min(gain, c.limit(key)/windowParts))
}

// limit returns the score at which the hypothesis is accepted. By Ville's inequality, a score from a given start exceeds it with the
// probability exp(-limit) at most. The false verdicts are shared among the starts, kinds and ratios, and equally between all
// routes together and the single ones.
func (c *comparison) limit(key scoreKey) float64 {
	tests := 2 * float64(kindCount*len(ratios)) * c.windowCount
	if key.route != "" {
		tests *= MaxRoutes
	}
	return math.Log(tests / falseRevert)
}

// findWorst updates worst and worstKey from the scores.
func (c *comparison) findWorst() {
	c.worst, c.worstKey = 0, scoreKey{}
	for key, score := range c.scores {
		if part := score / c.limit(key); part > c.worst {
			c.worst, c.worstKey = part, key
		}
	}
}

// isBad reports whether the candidate is found bad.
func (c *comparison) isBad() bool { return c.worst >= 1 }

// isInDoubt reports whether the candidate's share must not grow: half of the limit is reached, or its rate of
// bad responses, of slow ones with few responses only, is several times that of the old version.
func (c *comparison) isInDoubt(responses uint64) bool {
	if c.worst >= doubtPart {
		return true
	}
	if c.tables[kindFailure].isInDoubt() {
		return true
	}
	return responses < fewResponses && c.tables[kindSlow].isInDoubt()
}

// isDoubtOfFailures reports whether the candidate is in doubt because of failures, not of slow responses.
func (c *comparison) isDoubtOfFailures() bool {
	return c.tables[kindFailure].isInDoubt() || c.worst >= doubtPart && c.worstKey.kind == kindFailure
}

// isComplete reports whether the window has lasted long enough for the number of responses in it.
func (w *routeWindow) isComplete(total *RouteEvidence, now time.Time) bool {
	elapsed := now.Sub(w.startAt)
	if elapsed < windowTime {
		return false
	}
	old := total.Old.responses() - min(w.old.responses(), total.Old.responses())
	candidate := total.Candidate.responses() - min(w.candidate.responses(), total.Candidate.responses())
	return old >= windowResponses && candidate > 0 || elapsed >= longWindowTime
}

func (w *routeWindow) restart(total *RouteEvidence, now time.Time) {
	counts := total.clone()
	w.startAt, w.old, w.candidate = now, counts.Old, counts.Candidate
}

// strata returns the counts of the window by kind. What is slow is determined by the times before the window.
func (w *routeWindow) strata(total *RouteEvidence) [kindCount]stratum {
	old, candidate := total.Old.since(&w.old), total.Candidate.since(&w.candidate)
	var strata [kindCount]stratum
	strata[kindFailure] = stratum{
		old: float64(old.responses()), candidate: float64(candidate.responses()),
		badOld: float64(old.Failures), badCandidate: float64(candidate.Failures),
	}
	if limit, ok := slowLimit(&w.old); ok {
		strata[kindSlow] = stratum{
			old: float64(old.successes()), candidate: float64(candidate.successes()),
			badOld: float64(old.above(limit)), badCandidate: float64(candidate.above(limit)),
		}
	}
	return strata
}

// slowLimit returns the last bucket whose times are not slow.
func slowLimit(old *VersionCounts) (bucket int, ok bool) {
	count := old.successes()
	if count < minBaseline {
		return 0, false
	}
	sum := uint64(0)
	for i, n := range old.Times {
		sum += n
		if float64(sum) >= slowQuantile*float64(count) {
			return i + slowBuckets, true
		}
	}
	return BucketCount, true
}

// logRatio returns the logarithm of the likelihood ratio of the stratum. Without responses of one version it is 0.
func (s stratum) logRatio(ratio float64) float64 {
	if s.old == 0 || s.candidate == 0 {
		return 0
	}
	f := s.candidate / (s.old + s.candidate)
	return s.badCandidate*math.Log(ratio) - (s.badOld+s.badCandidate)*math.Log(ratio*f+1-f)
}

func (t *table) add(s stratum) {
	if s.old == 0 || s.candidate == 0 {
		return
	}
	bad := s.badOld + s.badCandidate
	t.bad += bad
	t.observed += s.badCandidate
	t.expected += bad * s.candidate / (s.old + s.candidate)
}

// isInDoubt reports whether the candidate's rate of bad responses is several times the old version's, and too high for chance.
func (t *table) isInDoubt() bool { return t.isRateAbove(doubtRatio) && t.chance() < falseDoubt }

// isRateAbove reports whether the candidate's rate of bad responses is at least the ratio times the old version's.
func (t *table) isRateAbove(ratio float64) bool {
	return t.observed*(t.bad-t.expected) >= ratio*t.expected*(t.bad-t.observed)
}

// chance returns the probability that a version like the old one has as many of the bad responses, by the binomial distribution.
func (t *table) chance() float64 {
	if t.observed == 0 {
		return 1
	}
	return mathext.RegIncBeta(t.observed, t.bad-t.observed+1, t.expected/t.bad)
}
