package radishpermit

import (
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishlease"
)

// reportMaxAge is how old a target's load report may be for a grant.
const reportMaxAge = 2 * time.Second

// settleTime is how long after its grant a permit's attempt has reached the target.
const settleTime = 300 * time.Millisecond

// firstTerm is the term of a lease that nobody held before, so that no permits of a predecessor are out.
const firstTerm = 1

// cancelMargin is how long a target may take to notice that an attempt was cancelled at its permit's end.
const cancelMargin = 500 * time.Millisecond

// Permit allows one attempt at a cold target until NotAfter.
type Permit struct {
	Target string
	ID     uint64
	Term   uint64
	// NotAfter is when the attempt must have ended, on the clock of the VM that asked.
	NotAfter time.Time
}

// Steward grants permits while it holds the lease; set the exported fields before first use.
type Steward struct {
	Lease radishlease.Holder
	// MaxPermit is the longest permit, and so the time for which a new steward waits before its first grant.
	MaxPermit time.Duration
	// Capacity returns how much work the target bears while cold; 0 for an unknown one.
	Capacity func(target string) int

	mu          sync.Mutex
	term        uint64
	nextID      uint64
	outstanding map[string]map[uint64]grantedPermit
	foreign     map[string]foreignWork
	wanted      map[string]time.Time
}

// foreignWork is what a target had in flight beyond the permits, as when it turned cold without notice.
type foreignWork struct {
	inFlight int
	seen     int
	at       time.Time
}

// grantedPermit is what the steward remembers of a permit.
type grantedPermit struct {
	granted time.Time
	end     time.Time
}

// Acquire (spec: Grant) grants a permit for ttl; radish.ErrLeaseLost when this VM is not the steward or still
// waits out its predecessor's permits, radish.ErrNoCapacity when the target bears no more.
func (s *Steward) Acquire(target string, ttl time.Duration) (Permit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.Lease.Current()
	s.startTerm(lease.Term)
	ttl = min(ttl, s.MaxPermit)
	now := time.Now()
	s.wanted[target] = now
	s.expire(target, now)
	foreign, reported := s.foreign[target]
	if !reported || now.Sub(foreign.at) > reportMaxAge {
		return Permit{}, radish.ErrNoCapacity
	}
	if len(s.outstanding[target])+foreign.inFlight >= s.Capacity(target) {
		return Permit{}, radish.ErrNoCapacity
	}
	if lease.Since.IsZero() || (lease.Term > firstTerm && now.Sub(lease.Since) < s.MaxPermit+cancelMargin) {
		return Permit{}, radish.ErrLeaseLost
	}
	// The lease is tested last: whatever delayed this call until here, a lapsed lease grants nothing.
	if !s.Lease.IsHeld() {
		return Permit{}, radish.ErrLeaseLost
	}
	return s.grant(target, now, ttl), nil
}

// startTerm forgets the permits of an earlier term, which the wait at the start of this one has outlived.
func (s *Steward) startTerm(term uint64) {
	if term == s.term && s.outstanding != nil {
		return
	}
	s.term = term
	s.outstanding = make(map[string]map[uint64]grantedPermit)
	s.foreign = make(map[string]foreignWork)
	s.wanted = make(map[string]time.Time)
}

// Covered returns how many attempts of the target's load are under permits for sure; call it before the target's
// report is read. A permit granted just now does not count, since its attempt may not have arrived yet.
func (s *Steward) Covered(target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(target, now)
	covered := 0
	for _, p := range s.outstanding[target] {
		if now.Sub(p.granted) >= settleTime {
			covered++
		}
	}
	return covered
}

// Report takes in how much a target says it has in flight; what Covered did not count before is foreign. The
// larger of two reports in a row stands, since an attempt may have ended while its permit was not yet released.
func (s *Steward) Report(target string, covered, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startTerm(s.Lease.Current().Term)
	seen := max(0, inFlight-covered)
	before := s.foreign[target].seen
	s.foreign[target] = foreignWork{inFlight: max(seen, before), seen: seen, at: time.Now()}
}

// Wanted returns the targets for which permits were asked within d and whose reports are therefore needed.
func (s *Steward) Wanted(d time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []string
	for target, at := range s.wanted {
		if time.Since(at) <= d {
			targets = append(targets, target)
		}
	}
	return targets
}

func (s *Steward) expire(target string, now time.Time) {
	for id, p := range s.outstanding[target] {
		if !now.Before(p.end) {
			delete(s.outstanding[target], id)
		}
	}
}

func (s *Steward) grant(target string, now time.Time, ttl time.Duration) Permit {
	s.nextID++
	if s.outstanding[target] == nil {
		s.outstanding[target] = make(map[uint64]grantedPermit)
	}
	s.outstanding[target][s.nextID] = grantedPermit{granted: now, end: now.Add(ttl + cancelMargin)}
	return Permit{Target: target, ID: s.nextID, Term: s.term, NotAfter: now.Add(ttl)}
}

// Release ends a permit before its time; one of another term is ignored.
func (s *Steward) Release(target string, id, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term == s.term {
		delete(s.outstanding[target], id)
	}
}
