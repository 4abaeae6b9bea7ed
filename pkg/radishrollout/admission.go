package radishrollout

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// shareMargin and slackMargin are the parts of the limits that are used; the rest covers calls that are admitted but not yet
	// counted, and a VM that restarts before its peers know its last counts.
	shareMargin = 0.95
	slackMargin = 0.9
	// maxCredit is the number of calls on a route that may go to the candidate one after the other.
	maxCredit = 2
	// maxSlackShare is the largest share of the candidate with few calls, so that calls remain to compare with.
	maxSlackShare = 0.6
)

// budget is what this run of the VM has sent and may send to the candidate.
type budget struct {
	routes map[string]*routeBudget
	// sent and candidate are the calls sent to all versions and to the candidate, slackUsed those outside of the routes' shares.
	sent, candidate, slackUsed float64
}

// routeBudget are the calls of a route. The credit grows by the share with each call and is used up by calls to the candidate.
type routeBudget struct{ sent, candidate, credit float64 }

// route returns the budget of the route. VMs start with different credits, so that together they keep the share where each has only
// few calls.
func (b *budget) route(name, vm string) *routeBudget {
	if b.routes == nil {
		b.routes = make(map[string]*routeBudget)
	}
	route := b.routes[name]
	if route == nil && len(b.routes) >= MaxRoutes-1 {
		name = OtherRoute
		route = b.routes[name]
	}
	if route == nil {
		route = &routeBudget{credit: unitHash(vm, name)}
		b.routes[name] = route
	}
	return route
}

// unitHash returns a hash in [0, 1).
func unitHash(vm, route string) float64 {
	const bits = 53 // of a float64's fraction
	return float64(radish.RendezvousScore(vm, route)>>(64-bits)) / (1 << bits)
}

// record counts calls that are sent while the candidate has the share.
func (b *budget) record(route *routeBudget, candidate bool, calls, share float64) {
	hadCredit := route.credit >= 1
	route.credit = min(route.credit+share*calls, max(maxCredit, route.credit))
	route.sent += calls
	b.sent += calls
	if !candidate {
		return
	}
	route.candidate += calls
	b.candidate += calls
	if hadCredit {
		route.credit -= calls // a batch may overdraw it
	} else {
		b.slackUsed += calls
	}
}

// mayUseSlack reports whether the calls fit into the slack that this VM may use by now, and whether the route has not had more than
// its part of it.
func (b *budget) mayUseSlack(route *routeBudget, calls, slack float64) bool {
	if b.slackUsed+calls > slack {
		return false
	}
	if b.candidate+calls > maxSlackShare*(b.sent+calls)+1 {
		return false
	}
	return route.candidate*b.sent <= 2*b.candidate*route.sent+b.sent
}

// isWithinLimit reports whether this VM keeps its part of the limits if it sends the calls to the candidate. The calls of its
// earlier runs count, as far as peers know them.
func (r *Rollout) isWithinLimit(calls float64) bool {
	sent, candidate := r.budget.sent, r.budget.candidate
	for source, rec := range r.sources {
		if source.VM != r.Self.VM || source == r.Self {
			continue
		}
		for _, counts := range rec.routes {
			sent += float64(counts.Old.Calls + counts.Candidate.Calls)
			candidate += float64(counts.Candidate.Calls)
		}
	}
	return candidate+calls <= shareMargin*r.Limits.MaxShare*sent+r.slackPart()
}

// slackPart returns this VM's part of the slack. The number of VMs is the largest seen, since those that are gone have used theirs.
func (r *Rollout) slackPart() float64 {
	return slackMargin * r.Limits.Slack / float64(max(1, r.maxVMs))
}

// slackByNow returns the part of the slack that is released by now: evenly over the observation, so that faults that begin later
// are seen too.
func (r *Rollout) slackByNow(now time.Time) float64 {
	released := float64(r.age(now)) / max(1, observeShare*float64(r.Order.Duration))
	return r.slackPart() * min(1, released)
}
