package radishfleet

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// cutAfter is how many targets of another data centre in a row must be out of reach to leave all of them.
	cutAfter = 2
	// cutFirst and cutLimit bound how long they are left, which doubles each time.
	cutFirst = time.Second
	cutLimit = 2 * time.Second
)

// place is what is known of the way to another data centre.
type place struct {
	// unreached are the targets that could not be reached since one was.
	unreached map[string]bool
	// cutFor is how long the data centre is left; 0 when it can be reached.
	cutFor   time.Duration
	cutUntil time.Time
	// probes holds, by service, the one target that is tried after cutUntil, until it is known whether the cut is over.
	probes map[string]string
}

// noteReach learns from a call whether the target's data centre can be reached. A single target that is out of reach
// has most likely crashed; several in a row are taken for a cut between the data centres.
func (f *Fleet) noteReach(t radish.Target, o Outcome, now time.Time) {
	if t.DataCentre == f.DataCentre {
		return
	}
	if o.Unknown || o.Failed && !o.Unreached {
		f.dropProbe(t)
		return
	}
	if f.places == nil {
		f.places = make(map[string]*place)
	}
	p := f.places[t.DataCentre]
	if p == nil {
		p = &place{unreached: make(map[string]bool)}
		f.places[t.DataCentre] = p
	}
	if !o.Unreached {
		clear(p.unreached)
		p.cutFor, p.cutUntil = 0, time.Time{}
		return
	}
	p.unreached[t.Name] = true
	if len(p.unreached) >= cutAfter && !now.Before(p.cutUntil) {
		p.cutFor = min(cutLimit, max(cutFirst, 2*p.cutFor))
		p.cutUntil, p.probes = now.Add(p.cutFor), make(map[string]string)
	}
}

// isCut tells whether the target lies in a data centre that is out of reach. Once that has lasted for a while, the first target
// asked about of each service is taken for a probe: calls to all of them at once would be lost if the cut lasts.
func (f *Fleet) isCut(t radish.Target, now time.Time) bool {
	p := f.places[t.DataCentre]
	if p == nil || p.cutFor == 0 {
		return false
	}
	if now.Before(p.cutUntil) {
		return true
	}
	if p.probes[t.Service] == "" {
		p.probes[t.Service] = t.Name
	}
	return p.probes[t.Service] != t.Name
}

// dropProbe has another target tried in place of one that is gone or failed for another reason.
func (f *Fleet) dropProbe(t radish.Target) {
	if p := f.places[t.DataCentre]; p != nil && p.probes[t.Service] == t.Name {
		delete(p.probes, t.Service)
	}
}
