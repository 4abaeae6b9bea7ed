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
	cutFor    time.Duration
	cutUntil  time.Time
}

// noteReach learns from a call whether the target's data centre can be reached. A single target that is out of reach
// has most likely crashed; several in a row are taken for a cut between the data centres.
func (f *Fleet) noteReach(t radish.Target, o Outcome, now time.Time) {
	if t.DataCentre == f.DataCentre || o.Failed && !o.Unreached {
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
		p.cutUntil = now.Add(p.cutFor)
	}
}

func (f *Fleet) isCut(dataCentre string, now time.Time) bool {
	p := f.places[dataCentre]
	return p != nil && now.Before(p.cutUntil)
}
