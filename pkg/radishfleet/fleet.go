package radishfleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a target is ejected.
	ejectAfterFailures = 2
	// minEjection and maxEjection bound how long a target stays ejected, which doubles each time.
	minEjection = 700 * time.Millisecond
	maxEjection = 3 * time.Second
	// failureSampleWeight is the weight of the latest outcome in the moving average of failures.
	failureSampleWeight = 0.2
	// failureHalfLife is the half-life of the failure rate of a target that gets no calls.
	failureHalfLife = 3 * time.Second
	// loadReportTTL is how long the load that a target reported is used.
	loadReportTTL = time.Second
	// coldWindow is the time window of the rate limit for cold targets.
	coldWindow = time.Second
)

// Fleet holds the state of the targets as observed by one VM. Its exported fields must be set before first use.
type Fleet struct {
	// DataCentre is the data centre of this VM.
	DataCentre string
	// ColdQuota returns how many calls per second this VM may send to the cold target; nil means no limit.
	ColdQuota func(t radish.Target) int
	// Versions decides which versions of a service may get calls; nil means all of them.
	Versions VersionGate

	mu        sync.Mutex
	targets   map[string]*targetState
	byService map[string][]*targetState
	// newestAt holds, by address, the target that started last there.
	newestAt map[string]*targetState
	// assignments caches the latest assignment of targets to shards by service.
	assignments map[string]*shardAssignment
	evacuated   map[string]bool
	// leaving holds, by name, the targets that announced in a response that they leave. It outlasts their records.
	leaving map[string]LeavingTarget
	// departed holds, by name, the limits on calls to targets whose records were removed.
	departed        map[string]departedTarget
	dataCentreLinks map[string]*dataCentreLink
	// speeds holds, by service, what is known about the speeds of its targets.
	speeds map[string]*serviceSpeeds
	// paceDigest is a hash of the usual paces of the targets.
	paceDigest uint64
	// rand draws random targets; nil means the process's random numbers.
	rand *rand.Rand
	// heldUntil holds, by service and version, when a version may get calls that has no order. holdsVersions is whether new versions wait.
	heldUntil     map[string]map[string]time.Time
	holdsVersions bool
}

// targetState is the VM's state of one target, from its record, its load reports and the outcomes of this VM's calls.
type targetState struct {
	target     radish.Target
	updatedAt  time.Time
	coldUntil  time.Time
	coldSentAt []time.Time
	// saidColdUntil is how long the target is cold as it said in a response, whatever its record says.
	saidColdUntil time.Time
	inFlight      int
	reportedLoad  radish.TargetLoad
	reportedAt    time.Time
	// failureRate is the moving average of failed calls as of failureRateAt; consecutiveFailures counts the failures
	// since the last success.
	failureRate         float64
	failureRateAt       time.Time
	consecutiveFailures int
	errorResponses      errorRate
	// pausedUntil is the end of the latest pause for which the target asked; sentAfterPause counts the calls since.
	pausedUntil    time.Time
	sentAfterPause int
	ejectionPeriod time.Duration
	ejectedUntil   time.Time
	latest         latestReport
	// usualPace is the least pace that the target reported to any VM; 0 means that none is known.
	usualPace float64
	// speeds are the observed times by kind of work, relative to those of the service; slowness is the time of work relative to the
	// mean of the service's targets, as of the latest comparison, and 0 before the first one.
	speeds   [workKinds]decayedMean
	slowness float64
	// hashWeightSteps is the logarithm of the engine's weight in the assignment of prompts.
	hashWeightSteps float64
	// promptTokens counts the tokens of this VM's calls that the engine has not read yet.
	promptTokens int
}

// Set stores a target's record. It reports whether the record matters for routing: it is a new target, a restarted one,
// or one that starts or stops leaving.
func (f *Fleet) Set(t radish.Target, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.targets == nil {
		f.targets = make(map[string]*targetState)
		f.byService = make(map[string][]*targetState)
		f.newestAt = make(map[string]*targetState)
	}
	s := f.targets[t.Name]
	isNew := s == nil || s.target.StartedUnixMilli != t.StartedUnixMilli || s.target.Address != t.Address || s.target.Service != t.Service ||
		f.Versions != nil && s.target.Version != t.Version
	if isNew {
		f.remove(t.Name)
		s = &targetState{}
		f.restoreLimits(s, t)
		f.targets[t.Name] = s
		f.byService[t.Service] = append(f.byService[t.Service], s)
		delete(f.assignments, t.Service)
	}
	isChange := isNew || s.target.Leaving != t.Leaving
	s.target, s.updatedAt = t, now
	f.recordVersion(t, now)
	f.claimAddress(s)
	s.coldUntil = later(now.Add(t.ColdRemaining), s.saidColdUntil)
	return isChange
}

