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
	// ejectAfterFailures is the number of consecutive failures after which a target is ejected.
	ejectAfterFailures = 5
	// ejectionTime is how long an ejected target gets no attempts.
	ejectionTime = 2 * time.Second
	// minAvailableShare is the share of a service's targets that stays available in spite of ejections.
	minAvailableShare = 0.5
)

// latencyWeight is the weight of the newest response in the moving average of a target's latency.
const latencyWeight = 0.1

// latencyHalfLife is the time in which the measured latency of a target decays to half if no new response is measured.
const latencyHalfLife = 5 * time.Second

// targetEntry is the state of one target as tracked by this VM.
type targetEntry struct {
	target  radish.Target
	drained bool
	// reportedLeaving is whether, in the last observation, the target reported that it is leaving.
	reportedLeaving bool
	inFlight        int
	state           radish.TargetState
	stateObservedAt time.Time
	// otherInFlight is the number of attempts of other VMs that are in flight according to the last observation.
	otherInFlight int
	// peer is the peer that last reported a state, and whose heartbeats confirm that state; "" if there is none.
	// peerState is the state that it reported.
	peer      string
	peerState radish.TargetState
	latency   time.Duration
	latencyAt time.Time
	// startOffsetSum is the sum of the start times, as offsets from epoch, of the attempts in flight.
	startOffsetSum time.Duration
	epoch          time.Time
	// failures is the number of consecutive failed attempts.
	failures     int
	ejectedUntil time.Time
}

// Observation is the state of a target as observed by this VM or by a peer. VMs exchange changes of the state in their
// heartbeats.
type Observation struct {
	Target   string
	State    radish.TargetState
	InFlight int
	// ObservedAt is the time of the observation on this VM's clock.
	ObservedAt time.Time
	// Peer is the name of the peer that made the observation; "" for this VM.
	Peer string
}

// Table holds the targets that the VM may use; set the exported fields before first use.
type Table struct {
	// DataCentre is the VM's own data centre.
	DataCentre string
	// WarmTTL is how long after the last observation as warm a target is treated as warm.
	WarmTTL time.Duration
	// OnStateChange is called after a target's state changed, without holding the table's lock; it may be nil.
	OnStateChange func(Observation)

	mu        sync.Mutex
	entries   map[string]*targetEntry
	byService map[string][]*targetEntry
}

// Change describes how an update of the list of targets changed one target.
type Change struct {
	Target string
	// Message is logged; it is "target known", "target leaves", "target drained", "target back" or "target gone".
	Message string
}

// Update replaces the list of targets and returns the changes. The state of a target that stays at its address is kept.
func (t *Table) Update(targets []radish.Target, isDrained func(radish.Target) bool) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries
	t.entries = make(map[string]*targetEntry, len(targets))
	t.byService = make(map[string][]*targetEntry)
	var changes []Change
	for _, target := range targets {
		e := old[target.Name]
		if e == nil || e.target.Address != target.Address {
			e = &targetEntry{}
			changes = append(changes, Change{Target: target.Name, Message: "target known"})
		}
		previous := e.statusMessage()
		e.target = target
		e.drained = isDrained(target)
		if current := e.statusMessage(); current != previous {
			changes = append(changes, Change{Target: target.Name, Message: current})
		}
		t.entries[target.Name] = e
		t.byService[target.Service] = append(t.byService[target.Service], e)
	}
	for name := range old {
		if t.entries[name] == nil {
			changes = append(changes, Change{Target: name, Message: "target gone"})
		}
	}
	return changes
}

