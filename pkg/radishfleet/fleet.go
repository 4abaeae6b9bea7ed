package radishfleet

import (
	"slices"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// ejectAfter is how many failures in a row take a target out of use.
	ejectAfter = 2
	// ejectFirst and ejectLimit bound how long it stays out, which doubles each time.
	ejectFirst = 700 * time.Millisecond
	ejectLimit = 3 * time.Second
	// failureWeight is the weight of the newest outcome in the share of failures.
	failureWeight = 0.2
	// failureHalfLife is how long a share of failures counts in full.
	failureHalfLife = 3 * time.Second
	// loadLife is how long a target's account of its load counts.
	loadLife = time.Second
	// coldWindow is the span over which sends to a cold target are counted.
	coldWindow = time.Second
)

// Fleet is what a VM knows of the targets; set the exported fields before first use.
type Fleet struct {
	// DataCentre is the VM's own.
	DataCentre string
	// ColdQuota returns how many calls the VM may send to the cold target in each second; nil sets no bound.
	ColdQuota func(t radish.Target) int

	mu        sync.Mutex
	targets   map[string]*state
	byService map[string][]*state
	// divisions holds, by service, how its targets were dealt out last.
	divisions map[string]*division
	evacuated map[string]bool
	places    map[string]*place
}

// state is what is known of one target.
type state struct {
	target    radish.Target
	setAt     time.Time
	coldUntil time.Time
	coldSends []time.Time
	inFlight  int
	load      radish.TargetLoad
	loadAt    time.Time
	// failures is the moving share of failed calls as of failedAt, row the failures since the last success.
	failures     float64
	failedAt     time.Time
	row          int
	ejectedFor   time.Duration
	ejectedUntil time.Time
}

// Set takes in a target's record and tells whether it changed what the VM does: a new target or start of one, or one
// that begins to leave.
func (f *Fleet) Set(t radish.Target, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets == nil {
		f.targets = make(map[string]*state)
		f.byService = make(map[string][]*state)
	}
	s := f.targets[t.Name]
	isNew := s == nil || s.target.StartedUnixMilli != t.StartedUnixMilli || s.target.Address != t.Address || s.target.Service != t.Service
	if isNew {
		f.remove(t.Name)
		s = &state{}
		f.targets[t.Name] = s
		f.byService[t.Service] = append(f.byService[t.Service], s)
		delete(f.divisions, t.Service)
	}
	isChange := isNew || s.target.Leaving != t.Leaving
	s.target, s.setAt = t, now
	s.coldUntil = now.Add(t.ColdRemaining)
	return isChange
}

// Remove forgets a target.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(name)
}

func (f *Fleet) remove(name string) {
	s := f.targets[name]
	if s == nil {
		return
	}
	delete(f.targets, name)
	f.dropProbe(s.target)
	service := s.target.Service
	delete(f.divisions, service)
	f.byService[service] = slices.DeleteFunc(f.byService[service], func(other *state) bool { return other == s })
}

// SetEvacuated replaces the data centres whose targets get nothing.
func (f *Fleet) SetEvacuated(dataCentres map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = dataCentres
}

// Known is what decided a choice, for logs.
type Known struct {
	// RecordAge is the time since the target's record was taken in.
	RecordAge time.Duration
	// Busy is how many calls the target has, as far as is known, FailureShare the share of failed calls of late.
	Busy         int
	FailureShare float64
	IsCold       bool
	// Usable of Targets of the service may take work.
	Usable, Targets int
}

// Known returns what is known of the target and its service.
func (f *Fleet) Known(name string, now time.Time) Known {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[name]
	if s == nil {
		return Known{}
	}
	k := Known{RecordAge: now.Sub(s.setAt), Busy: int(s.busy(now)), FailureShare: s.failureShare(now), IsCold: now.Before(s.coldUntil)}
	for _, other := range f.byService[s.target.Service] {
		k.Targets++
		if f.isUsable(other) && !f.isOut(other, now) {
			k.Usable++
		}
	}
	return k
}

