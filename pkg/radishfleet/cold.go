package radishfleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// coldTolerance is the difference below which two times until which a target is cold count as the same: a report takes some time from VM
// to VM, by which the time would grow each time.
const coldTolerance = 500 * time.Millisecond

// ColdTarget is a target that said in a response that it is cold.
type ColdTarget struct {
	Name             string
	StartedUnixMilli int64
	// Until is when the target is warm.
	Until time.Time
}

// recordCold records that the target is cold and reports whether this VM did not know it.
func (f *Fleet) recordCold(c ColdTarget, now time.Time) bool {
	s := f.targets[c.Name]
	if s == nil || s.target.StartedUnixMilli != c.StartedUnixMilli || !c.Until.After(now) {
		return false
	}
	if now.Before(s.saidColdUntil) && c.Until.Sub(s.saidColdUntil) < coldTolerance {
		return false
	}
	s.saidColdUntil = c.Until
	s.coldUntil = later(s.coldUntil, c.Until)
	return true
}

// ColdTargets returns the targets that said that they are cold, for peers.
func (f *Fleet) ColdTargets(now time.Time) []ColdTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var cold []ColdTarget
	for _, s := range f.targets {
		if now.Before(s.saidColdUntil) {
			cold = append(cold, ColdTarget{Name: s.target.Name, StartedUnixMilli: s.target.StartedUnixMilli, Until: s.saidColdUntil})
		}
	}
	slices.SortFunc(cold, func(a, b ColdTarget) int { return strings.Compare(a.Name, b.Name) })
	return cold
}

// ColdDigest returns a hash of the targets that said that they are cold; 0 if there are none.
func (f *Fleet) ColdDigest(now time.Time) uint64 {
	digest := uint64(0)
	for _, c := range f.ColdTargets(now) {
		digest += radish.RendezvousScore(c.Name, strconv.FormatInt(c.StartedUnixMilli, 10))
	}
	return digest
}

// MergeCold records the cold targets that a peer reports and returns those that are new. A peer's report never makes a target warm.
func (f *Fleet) MergeCold(reports []ColdTarget, now time.Time) []ColdTarget {
	f.mu.Lock()
	defer f.mu.Unlock()
	var recorded []ColdTarget
	for _, c := range reports {
		if f.recordCold(c, now) {
			recorded = append(recorded, c)
		}
	}
	return recorded
}

// WarmTargets returns the targets of the service that are in service and not known to be cold.
func (f *Fleet) WarmTargets(service string, now time.Time) []radish.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var warm []radish.Target
	for _, s := range f.byService[service] {
		if f.isInService(s) && !now.Before(s.coldUntil) {
			warm = append(warm, s.target)
		}
	}
	return warm
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
