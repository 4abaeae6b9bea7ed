package radishtarget

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Ejection of failing targets.
const (
	// ejectAfter is how many failures in a row eject a target.
	ejectAfter = 5
	// ejectFor is how long an ejected target gets no work.
	ejectFor = 2 * time.Second
	// ejectFloor is the share of a service's targets that ejection never goes below.
	ejectFloor = 0.5
)

// latencyWeight is the weight of the newest answer in the moving average of a target's latency.
const latencyWeight = 0.1

// latencyHalfLife is how long a target's latency counts in full without new answers.
const latencyHalfLife = 5 * time.Second

// entry is what the VM knows of one target.
type entry struct {
	target    radish.Target
	drained   bool
	leaving   bool
	inFlight  int
	state     radish.TargetState
	stateSeen time.Time
	reported  int
	// teller is the peer that told the state, which its heartbeats renew; "" when this VM saw it itself.
	teller    string
	told      radish.TargetState
	latency   time.Duration
	latencyAt time.Time
	// startedSum is the sum of the times since epoch at which the attempts in flight began.
	startedSum time.Duration
	epoch      time.Time
	failures   int
	ejectUntil time.Time
}

// News is a change in a target's state that peers should learn.
type News struct {
	Target   string
	State    radish.TargetState
	InFlight int
	// Seen is when the state was observed, on this VM's clock.
	Seen time.Time
	// Teller is the peer that observed it; "" for this VM.
	Teller string
}

// Table holds the targets that the VM may use; set the exported fields before first use.
type Table struct {
	// DataCentre is the VM's own data centre.
	DataCentre string
	// WarmBeliefTTL is how long a target counts as warm after its last word that it is.
	WarmBeliefTTL time.Duration
	// OnNews is called, outside the table's lock, when a target's state changes; nil ignores it.
	OnNews func(News)

	mu        sync.Mutex
	entries   map[string]*entry
	byService map[string][]*entry
}

// Change is what an update of the list changed for one target.
type Change struct {
	Target string
	// What is "target known", "target leaves", "target drained", "target back" or "target gone".
	What string
}

// Update replaces the list of targets and returns what changed; what is known of those that stay is kept.
func (t *Table) Update(targets []radish.Target, isDrained func(radish.Target) bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries
	t.entries = make(map[string]*entry, len(targets))
	t.byService = make(map[string][]*entry)
	var changes []Change
	for _, target := range targets {
		e := old[target.Name]
		if e == nil || e.target.Address != target.Address {
			e = &entry{}
			changes = append(changes, Change{Target: target.Name, What: "target known"})
		}
		before := e.listed()
		e.target = target
		e.drained = isDrained(target)
		if now := e.listed(); now != before {
			changes = append(changes, Change{Target: target.Name, What: now})
		}
		t.entries[target.Name] = e
		t.byService[target.Service] = append(t.byService[target.Service], e)
	}
	for name := range old {
		if t.entries[name] == nil {
			changes = append(changes, Change{Target: name, What: "target gone"})
		}
	}
	return changes
}

// listed tells what the list and the orders say of the target.
func (e *entry) listed() string {
	switch {
	case e.drained:
		return "target drained"
	case e.target.Leaving:
		return "target leaves"
	default:
		return "target back"
	}
}

// Target returns the target with the name.
func (t *Table) Target(name string) (radish.Target, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[name]
	if !ok {
		return radish.Target{}, false
	}
	return e.target, true
}

// LocalTargets returns the targets of the VM's own data centre.
func (t *Table) LocalTargets() []radish.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []radish.Target
	for _, e := range t.entries {
		if e.target.DataCentre == t.DataCentre {
			targets = append(targets, e.target)
		}
	}
	return targets
}

// Choice is what the VM may send an attempt to: warm targets freely, cold ones with a permit only.
type Choice struct {
	// Warm are targets of the VM's own data centre, or of others when it has none with room.
	Warm []radish.Candidate
	Cold []radish.Candidate
	// Remote are warm targets of other data centres when Warm are of the own one.
	Remote []radish.Candidate
}

// Choose returns the targets of the service that may take work, those in exclude left out. Targets of other
// data centres are offered only when the VM's own has none left.
func (t *Table) Choose(service string, maxInFlight int, exclude map[string]bool) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	usable := t.usable(service, exclude, now)
	local := t.split(usable, true, maxInFlight, now)
	remote := t.split(usable, false, maxInFlight, now)
	if len(local.Warm) > 0 {
		local.Remote = remote.Warm
		return local
	}
	return Choice{Warm: remote.Warm, Cold: append(local.Cold, remote.Cold...)}
}

func (t *Table) usable(service string, exclude map[string]bool, now time.Time) []*entry {
	all := t.byService[service]
	usable := make([]*entry, 0, len(all))
	ejected := make([]*entry, 0)
	serving := 0
	for _, e := range all {
		if e.drained || e.target.Leaving || e.leaving {
			continue
		}
		serving++
		if exclude[e.target.Name] {
			continue
		}
		if now.Before(e.ejectUntil) {
			ejected = append(ejected, e)
			continue
		}
		usable = append(usable, e)
	}
	// The floor keeps a slow or faulty zone from being emptied on the word of a few errors.
	for _, e := range ejected {
		if float64(len(usable)) >= ejectFloor*float64(serving) {
			break
		}
		usable = append(usable, e)
	}
	return usable
}