// Query asks for a target.
type Query struct {
	Service string
	// Exclude are targets that the call was sent to before.
	Exclude map[string]bool
	// Affinity is the shared part of the prompt by which calls meet at one engine; "" for none.
	Affinity string
	// Near is the data centre of the call's inputs; "" when it does not matter.
	Near string
	// Weights are the data centres' parts of the calls by affinity; nil treats all engines alike.
	Weights map[string]float64
	// ColdLimit tells whether a cold target of the service bears only a bounded rate.
	ColdLimit bool
}

// Pick chooses a target and counts the call in flight there until Done; ok is false when none may take it now.
func (f *Fleet) Pick(q Query, now time.Time) (t radish.Target, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.best(q, f.warm(q, now), now)
	if s == nil {
		s = f.pickCold(q, now)
	}
	if s == nil {
		return radish.Target{}, false
	}
	s.inFlight++
	return s.target, true
}

func (f *Fleet) isUsable(s *state) bool {
	return !s.target.Leaving && !f.evacuated[s.target.DataCentre]
}

// isOut tells whether the target failed of late or lies in a data centre that is out of reach.
func (f *Fleet) isOut(s *state, now time.Time) bool {
	return now.Before(s.ejectedUntil) || f.isCut(s.target, now)
}

// warm returns the targets that may take the call; those out of use are offered when there is no other.
func (f *Fleet) warm(q Query, now time.Time) []*state {
	var warm, ejected []*state
	for _, s := range f.byService[q.Service] {
		switch {
		case !f.isUsable(s), q.Exclude[s.target.Name], q.ColdLimit && now.Before(s.coldUntil):
		case f.isOut(s, now):
			ejected = append(ejected, s)
		default:
			warm = append(warm, s)
		}
	}
	if len(warm) == 0 {
		return ejected
	}
	return warm
}

func (f *Fleet) pickCold(q Query, now time.Time) *state {
	for _, s := range f.byService[q.Service] {
		if !f.isUsable(s) || q.Exclude[s.target.Name] || !now.Before(s.coldUntil) {
			continue
		}
		s.coldSends = slices.DeleteFunc(s.coldSends, func(at time.Time) bool { return now.Sub(at) > coldWindow })
		if f.ColdQuota != nil && len(s.coldSends) >= f.ColdQuota(s.target) {
			continue
		}
		s.coldSends = append(s.coldSends, now)
		return s
	}
	return nil
}

func (f *Fleet) best(q Query, candidates []*state, now time.Time) *state {
	if q.Affinity != "" {
		return f.bestByAffinity(q, candidates, now)
	}
	var best *state
	bestCost := 0.0
	for _, s := range candidates {
		cost := f.cost(s, now)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// Costs that are added to the share of a target's slots that is taken.
const (
	failureCost = 3.0
	remoteCost  = 0.1
)

// cost is how bad a choice the target is: its load in parts of its slots, its failures of late, the way to it.
func (f *Fleet) cost(s *state, now time.Time) float64 {
	cost := s.busy(now)/float64(max(1, s.target.Slots)) + failureCost*s.failureShare(now)
	if s.target.DataCentre != f.DataCentre {
		cost += remoteCost
	}
	return cost
}

// busy is how many calls the target has, by its own account when it is fresh.
func (s *state) busy(now time.Time) float64 {
	if now.Sub(s.loadAt) < loadLife {
		return float64(max(s.inFlight, s.load.Running+s.load.Waiting))
	}
	return float64(s.inFlight)
}

func (s *state) failureShare(now time.Time) float64 {
	halves := float64(now.Sub(s.failedAt)) / float64(failureHalfLife)
	if halves > 20 {
		return 0
	}
	share := s.failures
	for ; halves >= 1; halves-- {
		share /= 2
	}
	return share * (1 - halves/2)
}

// Usable returns the targets of the service that may take work, those out of use left out.
func (f *Fleet) Usable(service string, now time.Time) []radish.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var usable []radish.Target
	for _, s := range f.byService[service] {
		if f.isUsable(s) && !f.isOut(s, now) {
			usable = append(usable, s.target)
		}
	}
	return usable
}

// PlaceOf returns the data centre of the target that has the address; "" when none is known.
func (f *Fleet) PlaceOf(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.target.Address == address {
			return s.target.DataCentre
		}
	}
	return ""
}
