package radishmemory

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// CallBytes is what a call takes without its body and response: goroutines, and buffers of net/http for two connections.
	CallBytes = 32 << 10
	// SmallBytes is how much of each grant belongs to the part of the budget that is kept for small calls: a body of 64 kB fits.
	SmallBytes = CallBytes + 64<<10
	// reserveShare is the share of the budget that only the first SmallBytes of grants may use.
	reserveShare = 0.25
	// newShare is the share of the bytes for large grants above which small grants may not become large. The rest is for grants that
	// already are large, so that their calls can complete.
	newShare = 0.9
	// callerShare is the share of the bytes for large grants that one caller address may hold. It is below newShare, so that others can
	// become large beside it. A load balancer may give all callers the same address; they then have this share together.
	callerShare = 0.7
	// stallTime is the time without growth after which a grant counts as stalled. A body that arrives at 64 kB a second does not stall.
	stallTime = time.Second
	// meanRetryAfter is the mean of RetryAfter. Stalled grants are withdrawn within a second.
	meanRetryAfter = 2 * time.Second
)

// RetryAfter returns the time after which a request that was refused for lack of memory is to be repeated. It differs from call to call, so that
// a crowd does not come back at once.
func RetryAfter() time.Duration { return meanRetryAfter/2 + rand.N(meanRetryAfter) }

// Account grants memory out of a budget. Its exported fields must be set before first use. A nil *Account grants everything.
type Account struct {
	// Budget returns the bytes that all grants may hold together; 0 means no limit.
	Budget func() int64

	mu sync.Mutex
	// held is the sum of all grants, large the part of it beyond the first SmallBytes of each.
	held, large int64
	// largeByCaller is the part of large that each caller address holds.
	largeByCaller map[string]int64
	grants        map[*Grant]struct{}
	refused       int64
	evicted       int64
}

// Grant is the memory that one call or connection holds. A nil *Grant grows without limit.
type Grant struct {
	account *Account
	caller  string
	evict   func(State)

	// These fields are guarded by the account's mutex. grownAt is when the body last arrived in part, or since when a response waits for
	// its caller.
	held      int64
	grownAt   time.Time
	state     State
	isEvicted bool
}

// Stats describes the state of an [Account].
type Stats struct {
	// Held is the number of bytes granted, Budget that of all bytes, and Grants the number of grants.
	Held, Budget int64
	Grants       int
	// Refused counts the requests that were not granted, Evicted the grants that were withdrawn.
	Refused, Evicted int64
}

// Stats returns the current state.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Stats{Held: a.held, Budget: a.Budget(), Grants: len(a.grants), Refused: a.refused, Evicted: a.evicted}
}

// Open returns an empty grant for a caller's address. The account calls evict, at most once, when it withdraws the grant's bytes; the call
// must then end without them. The state is that of the grant when it was withdrawn; the call may have gone on since.
func (a *Account) Open(caller string, evict func(State)) *Grant {
	if a == nil {
		return nil
	}
	g := &Grant{account: a, caller: caller, evict: evict}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grants == nil {
		a.grants, a.largeByCaller = make(map[*Grant]struct{}), make(map[string]int64)
	}
	a.grants[g] = struct{}{}
	return g
}

// Close releases all bytes of the grant.
func (g *Grant) Close() {
	if g == nil {
		return
	}
	a := g.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.grants[g]; !ok {
		return
	}
	a.add(g, -g.held)
	delete(a.grants, g)
}

// State is what the call of a grant does, which decides when the account may withdraw the grant.
type State int

// States of grants.
const (
	// Receiving is for bodies that arrive: they may be withdrawn if they are stalled, or in favour of larger ones.
	Receiving State = iota
	// Running is for calls that may have reached a target: they are never withdrawn.
	Running
	// Sending is for responses that wait for their caller: they may be withdrawn if they are stalled.
	Sending
)

// SetState sets the state of the grant from the time on. It reports whether the account has not withdrawn the grant already.
func (g *Grant) SetState(state State, now time.Time) bool {
	if g == nil {
		return true
	}
	g.account.mu.Lock()
	defer g.account.mu.Unlock()
	g.state, g.grownAt = state, now
	return !g.isEvicted
}

