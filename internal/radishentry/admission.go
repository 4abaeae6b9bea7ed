package radishentry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// pressure is the share of MaxInFlight from which teams are held to their shares.
const pressure = 0.8

// Admission decides which requests enter; set the exported fields before first use.
type Admission struct {
	// MaxInFlight bounds the requests in flight on this VM.
	MaxInFlight int
	// EntryVMs returns how many VMs share the organisation's limits, at least 1.
	EntryVMs func() int

	mu    sync.Mutex
	total int
	// idle is made by Close and closed when the last request has left.
	idle     chan struct{}
	byTeam   map[string]int
	limiters map[radishrule.LimitKey]*limiter
	// congested holds the congestion control of each pipeline.
	congested map[string]*congestion
}

// limiter enforces one limit rule on this VM.
type limiter struct {
	rule  *radishrule.Limit
	vms   int
	limit *rate.Limiter
}

// Enter admits a request or returns radish.ErrShed with the rule that refused it, or radish.ErrUnavailable after
// Close; the caller must call Leave after a nil error.
func (a *Admission) Enter(rules *radishrule.RuleSet, team *radishrule.Team, pipeline string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.idle != nil {
		return fmt.Errorf("%w: this VM is leaving", radish.ErrUnavailable)
	}
	for _, key := range []radishrule.LimitKey{{Team: team.Name, Pipeline: pipeline}, {Team: team.Name}} {
		if rule, ok := rules.Limits[key]; ok && !a.limiterOf(key, rule).Allow() {
			return fmt.Errorf("%w: %s", radish.ErrShed, rule.Line.Text)
		}
	}
	if a.total >= a.MaxInFlight {
		return fmt.Errorf("%w: %d requests in flight", radish.ErrShed, a.total)
	}
	if float64(a.total) >= pressure*float64(a.MaxInFlight) && a.isOverShare(rules, team) {
		return fmt.Errorf("%w: team is over its share under load", radish.ErrShed)
	}
	if !a.congestionOf(pipeline).enter(rules, team) {
		return fmt.Errorf("%w: pipeline %s is congested", radish.ErrShed, pipeline)
	}
	a.total++
	if a.byTeam == nil {
		a.byTeam = make(map[string]int)
	}
	a.byTeam[team.Name]++
	return nil
}

func (a *Admission) congestionOf(pipeline string) *congestion {
	c := a.congested[pipeline]
	if c == nil {
		c = &congestion{}
		if a.congested == nil {
			a.congested = make(map[string]*congestion)
		}
		a.congested[pipeline] = c
	}
	return c
}

// Leave ends a request that Enter admitted and that took so long. A caller's own shorter deadline does not matter.
func (a *Admission) Leave(team *radishrule.Team, pipeline *radishrule.Pipeline, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.congestionOf(pipeline.Name).leave(team.Name, took, pipeline.Deadline)
	a.total--
	a.byTeam[team.Name]--
	if a.byTeam[team.Name] == 0 {
		delete(a.byTeam, team.Name)
	}
	if a.total == 0 && a.idle != nil {
		close(a.idle)
	}
}

// Close admits no more requests and waits until those admitted have left or ctx ends; it is called once.
func (a *Admission) Close(ctx context.Context) error {
	idle := make(chan struct{})
	a.mu.Lock()
	a.idle = idle
	if a.total == 0 {
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

// InFlight returns the admitted requests that have not left.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// limiterOf returns the limiter of a rule, with this VM's part of the organisation's rate.
func (a *Admission) limiterOf(key radishrule.LimitKey, rule *radishrule.Limit) *rate.Limiter {
	vms := max(1, a.EntryVMs())
	l := a.limiters[key]
	if l != nil && l.rule == rule && l.vms == vms {
		return l.limit
	}
	perVM := rule.RequestsPerSec / float64(vms)
	burst := max(1, rule.Burst/vms, int(perVM))
	if l == nil {
		l = &limiter{limit: rate.NewLimiter(rate.Limit(perVM), burst)}
	} else {
		l.limit.SetLimit(rate.Limit(perVM))
		l.limit.SetBurst(burst)
	}
	l.rule, l.vms = rule, vms
	if a.limiters == nil {
		a.limiters = make(map[radishrule.LimitKey]*limiter)
	}
	a.limiters[key] = l
	return l.limit
}

// isOverShare tells whether the team has more in flight than its share among the teams that are active now.
func (a *Admission) isOverShare(rules *radishrule.RuleSet, team *radishrule.Team) bool {
	return float64(a.byTeam[team.Name]) >= fairShare(rules, team, a.byTeam, float64(a.MaxInFlight))
}

// fairShare returns the team's part of the total by its share among the teams that have requests in flight.
func fairShare(rules *radishrule.RuleSet, team *radishrule.Team, active map[string]int, total float64) float64 {
	shares := team.Share
	for name := range active {
		if t, ok := rules.Teams[name]; ok && name != team.Name {
			shares += t.Share
		}
	}
	return total * float64(team.Share) / float64(shares)
}