// Remove deletes a target.
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
	f.rememberLimits(s)
	f.paceDigest ^= s.paceHash()
	f.releaseAddress(s)
	f.releaseProbe(s.target)
	service := s.target.Service
	delete(f.assignments, service)
	f.byService[service] = slices.DeleteFunc(f.byService[service], func(other *targetState) bool { return other == s })
	if len(f.byService[service]) == 0 {
		delete(f.speeds, service)
	}
}

// claimAddress records the target as the newest at its address, unless another one there started no earlier.
func (f *Fleet) claimAddress(s *targetState) {
	newest := f.newestAt[s.target.Address]
	if newest == nil || s.target.StartedUnixMilli > newest.target.StartedUnixMilli {
		f.newestAt[s.target.Address] = s
	}
}

// releaseAddress passes the address of a removed target on to the newest of those that remain there.
func (f *Fleet) releaseAddress(s *targetState) {
	if f.newestAt[s.target.Address] != s {
		return
	}
	delete(f.newestAt, s.target.Address)
	for _, other := range f.targets {
		if other.target.Address == s.target.Address {
			f.claimAddress(other)
		}
	}
}

// SetEvacuated replaces the set of data centres whose targets get no calls.
func (f *Fleet) SetEvacuated(dataCentres map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated = dataCentres
}

// TargetSnapshot is the state behind the choice of a target, for logs.
type TargetSnapshot struct {
	// RecordAge is the time since the target's record was last stored.
	RecordAge time.Duration
	// CallsInFlight is the target's number of calls in flight, as far as this VM can determine it.
	CallsInFlight int
	// FailureRate is the target's recent failure rate.
	FailureRate float64
	// ErrorRate is the share of server errors among the target's recent responses.
	ErrorRate float64
	IsCold    bool
	// IsUneven is whether calls to the service are sent by the expected times at its targets.
	IsUneven bool
	// Slowness is the time that work takes at the target relative to the mean of its service's targets, as learned.
	Slowness float64
	// Pace is the latest pace that the target reported, see [radish.TargetLoad], 0 if there is none; PaceAge is the time since then.
	Pace    float64
	PaceAge time.Duration
	// ExpectedCost is the expected time of another call at the target, in times of an average call without a queue.
	ExpectedCost float64
	// UnreadTokens is the number of prompt tokens of this VM's calls that the target has not read yet.
	UnreadTokens int
	// TotalTargets is the number of targets of the service; UsableTargets is the number of those that may take calls.
	UsableTargets, TotalTargets int
}

// TargetSnapshot returns the state of the target and its service.
func (f *Fleet) TargetSnapshot(name string, now time.Time) TargetSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[name]
	if s == nil {
		return TargetSnapshot{}
	}
	snapshot := TargetSnapshot{
		RecordAge: now.Sub(s.updatedAt), CallsInFlight: int(s.load(now)), FailureRate: s.decayedFailureRate(now),
		ErrorRate: s.errorResponses.at(now), IsCold: now.Before(s.coldUntil),
	}
	f.addExpectation(&snapshot, s, now)
	versions := f.versionsFor(s.target.Service, "", 0, now)
	for _, other := range f.byService[s.target.Service] {
		snapshot.TotalTargets++
		if f.isAvailable(other, versions, now) {
			snapshot.UsableTargets++
		}
	}
	return snapshot
}

// Query describes the target that a call needs.
type Query struct {
	Service string
	// Route is the route of the call, with the size of its prompt where that matters, by which versions are compared.
	Route string
	// Exclude holds the targets that the call must not be sent to again.
	Exclude map[string]bool
	// AffinityKey is the shared part of the prompt, by which calls are sent to the same engine; "" disables affinity.
	AffinityKey string
	// PreferredDataCentre is the data centre of the call's inputs; "" means no preference.
	PreferredDataCentre string
	// DataCentreWeights are the weights of the data centres for calls with affinity; nil gives all engines the same
	// weight.
	DataCentreWeights map[string]float64
	// PromptTokens is the number of tokens that the call's engine has to read, until PromptRead is called.
	PromptTokens int
	// HasColdLimit is whether cold targets of the service are limited to ColdQuota.
	HasColdLimit bool
	// IsCopy is whether the call is at another target already, so that cold, ejected and unreachable targets are no help.
	IsCopy bool

	versions *versionFilter
}