// Shrink releases n bytes of the grant.
func (g *Grant) Shrink(n int64) {
	if g == nil {
		return
	}
	g.account.mu.Lock()
	defer g.account.mu.Unlock()
	if !g.isEvicted {
		g.account.add(g, -min(n, g.held))
	}
}

// Grow adds n bytes to the grant and reports whether they were granted. It withdraws other grants
// if the bytes do not fit into the budget otherwise.
func (g *Grant) Grow(n int64, now time.Time) bool {
	if g == nil {
		return true
	}
	if n < 0 {
		return false
	}
	victims, ok := g.account.grow(g, n, now)
	for _, v := range victims {
		if v.grant.evict != nil {
			v.grant.evict(v.state)
		}
	}
	return ok
}

// withdrawal is a grant that was withdrawn in a state.
type withdrawal struct {
	grant *Grant
	state State
}

// grow adds n bytes to the grant if they fit, and returns what it withdrew for that, whether or not it succeeded.
func (a *Account) grow(g *Grant, n int64, now time.Time) (victims []withdrawal, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !g.isEvicted && !a.fits(g, n) {
		v := a.victim(g, now)
		if v == nil {
			a.refused++
			return victims, false
		}
		a.withdraw(v)
		victims = append(victims, withdrawal{v, v.state})
	}
	if g.isEvicted {
		return victims, false
	}
	a.add(g, n)
	if g.state == Receiving {
		g.grownAt = now
	}
	return victims, true
}

// fits reports whether the grant may grow by n bytes.
func (a *Account) fits(g *Grant, n int64) bool {
	budget := a.Budget()
	if budget <= 0 {
		return true
	}
	if a.held+n > budget {
		return false
	}
	more := largePart(g.held+n) - largePart(g.held)
	if more == 0 {
		return true
	}
	limit := largeLimit(budget)
	if largePart(g.held) == 0 && float64(a.large+more) > newShare*float64(limit) {
		return false
	}
	return a.large+more <= limit && float64(a.largeByCaller[g.caller]+more) <= callerShare*float64(limit)
}

// victim returns the grant to be withdrawn so that g can grow, or nil if g must not: a stalled one, the one that has not grown for the
// longest time first; otherwise, if g is large, a smaller large one of the address that holds most, since the least work is lost with it.
func (a *Account) victim(g *Grant, now time.Time) *Grant {
	var stalled, smaller *Grant
	for v := range a.grants {
		if v == g || v.state == Running || v.held == 0 {
			continue
		}
		if now.Sub(v.grownAt) >= stallTime && (stalled == nil || v.grownAt.Before(stalled.grownAt)) {
			stalled = v
		}
		if v.state == Receiving && largePart(v.held) > 0 && v.held < g.held && (smaller == nil || a.isEvictedBefore(v, smaller)) {
			smaller = v
		}
	}
	if stalled != nil {
		return stalled
	}
	return smaller
}

// isEvictedBefore reports whether v is the better one of two large grants to withdraw.
func (a *Account) isEvictedBefore(v, other *Grant) bool {
	if x, y := a.largeByCaller[v.caller], a.largeByCaller[other.caller]; x != y {
		return x > y
	}
	return v.held < other.held
}

// withdraw takes all bytes of the grant away. The caller must call its evict function without the lock.
func (a *Account) withdraw(g *Grant) {
	a.evicted++
	g.isEvicted = true
	a.add(g, -g.held)
	delete(a.grants, g)
}

// add changes the size of the grant.
func (a *Account) add(g *Grant, n int64) {
	more := largePart(g.held+n) - largePart(g.held)
	g.held += n
	a.held += n
	a.large += more
	if a.largeByCaller[g.caller] += more; a.largeByCaller[g.caller] == 0 {
		delete(a.largeByCaller, g.caller)
	}
}

// largePart returns how many of the bytes of a grant are beyond those of a small call.
func largePart(held int64) int64 { return max(0, held-SmallBytes) }

// largeLimit returns how many bytes of the budget large grants may use.
func largeLimit(budget int64) int64 { return int64((1 - reserveShare) * float64(budget)) }
