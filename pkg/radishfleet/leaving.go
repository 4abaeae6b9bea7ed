package radishfleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// leavingTTL is how long an announcement is remembered. A target ends some seconds after it.
	leavingTTL = 10 * time.Minute
	// MaxLeavingTargets limits the announcements that are kept and taken from peers.
	MaxLeavingTargets = 1024
	// maxNameBytes limits the names of targets that are taken from peers.
	maxNameBytes = 128
)

// LeavingTarget is a target that announced in a response that it leaves. The announcement holds for this start of the target, whatever
// its record says.
type LeavingTarget struct {
	Name             string
	StartedUnixMilli int64
	// At is when this VM learned of the announcement, or the time before that which a peer reports.
	At time.Time
}

// hasAnnouncedLeaving reports whether the target, and not an earlier one of its name, announced that it leaves.
func (f *Fleet) hasAnnouncedLeaving(t radish.Target) bool {
	announced, ok := f.leaving[t.Name]
	return ok && t.StartedUnixMilli <= announced.StartedUnixMilli
}

// recordLeaving records an announcement and reports whether it is new.
func (f *Fleet) recordLeaving(announced LeavingTarget, now time.Time) bool {
	known, ok := f.leaving[announced.Name]
	if ok && known.StartedUnixMilli >= announced.StartedUnixMilli {
		return false
	}
	f.forgetLeaving(now)
	if !ok && len(f.leaving) >= MaxLeavingTargets {
		return false
	}
	if f.leaving == nil {
		f.leaving = make(map[string]LeavingTarget)
	}
	f.leaving[announced.Name] = announced
	return true
}

func (f *Fleet) forgetLeaving(now time.Time) {
	for name, announced := range f.leaving {
		if now.Sub(announced.At) > leavingTTL {
			delete(f.leaving, name)
		}
	}
}

// LeavingTargets returns the targets that announced that they leave, for peers.
func (f *Fleet) LeavingTargets(now time.Time) []LeavingTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgetLeaving(now)
	targets := make([]LeavingTarget, 0, len(f.leaving))
	for _, announced := range f.leaving {
		targets = append(targets, announced)
	}
	slices.SortFunc(targets, func(a, b LeavingTarget) int { return strings.Compare(a.Name, b.Name) })
	return targets
}

// LeavingDigest returns a hash of the targets that announced that they leave; 0 if there are none.
func (f *Fleet) LeavingDigest(now time.Time) uint64 {
	digest := uint64(0)
	for _, announced := range f.LeavingTargets(now) {
		digest += radish.RendezvousScore(announced.Name, strconv.FormatInt(announced.StartedUnixMilli, 10))
	}
	return digest
}

// MergeLeaving records the announcements that a peer reports and returns those that are new. A peer's report never makes a target
// usable again, and an invalid one is ignored.
func (f *Fleet) MergeLeaving(reports []LeavingTarget, now time.Time) []LeavingTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var recorded []LeavingTarget
	for _, r := range reports {
		isValid := r.Name != "" && len(r.Name) <= maxNameBytes && !r.At.After(now) && now.Sub(r.At) <= leavingTTL
		if isValid && f.recordLeaving(r, now) {
			recorded = append(recorded, r)
		}
	}
	return recorded
}