// Pick chooses a target and counts the call as in flight there until Done is called; ok is false when no target can
// take the call now.
func (f *Fleet) Pick(q Query, now time.Time) (t radish.Target, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.pick(q, now)
	if s == nil {
		return radish.Target{}, false
	}
	s.recordSend()
	f.addPrompt(s, q.PromptTokens)
	f.RecordVersionSend(s.target, q.Route, 1, now)
	return s.target, true
}

// pick chooses a target of the service's candidate if the call is admitted there, and of the other versions otherwise.
func (f *Fleet) pick(q Query, now time.Time) *targetState {
	q.versions = f.versionsFor(q.Service, q.Route, 1, now)
	if candidates := f.candidates(q.Service, q.versions, now, anyTarget); candidates != nil {
		admitted := q
		admitted.versions = candidates
		if s := f.pickBest(admitted, f.warmTargets(admitted, now), now); s != nil {
			return s
		}
	}
	s := f.pickBest(q, f.warmTargets(q, now), now)
	if s == nil && !q.IsCopy {
		s = f.pickCold(q, now)
	}
	return s
}

// warmTargets returns the targets that may take the call. It falls back to ejected and unreachable ones if there are
// no others.
func (f *Fleet) warmTargets(q Query, now time.Time) []*targetState {
	var warm, ejected []*targetState
	for _, s := range f.byService[q.Service] {
		switch {
		case !f.isUsable(s, q.versions, now), q.Exclude[s.target.Name], (q.HasColdLimit || q.IsCopy) && now.Before(s.coldUntil):
		case f.isExcluded(s, now):
			ejected = append(ejected, s)
		default:
			warm = append(warm, s)
		}
	}
	if len(warm) == 0 && !q.IsCopy {
		return ejected
	}
	return warm
}

func (f *Fleet) pickCold(q Query, now time.Time) *targetState {
	for _, s := range f.byService[q.Service] {
		if !f.isUsable(s, q.versions, now) || q.Exclude[s.target.Name] || !now.Before(s.coldUntil) {
			continue
		}
		s.coldSentAt = slices.DeleteFunc(s.coldSentAt, func(at time.Time) bool { return now.Sub(at) > coldWindow })
		if f.ColdQuota != nil && len(s.coldSentAt) >= f.ColdQuota(s.target) {
			continue
		}
		s.coldSentAt = append(s.coldSentAt, now)
		return s
	}
	return nil
}

func (f *Fleet) pickBest(q Query, candidates []*targetState, now time.Time) *targetState {
	if q.AffinityKey != "" {
		return f.pickByAffinity(q, candidates, now)
	}
	if f.isUneven(q.Service, now) {
		return f.pickByTime(q, candidates, now)
	}
	var best *targetState
	bestCost := 0.0
	meanErrorRate := meanErrorRateOf(candidates, now)
	for _, s := range candidates {
		cost := f.cost(s, now) + failureRateCost*s.errorResponses.excess(meanErrorRate, now)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// Costs added to a target's relative load.
const (
	failureRateCost      = 3.0
	remoteDataCentreCost = 0.1
)

// cost returns how unfavourable the target is for a call, from its load relative to its slots, its recent failure
// rate and whether it is in another data centre.
func (f *Fleet) cost(s *targetState, now time.Time) float64 {
	cost := s.load(now)/float64(max(1, s.target.Slots)) + failureRateCost*s.decayedFailureRate(now)
	if s.target.DataCentre != f.DataCentre {
		cost += remoteDataCentreCost
	}
	return cost
}

// load returns the number of calls that the target has, including calls from other VMs if it reported its load
// recently.
func (s *targetState) load(now time.Time) float64 {
	if now.Sub(s.reportedAt) < loadReportTTL {
		return float64(max(s.inFlight, s.reportedLoad.Running+s.reportedLoad.Waiting))
	}
	return float64(s.inFlight)
}

func (s *targetState) decayedFailureRate(now time.Time) float64 {
	halfLives := float64(now.Sub(s.failureRateAt)) / float64(failureHalfLife)
	if halfLives > 20 {
		return 0
	}
	rate := s.failureRate
	for ; halfLives >= 1; halfLives-- {
		rate /= 2
	}
	return rate * (1 - halfLives/2)
}

// DataCentreOf returns the data centre of the target with the address, or "" if there is no such target.
func (f *Fleet) DataCentreOf(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.target.Address == address {
			return s.target.DataCentre
		}
	}
	return ""
}
