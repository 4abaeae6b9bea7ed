package radishfleet

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// unreachableTargetLimit is how many targets of another data centre must be unreachable, with none reached in
	// between, for the whole data centre to count as unreachable.
	unreachableTargetLimit = 2
	// minUnreachablePeriod and maxUnreachablePeriod bound how long a data centre is excluded, which doubles each
	// time.
	minUnreachablePeriod = time.Second
	maxUnreachablePeriod = 2 * time.Second
)

// dataCentreLink is the state of the network link to another data centre, as observed by this VM.
type dataCentreLink struct {
	// unreachableTargets holds the targets that could not be reached since one was last reached.
	unreachableTargets map[string]bool
	// unreachablePeriod is how long the data centre is excluded; 0 means that it is reachable.
	unreachablePeriod time.Duration
	retryAt           time.Time
	// probes holds, by service, the one target that gets calls after retryAt, until their outcomes show whether the
	// data centre is reachable again.
	probes map[string]string
}

// recordReachability updates from the outcome of a call whether the target's data centre is reachable. A single
// unreachable target has most likely crashed; several in a row indicate a network partition between the data centres.
func (f *Fleet) recordReachability(t radish.Target, o Outcome, now time.Time) {
	if t.DataCentre == f.DataCentre {
		return
	}
	if o.Inconclusive || o.Failed && !o.Unreachable {
		f.releaseProbe(t)
		return
	}
	if f.dataCentreLinks == nil {
		f.dataCentreLinks = make(map[string]*dataCentreLink)
	}
	link := f.dataCentreLinks[t.DataCentre]
	if link == nil {
		link = &dataCentreLink{unreachableTargets: make(map[string]bool)}
		f.dataCentreLinks[t.DataCentre] = link
	}
	if !o.Unreachable {
		clear(link.unreachableTargets)
		link.unreachablePeriod, link.retryAt = 0, time.Time{}
		return
	}
	link.unreachableTargets[t.Name] = true
	if len(link.unreachableTargets) >= unreachableTargetLimit && !now.Before(link.retryAt) {
		link.unreachablePeriod = min(maxUnreachablePeriod, max(minUnreachablePeriod, 2*link.unreachablePeriod))
		link.retryAt, link.probes = now.Add(link.unreachablePeriod), make(map[string]string)
	}
}

// isUnreachable reports whether the target's data centre is unreachable. After the exclusion, the first target of each
// service that is checked becomes the probe and counts as reachable: if all targets got calls at once, all those calls
// would fail if the partition persists.
func (f *Fleet) isUnreachable(t radish.Target, now time.Time) bool {
	link := f.dataCentreLinks[t.DataCentre]
	if link == nil || link.unreachablePeriod == 0 {
		return false
	}
	if now.Before(link.retryAt) {
		return true
	}
	if link.probes[t.Service] == "" {
		link.probes[t.Service] = t.Name
	}
	return link.probes[t.Service] != t.Name
}

// isLinkDown reports whether the target's data centre is unreachable or not yet known to be reachable again, without choosing a probe.
func (f *Fleet) isLinkDown(t radish.Target) bool {
	link := f.dataCentreLinks[t.DataCentre]
	return link != nil && link.unreachablePeriod > 0
}

// releaseProbe lets another target probe the data centre, if this one was removed or its last call did not show
// whether the data centre is reachable.
func (f *Fleet) releaseProbe(t radish.Target) {
	if link := f.dataCentreLinks[t.DataCentre]; link != nil && link.probes[t.Service] == t.Name {
		delete(link.probes, t.Service)
	}
}
