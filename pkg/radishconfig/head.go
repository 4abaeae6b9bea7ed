package radishconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// Limits on the changes that the head object carries, to keep it small.
const (
	// maxRecentDeltas is the maximum number of recent changes.
	maxRecentDeltas = 32
	// maxRecentLines is the maximum number of lines in all recent changes together.
	maxRecentLines = 64
)

// Head describes an accepted configuration. It carries the most recent changes, so that a VM that is only a few
// generations behind can update from the head alone.
type Head struct {
	Generation uint64    `json:"generation"`
	ChangeID   string    `json:"change_id"`
	By         string    `json:"by"`
	At         time.Time `json:"at"`
	// Shards are the content digests of the shards, by shard number; the digest of an empty shard is empty.
	Shards []string `json:"shards"`
	// Recent are the most recent changes, oldest first, as many as the limits allow.
	Recent []Delta `json:"recent"`
}

// Delta is one accepted change, given as the lines that it removed and added.
type Delta struct {
	Generation uint64            `json:"generation"`
	ChangeID   string            `json:"change_id"`
	By         string            `json:"by"`
	At         time.Time         `json:"at"`
	Removed    []radishrule.Line `json:"removed,omitempty"`
	Added      []radishrule.Line `json:"added,omitempty"`
}

// Snapshot is an accepted configuration with its lines sorted by text, then comment.
type Snapshot struct {
	Head  Head              `json:"head"`
	Lines []radishrule.Line `json:"lines"`
}

// ConflictError reports that another change was accepted first. Winner is the newest head.
type ConflictError struct {
	Winner Head
}

// Error describes the change of the newest head.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was accepted first: change %s by %s at %s",
		e.Winner.Generation, e.Winner.ChangeID, e.Winner.By, e.Winner.At.Format(time.RFC3339))
}

// Unwrap returns radish.ErrConflict.
func (e *ConflictError) Unwrap() error { return radish.ErrConflict }

// deltasAfter returns the changes that lead from the generation to the head's own. It returns false if the head no
// longer carries all of them.
func (h *Head) deltasAfter(generation uint64) ([]Delta, bool) {
	for i, d := range h.Recent {
		if d.Generation == generation+1 {
			return h.Recent[i:], true
		}
	}
	return nil, false
}

// findDelta returns the recent change with the id.
func (h *Head) findDelta(changeID string) (Delta, bool) {
	for _, d := range h.Recent {
		if d.ChangeID == changeID {
			return d, true
		}
	}
	return Delta{}, false
}

// trimRecent drops the oldest changes until the rest is within the limits of a head.
func trimRecent(recent []Delta) []Delta {
	lines := 0
	for i := len(recent) - 1; i >= 0; i-- {
		lines += len(recent[i].Added) + len(recent[i].Removed)
		if lines > maxRecentLines || len(recent)-i > maxRecentDeltas {
			return slices.Clone(recent[i+1:])
		}
	}
	return recent
}

// lineKey identifies a line regardless of its number and time.
type lineKey struct {
	text    string
	comment string
}

func keyOf(l radishrule.Line) lineKey { return lineKey{text: l.Text, comment: l.Comment} }

// diffLines returns the lines to remove from before and to add to it to get after.
func diffLines(before, after []radishrule.Line) (removed, added []radishrule.Line) {
	inBefore := make(map[lineKey]bool, len(before))
	for _, l := range before {
		inBefore[keyOf(l)] = true
	}
	inAfter := make(map[lineKey]bool, len(after))
	for _, l := range after {
		inAfter[keyOf(l)] = true
		if !inBefore[keyOf(l)] {
			added = append(added, l)
		}
	}
	for _, l := range before {
		if !inAfter[keyOf(l)] {
			removed = append(removed, l)
		}
	}
	return removed, added
}

// applyDelta returns the lines after the change. It expects them sorted and keeps them so.
func applyDelta(lines []radishrule.Line, d Delta) []radishrule.Line {
	removed := make(map[lineKey]bool, len(d.Removed))
	for _, l := range d.Removed {
		removed[keyOf(l)] = true
	}
	next := make([]radishrule.Line, 0, len(lines)+len(d.Added))
	if len(removed) == 0 {
		next = append(next, lines...)
	} else {
		for _, l := range lines {
			if !removed[keyOf(l)] {
				next = append(next, l)
			}
		}
	}
	for _, l := range d.Added {
		at, _ := slices.BinarySearchFunc(next, l, compareLines)
		next = slices.Insert(next, at, l)
	}
	return next
}

// compareLines orders lines by text, then by comment.
func compareLines(a, b radishrule.Line) int {
	if c := strings.Compare(a.Text, b.Text); c != 0 {
		return c
	}
	return strings.Compare(a.Comment, b.Comment)
}