func (t *Table) split(entries []*entry, local bool, maxInFlight int, now time.Time) Choice {
	var choice Choice
	for _, e := range entries {
		isLocal := e.target.DataCentre == t.DataCentre
		if isLocal != local {
			continue
		}
		c := radish.Candidate{Target: e.target, InFlight: e.inFlight, OtherLoad: e.reported, Local: isLocal, Latency: e.expectedLatency(now)}
		switch {
		case !t.isWarm(e, now):
			choice.Cold = append(choice.Cold, c)
		case e.inFlight < maxInFlight:
			choice.Warm = append(choice.Warm, c)
		}
	}
	return choice
}

// isWarm requires recent word from the target: an unknown or silent target is treated as cold.
func (t *Table) isWarm(e *entry, now time.Time) bool {
	return e.state == radish.TargetWarm && now.Sub(e.stateSeen) <= t.WarmBeliefTTL
}

// IsWarm tells whether the target has said of late that it is warm.
func (t *Table) IsWarm(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	return e != nil && t.isWarm(e, time.Now())
}

// Start counts an attempt in flight at the target and returns when it began, for Finish.
func (t *Table) Start(name string) time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[name]; e != nil {
		if e.inFlight == 0 {
			e.epoch, e.startedSum = now, 0
		}
		e.inFlight++
		e.startedSum += now.Sub(e.epoch)
	}
	return now
}

// Finish ends an attempt that Start counted, with the answer (nil when there was none) and whether it failed.
func (t *Table) Finish(name string, began time.Time, answer *radish.Response, failed bool) {
	t.mu.Lock()
	e := t.entries[name]
	if e == nil {
		t.mu.Unlock()
		return
	}
	if e.inFlight > 0 {
		e.inFlight--
		e.startedSum -= began.Sub(e.epoch)
	}
	e.countFailure(failed)
	if answer != nil && answer.Latency > 0 && !failed {
		e.countLatency(answer.Latency)
	}
	t.mu.Unlock()
	if answer != nil && answer.State != radish.TargetUnknown {
		t.Observe(News{Target: name, State: answer.State, InFlight: answer.InFlight, Seen: time.Now()})
	}
}

func (e *entry) countLatency(took time.Duration) {
	if e.latency == 0 {
		e.latency = took
	}
	e.latency += time.Duration(latencyWeight * float64(took-e.latency))
	e.latencyAt = time.Now()
}

// expectedLatency is what the target's answers have taken of late, or twice the mean age of what is in flight when
// that is more: a target that slows down is seen before its first slow answer.
func (e *entry) expectedLatency(now time.Time) time.Duration {
	halves := float64(now.Sub(e.latencyAt)) / float64(latencyHalfLife)
	// What was measured halves with time, so that a target which was slow is tried again.
	faded := time.Duration(float64(e.latency) * math.Exp2(-halves))
	if e.inFlight == 0 {
		return faded
	}
	meanAge := now.Sub(e.epoch) - e.startedSum/time.Duration(e.inFlight)
	return max(faded, 2*meanAge)
}

func (e *entry) countFailure(failed bool) {
	if !failed {
		e.failures = 0
		return
	}
	e.failures++
	if e.failures >= ejectAfter {
		e.ejectUntil = time.Now().Add(ejectFor)
	}
}

// Observe takes in what a target said of itself; news older than what is known is ignored.
func (t *Table) Observe(n News) {
	t.mu.Lock()
	e := t.entries[n.Target]
	if e != nil && n.Teller != "" {
		e.teller, e.told = n.Teller, n.State
	}
	if e == nil || n.Seen.Before(e.stateSeen) {
		t.mu.Unlock()
		return
	}
	changed := e.state != n.State
	e.state = n.State
	e.stateSeen = n.Seen
	e.leaving = n.State == radish.TargetLeaving
	e.reported = max(0, n.InFlight-e.inFlight)
	t.mu.Unlock()
	if changed && t.OnNews != nil {
		t.OnNews(n)
	}
}

// Vouch renews what the peer told last: its heartbeat says that nothing of it has changed.
func (t *Table) Vouch(teller string, seen time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.teller == teller && e.told == e.state && seen.After(e.stateSeen) {
			e.stateSeen = seen
		}
	}
}

// RemoteTargets returns up to n targets of the service in other data centres that may take work.
func (t *Table) RemoteTargets(service string, n int) []radish.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []radish.Target
	all := t.byService[service]
	for _, i := range rand.Perm(len(all)) {
		e := all[i]
		if e.drained || e.leaving || e.target.Leaving || e.target.DataCentre == t.DataCentre {
			continue
		}
		if targets = append(targets, e.target); len(targets) == n {
			break
		}
	}
	return targets
}

// Status is what the table knows of one target, for the operator.
type Status struct {
	Target   string             `json:"target"`
	Service  string             `json:"service"`
	State    radish.TargetState `json:"state"`
	Drained  bool               `json:"drained"`
	Leaving  bool               `json:"leaving"`
	Ejected  bool               `json:"ejected"`
	InFlight int                `json:"in_flight"`
}

// Status returns what is known of every target.
func (t *Table) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list := make([]Status, 0, len(t.entries))
	for name, e := range t.entries {
		list = append(list, Status{
			Target: name, Service: e.target.Service, State: e.state, Drained: e.drained,
			Leaving: e.leaving || e.target.Leaving, Ejected: now.Before(e.ejectUntil), InFlight: e.inFlight,
		})
	}
	return list
}
