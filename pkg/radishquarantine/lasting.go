package radishquarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// minLastingCrashes is the number of separate crashes that must have a part in common for them to be kept beyond the VMs' lives.
	minLastingCrashes = 2
	// maxLastingParts limits the different parts that are kept.
	maxLastingParts = 32
)

// Lasting returns the evidence to keep beyond the VMs' lives: the separate crashes that have a part in common which no answer has cleared, with
// these parts only. The crashes are in the order of their targets.
func (q *Quarantine) Lasting(now time.Time) []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.review(now)
	kept := q.lastingParts()
	var lasting []Crash
	for _, c := range q.crashes {
		// A crash without the target's start could not be told from a later one of the same target.
		if c.startedUnixMilli == 0 {
			continue
		}
		if crash := c.export(func(p *Part) bool { return !p.Cleared && kept[p.ID] }); len(crash.Parts) > 0 {
			lasting = append(lasting, crash)
		}
	}
	slices.SortFunc(lasting, compareIdentity)
	return lasting
}

// lastingParts returns the parts that enough crashes have in common, the most suspect ones if there are too many.
func (q *Quarantine) lastingParts() map[string]bool {
	sortByTime(q.crashes)
	suspects := collectSuspects(q.crashes, simultaneousPeriods(q.crashes), make([]bool, len(q.crashes)))
	suspects = slices.DeleteFunc(suspects, func(s *suspect) bool { return s.separate < minLastingCrashes })
	slices.SortFunc(suspects, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.separate, a.separate), strings.Compare(a.id, b.id))
	})
	kept := make(map[string]bool)
	for _, s := range suspects[:min(len(suspects), maxLastingParts)] {
		kept[s.id] = true
	}
	return kept
}

func compareIdentity(a, b Crash) int {
	return cmp.Or(strings.Compare(a.Target, b.Target), cmp.Compare(a.StartedUnixMilli, b.StartedUnixMilli))
}

// IsSameEvidence reports whether two results of Lasting are equal apart from the times, which differ between VMs.
func IsSameEvidence(a, b []Crash) bool {
	return slices.EqualFunc(a, b, func(a, b Crash) bool {
		return compareIdentity(a, b) == 0 && a.Service == b.Service && slices.Equal(a.Parts, b.Parts)
	})
}
