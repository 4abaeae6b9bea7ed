package radishentry

import (
	"fmt"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// rateLimiter enforces one limit rule on this VM.
type rateLimiter struct {
	rule     *radishrule.Limit
	entryVMs int
	bucket   *rate.Limiter
}

// takenTokens are the tokens that a request has taken from the buckets of its limits.
type takenTokens struct {
	reservations []*rate.Reservation
	at           time.Time
}

// giveBack returns the tokens of a request that is rejected after all.
func (t *takenTokens) giveBack() {
	for _, r := range t.reservations {
		r.CancelAt(t.at)
	}
}

// takeTokens takes a token for each limit of the request. It takes none and returns radish.ErrShed if a limit is exceeded.
func (a *Admission) takeTokens(rules *radishrule.RuleSet, team *radishrule.Team, pipeline string, now time.Time) (*takenTokens, error) {
	a.dropRemovedLimits(rules)
	taken := &takenTokens{at: now}
	for _, key := range []radishrule.TeamPipelineKey{{Team: team.Name, Pipeline: pipeline}, {Team: team.Name}} {
		rule, ok := rules.Limits[key]
		if !ok {
			continue
		}
		r := a.bucketOf(key, rule).ReserveN(now, 1)
		taken.reservations = append(taken.reservations, r)
		if !r.OK() || r.DelayFrom(now) > 0 {
			taken.giveBack()
			return nil, fmt.Errorf("%w: %s", radish.ErrShed, rule.Line.Text)
		}
	}
	return taken, nil
}

// dropRemovedLimits deletes the rate limiters of rules that no longer exist.
func (a *Admission) dropRemovedLimits(rules *radishrule.RuleSet) {
	if a.limitedRules == rules {
		return
	}
	a.limitedRules = rules
	maps.DeleteFunc(a.rateLimiters, func(key radishrule.TeamPipelineKey, _ *rateLimiter) bool {
		_, exists := rules.Limits[key]
		return !exists
	})
}

// bucketOf returns the token bucket of a rule, with the rule's rate divided by the number of entry VMs.
func (a *Admission) bucketOf(key radishrule.TeamPipelineKey, rule *radishrule.Limit) *rate.Limiter {
	entryVMs := max(1, a.EntryVMs())
	l := a.rateLimiters[key]
	if l != nil && l.rule == rule && l.entryVMs == entryVMs {
		return l.bucket
	}
	ratePerVM := rule.RequestsPerSec / float64(entryVMs)
	burst := max(1, rule.Burst/entryVMs, int(ratePerVM))
	if l == nil {
		l = &rateLimiter{bucket: rate.NewLimiter(rate.Limit(ratePerVM), burst)}
	} else {
		l.bucket.SetLimit(rate.Limit(ratePerVM))
		l.bucket.SetBurst(burst)
	}
	l.rule, l.entryVMs = rule, entryVMs
	if a.rateLimiters == nil {
		a.rateLimiters = make(map[radishrule.TeamPipelineKey]*rateLimiter)
	}
	a.rateLimiters[key] = l
	return l.bucket
}