// statusMessage returns the log message for the target's status according to the list of targets and the drains.
func (e *targetEntry) statusMessage() string {
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

// LocalTargets returns the targets in the VM's own data centre.
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

// Candidates are the targets to which the VM may send an attempt; cold targets require a permit.
type Candidates struct {
	// Warm are the warm targets with spare capacity in the VM's own data centre, or, if it has none, in other data
	// centres.
	Warm []radish.Candidate
	Cold []radish.Candidate
	// Remote are the warm targets in other data centres; it is only set if Warm are in the VM's own data centre.
	Remote []radish.Candidate
}

// Candidates returns the targets of the service that are eligible for an attempt, without those in exclude. Warm
// targets of other data centres are in Warm only if the VM's own data centre has none with spare capacity.
func (t *Table) Candidates(service string, maxInFlight int, exclude map[string]bool) Candidates {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	eligible := t.eligible(service, exclude, now)
	local := t.classify(eligible, true, maxInFlight, now)
	remote := t.classify(eligible, false, maxInFlight, now)
	if len(local.Warm) > 0 {
		local.Remote = remote.Warm
		return local
	}
	return Candidates{Warm: remote.Warm, Cold: append(local.Cold, remote.Cold...)}
}

// eligible returns the service's targets that are neither drained, leaving, excluded nor ejected, and as many ejected
// ones as are needed to keep the minimum share available.
func (t *Table) eligible(service string, exclude map[string]bool, now time.Time) []*targetEntry {
	all := t.byService[service]
	eligible := make([]*targetEntry, 0, len(all))
	ejected := make([]*targetEntry, 0)
	active := 0
	for _, e := range all {
		if e.drained || e.target.Leaving || e.reportedLeaving {
			continue
		}
		active++
		if exclude[e.target.Name] {
			continue
		}
		if now.Before(e.ejectedUntil) {
			ejected = append(ejected, e)
			continue
		}
		eligible = append(eligible, e)
	}
	// A few errors must not take all targets of a slow or faulty data centre out of service.
	for _, e := range ejected {
		if float64(len(eligible)) >= minAvailableShare*float64(active) {
			break
		}
		eligible = append(eligible, e)
	}
	return eligible
}

// classify returns the warm and the cold candidates among the targets, either those in the VM's own data centre or
// those in other ones. It omits warm targets that have maxInFlight attempts of this VM in flight.
func (t *Table) classify(entries []*targetEntry, local bool, maxInFlight int, now time.Time) Candidates {
	var candidates Candidates
	for _, e := range entries {
		isLocal := e.target.DataCentre == t.DataCentre
		if isLocal != local {
			continue
		}
		c := radish.Candidate{
			Target: e.target, InFlight: e.inFlight, OtherLoad: e.otherInFlight, Local: isLocal,
			Latency: e.estimatedLatency(now),
		}
		switch {
		case !t.isWarm(e, now):
			candidates.Cold = append(candidates.Cold, c)
		case e.inFlight < maxInFlight:
			candidates.Warm = append(candidates.Warm, c)
		}
	}
	return candidates
}

// isWarm reports whether the target was recently observed as warm; a target without a recent observation counts as
// cold.
func (t *Table) isWarm(e *targetEntry, now time.Time) bool {
	return e.state == radish.TargetWarm && now.Sub(e.stateObservedAt) <= t.WarmTTL
}

// IsWarm reports whether the target was recently observed as warm.
func (t *Table) IsWarm(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[name]
	return e != nil && t.isWarm(e, time.Now())
}

// Start records the start of an attempt at the target and returns the start time, which must be passed to Finish.
func (t *Table) Start(name string) time.Time {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[name]; e != nil {
		if e.inFlight == 0 {
			e.epoch, e.startOffsetSum = now, 0
		}
		e.inFlight++
		e.startOffsetSum += now.Sub(e.epoch)
	}
	return now
}

// Finish records the end of an attempt; response is nil if there was none.
func (t *Table) Finish(name string, startedAt time.Time, response *radish.Response, failed bool) {
	t.mu.Lock()
	e := t.entries[name]
	if e == nil {
		t.mu.Unlock()
		return
	}
	if e.inFlight > 0 {
		e.inFlight--
		e.startOffsetSum -= startedAt.Sub(e.epoch)
	}
	e.recordResult(failed)
	if response != nil && response.Latency > 0 && !failed {
		e.recordLatency(response.Latency)
	}
	t.mu.Unlock()
	if response != nil && response.State != radish.TargetUnknown {
		t.Observe(Observation{Target: name, State: response.State, InFlight: response.InFlight, ObservedAt: time.Now()})
	}
}

func (e *targetEntry) recordLatency(measured time.Duration) {
	if e.latency == 0 {
		e.latency = measured
	}
	e.latency += time.Duration(latencyWeight * float64(measured-e.latency))
	e.latencyAt = time.Now()
}

// estimatedLatency returns the decayed moving average of the target's latency, or twice the mean age of the attempts in
// flight if that is longer: this detects that a target has slowed down before its first slow response.
func (e *targetEntry) estimatedLatency(now time.Time) time.Duration {
	halfLives := float64(now.Sub(e.latencyAt)) / float64(latencyHalfLife)
	// The average decays over time so that a target that was slow is tried again.
	decayed := time.Duration(float64(e.latency) * math.Exp2(-halfLives))
	if e.inFlight == 0 {
		return decayed
	}
	meanAge := now.Sub(e.epoch) - e.startOffsetSum/time.Duration(e.inFlight)
	return max(decayed, 2*meanAge)
}

func (e *targetEntry) recordResult(failed bool) {
	if !failed {
		e.failures = 0
		return
	}
	e.failures++
	if e.failures >= ejectAfterFailures {
		e.ejectedUntil = time.Now().Add(ejectionTime)
	}
}

// Observe records an observation of a target; an observation that is older than the current one does not change the
// target's state.
func (t *Table) Observe(observed Observation) {
	t.mu.Lock()
	e := t.entries[observed.Target]
	if e != nil && observed.Peer != "" {
		e.peer, e.peerState = observed.Peer, observed.State
	}
	if e == nil || observed.ObservedAt.Before(e.stateObservedAt) {
		t.mu.Unlock()
		return
	}
	changed := e.state != observed.State
	e.state = observed.State
	e.stateObservedAt = observed.ObservedAt
	e.reportedLeaving = observed.State == radish.TargetLeaving
	e.otherInFlight = max(0, observed.InFlight-e.inFlight)
	t.mu.Unlock()
	if changed && t.OnStateChange != nil {
		t.OnStateChange(observed)
	}
}

// ConfirmStates extends the validity of the states that the peer reported last, because its heartbeat implies that they
// have not changed since. It has no effect on a target that was observed in another state in the meantime.
func (t *Table) ConfirmStates(peer string, confirmedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if e.peer == peer && e.peerState == e.state && confirmedAt.After(e.stateObservedAt) {
			e.stateObservedAt = confirmedAt
		}
	}
}

