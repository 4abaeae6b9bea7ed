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

// The lease's duration is divided by these to get the timeout of an update and the interval of renewals and reads.
const (
	updateTimeoutDivisor = 4
	intervalDivisor      = 4
)

// releaseTimeout is the timeout of the update that releases the lease.
const releaseTimeout = time.Second

// record is the value of the lease object; Holder is empty after a release.
type record struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// Renewal is higher in each update of a term, so that each update changes the value.
	Renewal uint64 `json:"renewal"`
}

// State is the state of the lease as known to this VM.
type State struct {
	Holder string
	Term   uint64
	// AcquiredAt is the time at which this VM acquired the lease; zero if another VM holds it.
	AcquiredAt time.Time
}

// StateReader provides the state of a lease.
type StateReader interface {
	// IsHeld reports whether this VM holds the lease now.
	IsHeld() bool
	// Current returns the state of the lease as last observed.
	Current() State
}

// Lease competes for the lease of one object; set the exported fields before Run.
type Lease struct {
	Platform radish.Platform
	Key      string
	// Name is the name of this VM.
	Name     string
	Duration time.Duration
	// IsCandidate reports whether this VM should acquire the lease when it is free.
	IsCandidate func() bool
	Log         hclog.Logger

	mu         sync.Mutex
	state      State
	validUntil clockTime
	// version is the version of the lease object after this VM's last update.
	version     uint64
	lastWritten record
	// lastRenewal is the highest renewal number that this VM has used. Failed updates count too: no two updates write
	// the same record, so a delayed update is not mistaken for the one that was sent last.
	lastRenewal uint64
	observed    record
	observedAt  clockTime
}

// clockTime is a time on both clocks: the monotonic clock stops while a VM is suspended, and the wall clock can be
// changed.
type clockTime struct {
	mono time.Time
	wall time.Time
}

func now() clockTime {
	t := time.Now()
	return clockTime{mono: t, wall: t.Round(0)}
}

func (c clockTime) add(d time.Duration) clockTime {
	return clockTime{mono: c.mono.Add(d), wall: c.wall.Add(d)}
}

// isReached reports whether at least one of the clocks has reached the time.
func (c clockTime) isReached() bool {
	n := now()
	return !n.mono.Before(c.mono) || !n.wall.Before(c.wall)
}

// elapsed returns the shorter of the times since c on the two clocks.
func (c clockTime) elapsed() time.Duration {
	n := now()
	return min(n.mono.Sub(c.mono), n.wall.Sub(c.wall))
}

// Run competes for the lease and renews it until ctx is done, then releases it.
func (l *Lease) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.Duration / intervalDivisor)
	defer ticker.Stop()
	defer l.release()
	for {
		if l.IsHeld() || l.IsCandidate() {
			l.renewOrAcquire(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// IsHeld reports whether this VM holds the lease now. The lease may expire at any time, so the caller must act
// immediately or check again.
func (l *Lease) IsHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isHeld()
}

func (l *Lease) isHeld() bool {
	return l.state.Holder == l.Name && !l.validUntil.isReached()
}

// Current returns the state of the lease as last observed, without a holder if this VM's own lease has expired.
func (l *Lease) Current() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Holder == l.Name && !l.isHeld() {
		return State{Term: l.state.Term}
	}
	return l.state
}

func (l *Lease) renewOrAcquire(ctx context.Context) {
	if l.IsHeld() {
		l.renew(ctx)
		return
	}
	obj, err := l.read(ctx)
	if errors.Is(err, radish.ErrNotFound) {
		l.acquire(ctx, 0, record{})
		return
	}
	if err != nil {
		return
	}
	var current record
	if err := json.Unmarshal(obj.Value, &current); err != nil {
		l.Log.Error("lease object cannot be decoded", "key", l.Key, "error", err.Error())
		return
	}
	l.observe(current)
	if l.canTakeOver(current) {
		l.acquire(ctx, obj.Version, current)
	}
}

// read returns the object. A platform that accepts the request and does not respond must not stop the renewals.
func (l *Lease) read(ctx context.Context) (radish.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, l.Duration/updateTimeoutDivisor)
	defer cancel()
	return l.Platform.Get(ctx, l.Key)
}

