package radishpermit

import (
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishlease"
)

// maxReportAge is the maximum age of a target's load report from which a permit is granted.
const maxReportAge = 2 * time.Second

// arrivalTime is the time after a grant by which the permit's attempt has reached the target.
const arrivalTime = 300 * time.Millisecond

// firstTerm is the first term of a lease; as there was no earlier holder, no permits of an earlier term exist.
const firstTerm = 1

// cancelDelay is the time that a target may take to detect that an attempt was cancelled when its permit expired.
const cancelDelay = 500 * time.Millisecond

// Permit allows one attempt at a cold target until NotAfter.
type Permit struct {
	Target string
	ID     uint64
	Term   uint64
	// NotAfter is the time by which the attempt must have ended, on the clock of the VM that requested the permit.
	NotAfter time.Time
}

// Granter grants permits while this VM holds the lease; set the exported fields before first use.
type Granter struct {
	Lease radishlease.StateReader
	// MaxTTL is the maximum lifetime of a permit. A new lease holder waits at least this long before it grants
	// permits, so that the permits of its predecessor have expired.
	MaxTTL time.Duration
	// Capacity returns the number of concurrent attempts that a cold target can run; 0 for an unknown target.
	Capacity func(target string) int

	mu     sync.Mutex
	term   uint64
	lastID uint64
	// granted holds the unreleased permits of each target by ID. Expired ones are removed before each use.
	granted     map[string]map[uint64]grantedPermit
	unpermitted map[string]unpermittedLoad
	// requestedAt is the time of the last request for a permit for each target.
	requestedAt map[string]time.Time
}

// unpermittedLoad is the number of attempts that a target runs without permits, for example because it became cold
// without notice.
type unpermittedLoad struct {
	// inFlight is the larger of the last two samples.
	inFlight   int
	lastSample int
	at         time.Time
}

// grantedPermit is the state of a permit at the VM that granted it.
type grantedPermit struct {
	grantedAt time.Time
	expiresAt time.Time
}

// Acquire grants a permit for ttl or the maximum lifetime, whichever is shorter. It returns radish.ErrLeaseLost if this
// VM does not hold the lease or the permits of its predecessor may still be valid, and radish.ErrNoCapacity if the
// target has no free capacity or no recent load report. It corresponds to the Grant step in spec/steward.pml.
func (g *Granter) Acquire(target string, ttl time.Duration) (Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	lease := g.Lease.Current()
	g.resetForTerm(lease.Term)
	ttl = min(ttl, g.MaxTTL)
	now := time.Now()
	g.requestedAt[target] = now
	g.removeExpired(target, now)
	unpermitted, isReported := g.unpermitted[target]
	if !isReported || now.Sub(unpermitted.at) > maxReportAge {
		return Permit{}, radish.ErrNoCapacity
	}
	if len(g.granted[target])+unpermitted.inFlight >= g.Capacity(target) {
		return Permit{}, radish.ErrNoCapacity
	}
	if lease.AcquiredAt.IsZero() || (lease.Term > firstTerm && now.Sub(lease.AcquiredAt) < g.MaxTTL+cancelDelay) {
		return Permit{}, radish.ErrLeaseLost
	}
	// The lease is checked last, so that nothing is granted if it expired during this call, however long that took.
	if !g.Lease.IsHeld() {
		return Permit{}, radish.ErrLeaseLost
	}
	return g.grant(target, now, ttl), nil
}

// resetForTerm discards the state of an earlier term. Its permits have expired by the end of the wait with which each
// term starts.
func (g *Granter) resetForTerm(term uint64) {
	if term == g.term && g.granted != nil {
		return
	}
	g.term = term
	g.granted = make(map[string]map[uint64]grantedPermit)
	g.unpermitted = make(map[string]unpermittedLoad)
	g.requestedAt = make(map[string]time.Time)
}

// ArrivedPermits returns the number of the target's permits whose attempts have certainly reached the target. It must
// be called before the target's load is read. Permits that were granted just now do not count, because their attempts
// may not have arrived yet.
func (g *Granter) ArrivedPermits(target string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.removeExpired(target, now)
	arrived := 0
	for _, p := range g.granted[target] {
		if now.Sub(p.grantedAt) >= arrivalTime {
			arrived++
		}
	}
	return arrived
}

// ReportLoad records a target's reported load. The part of inFlight above arrived, the number of permitted attempts
// that had reached the target before its load was read, is load without permits. The larger of the last two reports
// applies, because a single one is too low if an attempt has ended but its permit was not yet released.
func (g *Granter) ReportLoad(target string, arrived, inFlight int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetForTerm(g.Lease.Current().Term)
	sample := max(0, inFlight-arrived)
	previous := g.unpermitted[target].lastSample
	g.unpermitted[target] = unpermittedLoad{inFlight: max(sample, previous), lastSample: sample, at: time.Now()}
}

// RequestedTargets returns the targets for which a permit was requested within the last d and whose load reports are
// therefore needed.
func (g *Granter) RequestedTargets(d time.Duration) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var targets []string
	for target, at := range g.requestedAt {
		if time.Since(at) <= d {
			targets = append(targets, target)
		}
	}
	return targets
}

func (g *Granter) removeExpired(target string, now time.Time) {
	for id, p := range g.granted[target] {
		if !now.Before(p.expiresAt) {
			delete(g.granted[target], id)
		}
	}
}

func (g *Granter) grant(target string, now time.Time, ttl time.Duration) Permit {
	g.lastID++
	if g.granted[target] == nil {
		g.granted[target] = make(map[uint64]grantedPermit)
	}
	g.granted[target][g.lastID] = grantedPermit{grantedAt: now, expiresAt: now.Add(ttl + cancelDelay)}
	return Permit{Target: target, ID: g.lastID, Term: g.term, NotAfter: now.Add(ttl)}
}

// Release ends a permit before it expires; a permit of another term is ignored.
func (g *Granter) Release(target string, id, term uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term == g.term {
		delete(g.granted[target], id)
	}
}
