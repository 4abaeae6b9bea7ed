package radishlease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

// Fractions of the lease's duration.
const (
	renewFraction = 4
	watchFraction = 4
)

// releaseTimeout bounds the update that gives the lease up.
const releaseTimeout = time.Second

// record is the value of the lease object.
type record struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// Renewal counts the updates of the term, so that each one changes the value.
	Renewal uint64 `json:"renewal"`
}

// Held describes the lease as this VM sees it.
type Held struct {
	Holder string
	Term   uint64
	// Since is when this VM took the lease; zero when another VM holds it.
	Since time.Time
}

// Holder tells whether this VM holds a lease.
type Holder interface {
	// IsHeld tells whether the lease is held now.
	IsHeld() bool
	// Current returns the lease as last seen.
	Current() Held
}

// Lease competes for one object; set the exported fields before Run.
type Lease struct {
	Platform radish.Platform
	Key      string
	// Name is the name of this VM.
	Name     string
	Duration time.Duration
	// IsCandidate tells whether this VM should take the lease when it is free.
	IsCandidate func() bool
	Log         hclog.Logger

	mu         sync.Mutex
	held       Held
	validUntil instant
	version    uint64
	last       record
	// attempt numbers every update that was tried: two updates never write the same record, so that a late one
	// is not taken for the one that was just sent.
	attempt uint64
	seen    record
	seenAt  instant
}

// instant is a time by both clocks: the monotonic one stops while a VM is suspended, the wall clock can be set.
type instant struct {
	mono time.Time
	wall time.Time
}

func now() instant {
	t := time.Now()
	return instant{mono: t, wall: t.Round(0)}
}

func (i instant) add(d time.Duration) instant {
	return instant{mono: i.mono.Add(d), wall: i.wall.Add(d)}
}

// isPast tells whether either clock is past the instant.
func (i instant) isPast() bool {
	n := now()
	return !n.mono.Before(i.mono) || !n.wall.Before(i.wall)
}

// elapsed returns the shorter of the times that have passed by the two clocks.
func (i instant) elapsed() time.Duration {
	n := now()
	return min(n.mono.Sub(i.mono), n.wall.Sub(i.wall))
}

// Run competes for the lease and renews it until ctx ends, then gives it up.
func (l *Lease) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.Duration / watchFraction)
	defer ticker.Stop()
	defer l.release()
	for {
		if l.IsHeld() || l.IsCandidate() {
			l.step(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// IsHeld tells whether this VM holds the lease now; a caller acts on it at once or asks again.
func (l *Lease) IsHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isHeld()
}

func (l *Lease) isHeld() bool {
	return l.held.Holder == l.Name && !l.validUntil.isPast()
}

// Current returns the lease as this VM last saw it.
func (l *Lease) Current() Held {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Holder == l.Name && !l.isHeld() {
		return Held{Term: l.held.Term}
	}
	return l.held
}

func (l *Lease) step(ctx context.Context) {
	if l.IsHeld() {
		l.renew(ctx)
		return
	}
	obj, err := l.Platform.Get(ctx, l.Key)
	if errors.Is(err, radish.ErrNotFound) {
		l.take(ctx, 0, record{})
		return
	}
	if err != nil {
		return
	}
	var current record
	if err := json.Unmarshal(obj.Value, &current); err != nil {
		l.Log.Error("lease object is not readable", "key", l.Key, "error", err.Error())
		return
	}
	l.observe(current)
	if l.mayTakeOver(current) {
		l.take(ctx, obj.Version, current)
	}
}

// observe notes when the record was first seen as it is; a stale read that goes back is not a change.
func (l *Lease) observe(current record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.Term < l.seen.Term || (current.Term == l.seen.Term && current.Renewal <= l.seen.Renewal && current.Holder == l.seen.Holder) {
		return
	}
	l.seen = current
	l.seenAt = now()
	l.held = Held{Holder: current.Holder, Term: current.Term}
}

// mayTakeOver (spec: TakeOver) requires that the lease was given up or stood unchanged for its whole duration.
func (l *Lease) mayTakeOver(current record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current != l.seen {
		return false
	}
	return current.Holder == "" || l.seenAt.elapsed() > l.Duration
}

func (l *Lease) take(ctx context.Context, ifVersion uint64, old record) {
	started := now()
	next := record{Holder: l.Name, Term: old.Term + 1, Renewal: l.nextAttempt(old.Renewal)}
	if !l.write(ctx, next, ifVersion) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = Held{Holder: l.Name, Term: next.Term, Since: time.Now()}
	l.validUntil = started.add(l.Duration)
	l.Log.Info("lease taken", "key", l.Key, "term", next.Term)
}

func (l *Lease) nextAttempt(above uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempt = max(l.attempt, above) + 1
	return l.attempt
}

func (l *Lease) renew(ctx context.Context) {
	renewal := l.nextAttempt(0)
	l.mu.Lock()
	next := record{Holder: l.Name, Term: l.held.Term, Renewal: renewal}
	version := l.version
	l.mu.Unlock()
	started := now()
	if !l.write(ctx, next, version) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = started.add(l.Duration)
}

// write updates the object and tells whether this very record stands in it; a lost answer is looked up.
func (l *Lease) write(ctx context.Context, next record, ifVersion uint64) bool {
	value, _ := json.Marshal(next)
	callCtx, cancel := context.WithTimeout(ctx, l.Duration/renewFraction)
	defer cancel()
	version, err := l.Platform.Put(callCtx, l.Key, value, ifVersion)
	if err != nil && !errors.Is(err, radish.ErrUnavailable) {
		version, err = l.confirm(ctx, next)
	}
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	l.last = next
	l.seen = next
	l.seenAt = now()
	return true
}

func (l *Lease) confirm(ctx context.Context, next record) (uint64, error) {
	obj, err := l.Platform.Get(ctx, l.Key)
	if err != nil {
		return 0, err
	}
	var current record
	if err := json.Unmarshal(obj.Value, &current); err != nil {
		return 0, err
	}
	if current != next {
		l.noteOther(obj.Version, current)
		return 0, radish.ErrLeaseLost
	}
	return obj.Version, nil
}

// noteOther drops the lease at once when another VM stands in the object under a newer term, and adopts the
// version of an own earlier update that came late, without counting it as a renewal.
func (l *Lease) noteOther(version uint64, current record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.Holder != l.Name {
		return
	}
	if current.Holder == l.Name && current.Term == l.held.Term {
		l.version = version
		return
	}
	if current.Term > l.held.Term {
		l.held = Held{Holder: current.Holder, Term: current.Term}
		l.Log.Warn("lease lost", "key", l.Key, "holder", current.Holder, "term", current.Term)
	}
}

// release gives the lease up, so that a successor need not wait for it to lapse.
func (l *Lease) release() {
	l.mu.Lock()
	held := l.isHeld()
	l.attempt++
	next := record{Term: l.last.Term, Renewal: l.attempt}
	version := l.version
	l.held = Held{Term: l.held.Term}
	l.mu.Unlock()
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	value, _ := json.Marshal(next)
	_, _ = l.Platform.Put(ctx, l.Key, value, version)
}
