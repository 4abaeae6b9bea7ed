package radishquarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of separate crashes after which the part that they have in common is quarantined.
	minCrashes = 3
	// minCrashesOfKnownPart is the same for a part with which calls were answered shortly before: it is in flight at most targets,
	// and so it is cut by crashes that have another cause.
	minCrashesOfKnownPart = 8
	// firstTrialDelay is the time from the last crash until one call with a quarantined part is tried again; it doubles with each
	// further crash, up to maxTrialDoublings times.
	firstTrialDelay   = 15 * time.Second
	maxTrialDoublings = 4
)

// Group is a set of parts that were in the same crashes. A call is refused if its prompt contains all of them.
type Group struct {
	Parts []string
	// Crashes is the number of separate crashes.
	Crashes int
	// LastCrash is when the last target ended.
	LastCrash time.Time
}

func (g *Group) key() string { return strings.Join(g.Parts, ",") }

// trialDelay returns the time from the last crash until a call with the group's parts is tried.
func (g *Group) trialDelay() time.Duration {
	return firstTrialDelay << min(maxTrialDoublings, max(0, g.Crashes-minCrashes))
}

// suspect is a part of prompts with the crashes that it may have caused, as indexes into the crashes sorted by time.
type suspect struct {
	id      string
	crashes []int
	// separate is the number of crashes without those that were simultaneous with another one.
	separate int
	isKnown  bool
}

func (s *suspect) isGuilty() bool {
	if s.isKnown {
		return s.separate >= minCrashesOfKnownPart
	}
	return s.separate >= minCrashes
}

// findGroups returns the parts to quarantine. A crash that contains the parts of a group is explained by it and is no evidence
// against other parts, which are mostly those of calls that were in flight at the same targets.
func findGroups(crashes []*crashRecord) []Group {
	sortByTime(crashes)
	periods := simultaneousPeriods(crashes)
	explained := make([]bool, len(crashes))
	var groups []Group
	for {
		suspects := collectSuspects(crashes, periods, explained)
		worst := worstSuspect(suspects)
		if worst == nil {
			return groups
		}
		g := Group{Crashes: worst.separate, LastCrash: crashes[worst.crashes[len(worst.crashes)-1]].at}
		for _, s := range suspects {
			if s.isGuilty() && slices.Equal(s.crashes, worst.crashes) {
				g.Parts = append(g.Parts, s.id)
			}
		}
		slices.Sort(g.Parts)
		groups = append(groups, g)
		for _, i := range worst.crashes {
			explained[i] = true
		}
	}
}

func sortByTime(crashes []*crashRecord) {
	slices.SortFunc(crashes, func(a, b *crashRecord) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.target, b.target))
	})
}

// simultaneousPeriods numbers the crashes, which are sorted by time, so that simultaneous ones have the same number.
func simultaneousPeriods(crashes []*crashRecord) []int {
	periods := make([]int, len(crashes))
	var startedAt time.Time
	for i, c := range crashes {
		if i == 0 {
			startedAt = c.at
			continue
		}
		periods[i] = periods[i-1]
		if c.at.Sub(startedAt) > simultaneousWindow {
			periods[i]++
			startedAt = c.at
		}
	}
	return periods
}

// collectSuspects returns the parts that may have caused crashes which are not explained yet.
func collectSuspects(crashes []*crashRecord, periods []int, explained []bool) []*suspect {
	byID := make(map[string]*suspect)
	for i, c := range crashes {
		if explained[i] {
			continue
		}
		for id, p := range c.parts {
			if p.Cleared {
				continue
			}
			s := byID[id]
			if s == nil {
				s = &suspect{id: id}
				byID[id] = s
			}
			if len(s.crashes) == 0 || periods[s.crashes[len(s.crashes)-1]] != periods[i] {
				s.separate++
			}
			s.crashes = append(s.crashes, i)
			s.isKnown = s.isKnown || p.Known
		}
	}
	return slices.Collect(maps.Values(byID))
}

// worstSuspect returns the guilty part with the most crashes, or nil if there is none.
func worstSuspect(suspects []*suspect) *suspect {
	var worst *suspect
	for _, s := range suspects {
		if !s.isGuilty() {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(s.separate, worst.separate), cmp.Compare(len(s.crashes), len(worst.crashes)), strings.Compare(worst.id, s.id)) > 0 {
			worst = s
		}
	}
	return worst
}