// observe stores the record and the time at which it was first seen. A stale read that returns an older record is not
// a change.
func (l *Lease) observe(current record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current.Term < l.observed.Term ||
		(current.Term == l.observed.Term && current.Renewal <= l.observed.Renewal && current.Holder == l.observed.Holder) {
		return
	}
	l.observed = current
	l.observedAt = now()
	l.state = State{Holder: current.Holder, Term: current.Term}
}

// canTakeOver reports whether the lease was released or has been observed unchanged for longer than its duration.
// It corresponds to the TakeOver step in spec/steward.pml.
func (l *Lease) canTakeOver(current record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current != l.observed {
		return false
	}
	return current.Holder == "" || l.observedAt.elapsed() > l.Duration
}

func (l *Lease) acquire(ctx context.Context, ifVersion uint64, previous record) {
	sentAt := now()
	next := record{Holder: l.Name, Term: previous.Term + 1, Renewal: l.nextRenewal(previous.Renewal)}
	if !l.write(ctx, next, ifVersion) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = State{Holder: l.Name, Term: next.Term, AcquiredAt: time.Now()}
	l.validUntil = sentAt.add(l.Duration)
	l.Log.Info("lease taken", "key", l.Key, "term", next.Term)
}

// nextRenewal returns an unused renewal number above the given one.
func (l *Lease) nextRenewal(above uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRenewal = max(l.lastRenewal, above) + 1
	return l.lastRenewal
}

func (l *Lease) renew(ctx context.Context) {
	renewal := l.nextRenewal(0)
	l.mu.Lock()
	next := record{Holder: l.Name, Term: l.state.Term, Renewal: renewal}
	version := l.version
	l.mu.Unlock()
	sentAt := now()
	if !l.write(ctx, next, version) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = sentAt.add(l.Duration)
}

// write updates the object and reports whether it contains exactly this record. If the update failed but may have
// taken effect, for example because its response was lost, write reads the object to find out.
func (l *Lease) write(ctx context.Context, next record, ifVersion uint64) bool {
	value, _ := json.Marshal(next)
	putCtx, cancel := context.WithTimeout(ctx, l.Duration/updateTimeoutDivisor)
	defer cancel()
	version, err := l.Platform.Put(putCtx, l.Key, value, ifVersion)
	if err != nil && !errors.Is(err, radish.ErrUnavailable) {
		version, err = l.verifyWrite(ctx, next)
	}
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = version
	l.lastWritten = next
	l.observed = next
	l.observedAt = now()
	return true
}

// verifyWrite returns the version of the object if it contains the record, otherwise radish.ErrLeaseLost.
func (l *Lease) verifyWrite(ctx context.Context, next record) (uint64, error) {
	obj, err := l.read(ctx)
	if err != nil {
		return 0, err
	}
	var current record
	if err := json.Unmarshal(obj.Value, &current); err != nil {
		return 0, err
	}
	if current != next {
		l.handleConflict(obj.Version, current)
		return 0, radish.ErrLeaseLost
	}
	return obj.Version, nil
}

// handleConflict marks the lease as lost immediately if the object has a newer term. If the object contains an earlier
// update of this VM that took effect late, handleConflict adopts its version but does not count it as a renewal.
func (l *Lease) handleConflict(version uint64, current record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.Holder != l.Name {
		return
	}
	if current.Holder == l.Name && current.Term == l.state.Term {
		l.version = version
		return
	}
	if current.Term > l.state.Term {
		l.state = State{Holder: current.Holder, Term: current.Term}
		l.Log.Warn("lease lost", "key", l.Key, "holder", current.Holder, "term", current.Term)
	}
}

// release releases the lease in the object, so that a successor need not wait until it expires.
func (l *Lease) release() {
	l.mu.Lock()
	wasHeld := l.isHeld()
	l.lastRenewal++
	next := record{Term: l.lastWritten.Term, Renewal: l.lastRenewal}
	version := l.version
	l.state = State{Term: l.state.Term}
	l.mu.Unlock()
	if !wasHeld {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	value, _ := json.Marshal(next)
	_, _ = l.Platform.Put(ctx, l.Key, value, version)
}