// RemoteTargets returns up to n randomly chosen targets of the service in other data centres, without those that are
// drained or leaving.
func (t *Table) RemoteTargets(service string, n int) []radish.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []radish.Target
	all := t.byService[service]
	for _, i := range rand.Perm(len(all)) {
		e := all[i]
		if e.drained || e.reportedLeaving || e.target.Leaving || e.target.DataCentre == t.DataCentre {
			continue
		}
		if targets = append(targets, e.target); len(targets) == n {
			break
		}
	}
	return targets
}

// Status is the status of one target as shown to the operator.
type Status struct {
	Target   string             `json:"target"`
	Service  string             `json:"service"`
	State    radish.TargetState `json:"state"`
	Drained  bool               `json:"drained"`
	Leaving  bool               `json:"leaving"`
	Ejected  bool               `json:"ejected"`
	InFlight int                `json:"in_flight"`
}

// Status returns the status of every target.
func (t *Table) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	list := make([]Status, 0, len(t.entries))
	for name, e := range t.entries {
		list = append(list, Status{
			Target: name, Service: e.target.Service, State: e.state, Drained: e.drained,
			Leaving: e.reportedLeaving || e.target.Leaving, Ejected: now.Before(e.ejectedUntil), InFlight: e.inFlight,
		})
	}
	return list
}
