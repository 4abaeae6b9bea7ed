package radishentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// fairShareThreshold is the utilization of a concurrency limit from which each team is limited to its fair share.
const fairShareThreshold = 0.8

// Admission decides which requests are admitted; set the exported fields before first use.
type Admission struct {
	// MaxInFlight is the maximum number of requests in flight on this VM.
	MaxInFlight int
	// EntryVMs returns the number of VMs, at least 1, among which the organisation's rate limits are divided.
	EntryVMs func() int

	mu       sync.Mutex
	inFlight int
	// idle is created by Close and closed when the last admitted request has ended.
	idle           chan struct{}
	inFlightByTeam map[string]int
	rateLimiters   map[radishrule.TeamPipelineKey]*rateLimiter
	// limitedRules are the rules whose limits rateLimiters enforces.
	limitedRules *radishrule.RuleSet
	// concurrencyLimiters is keyed by pipeline.
	concurrencyLimiters map[string]*concurrencyLimiter
}

// Admit admits a request. It returns radish.ErrShed with the reason if a limit rejects the request, and
// radish.ErrUnavailable after Close. After a nil error the caller must call Release.
func (a *Admission) Admit(rules *radishrule.RuleSet, team *radishrule.Team, pipeline string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle != nil {
		return fmt.Errorf("%w: this VM is leaving", radish.ErrUnavailable)
	}
	tokens, err := a.takeTokens(rules, team, pipeline, time.Now())
	if err != nil {
		return err
	}
	if err := a.checkLoad(rules, team, pipeline); err != nil {
		tokens.giveBack()
		return err
	}
	a.inFlight++
	if a.inFlightByTeam == nil {
		a.inFlightByTeam = make(map[string]int)
	}
	a.inFlightByTeam[team.Name]++
	return nil
}

// checkLoad returns radish.ErrShed if the request would exceed a limit on requests in flight, and counts it as in flight in its
// pipeline otherwise.
func (a *Admission) checkLoad(rules *radishrule.RuleSet, team *radishrule.Team, pipeline string) error {
	if a.inFlight >= a.MaxInFlight {
		return fmt.Errorf("%w: %d requests in flight", radish.ErrShed, a.inFlight)
	}
	if float64(a.inFlight) >= fairShareThreshold*float64(a.MaxInFlight) && a.isOverFairShare(rules, team) {
		return fmt.Errorf("%w: team is over its share under load", radish.ErrShed)
	}
	if !a.concurrencyLimiterOf(pipeline).admit(rules, team) {
		return fmt.Errorf("%w: pipeline %s is congested", radish.ErrShed, pipeline)
	}
	return nil
}

func (a *Admission) concurrencyLimiterOf(pipeline string) *concurrencyLimiter {
	l := a.concurrencyLimiters[pipeline]
	if l == nil {
		l = &concurrencyLimiter{}
		if a.concurrencyLimiters == nil {
			a.concurrencyLimiters = make(map[string]*concurrencyLimiter)
		}
		a.concurrencyLimiters[pipeline] = l
	}
	return l
}

// Release ends an admitted request after the given latency. The latency is compared to the pipeline's deadline, even
// if the caller set a shorter one.
func (a *Admission) Release(team *radishrule.Team, pipeline *radishrule.Pipeline, latency time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.concurrencyLimiterOf(pipeline.Name).release(team.Name, latency, pipeline.Deadline)
	a.inFlight--
	a.inFlightByTeam[team.Name]--
	if a.inFlightByTeam[team.Name] == 0 {
		delete(a.inFlightByTeam, team.Name)
	}
	if a.inFlight == 0 && a.idle != nil {
		close(a.idle)
	}
}

// Close stops admission and waits until all admitted requests have ended or ctx is done. It must be called only once.
func (a *Admission) Close(ctx context.Context) error {
	idle := make(chan struct{})
	a.mu.Lock()
	a.idle = idle
	if a.inFlight == 0 {
		close(idle)
	}
	a.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// InFlight returns the number of admitted requests that have not ended.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// isOverFairShare reports whether the team has at least its fair share of MaxInFlight in flight.
func (a *Admission) isOverFairShare(rules *radishrule.RuleSet, team *radishrule.Team) bool {
	return float64(a.inFlightByTeam[team.Name]) >= fairShare(rules, team, a.inFlightByTeam, float64(a.MaxInFlight))
}

// fairShare divides total among the team and the other teams with requests in flight, in proportion to their
// configured shares, and returns the team's part.
func fairShare(rules *radishrule.RuleSet, team *radishrule.Team, inFlightByTeam map[string]int, total float64) float64 {
	shares := team.Share
	for name := range inFlightByTeam {
		if t, ok := rules.Teams[name]; ok && name != team.Name {
			shares += t.Share
		}
	}
	return total * float64(team.Share) / float64(shares)
}
