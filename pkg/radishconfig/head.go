package radishconfig

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

// Sizes of the head object.
const (
	// recentDeltas is how many of the last changes the head carries in full.
	recentDeltas = 32
	// recentLines bounds the lines of all carried changes together.
	recentLines = 64
)

// Head names an accepted configuration and carries the last changes, so that a VM which is a few generations
// behind needs nothing but the head.
type Head struct {
	Generation uint64    `json:"generation"`
	ChangeID   string    `json:"change_id"`
	By         string    `json:"by"`
	At         time.Time `json:"at"`
	// Shards are the content digests of the shards, by bucket; an empty bucket has an empty digest.
	Shards []string `json:"shards"`
	Recent []Delta  `json:"recent"`
}

// Delta is one accepted change as lines taken out and put in.
type Delta struct {
	Generation uint64            `json:"generation"`
	ChangeID   string            `json:"change_id"`
	By         string            `json:"by"`
	At         time.Time         `json:"at"`
	Removed    []radishrule.Line `json:"removed,omitempty"`
	Added      []radishrule.Line `json:"added,omitempty"`
}

// Snapshot is an accepted configuration with its lines in canonical order.
type Snapshot struct {
	Head  Head              `json:"head"`
	Lines []radishrule.Line `json:"lines"`
}

// ConflictError tells the loser of a race which change won.
type ConflictError struct {
	Winner Head
}

// Error names the winning change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was accepted first: change %s by %s at %s",
		e.Winner.Generation, e.Winner.ChangeID, e.Winner.By, e.Winner.At.Format(time.RFC3339))
}

// Unwrap returns radish.ErrConflict.
func (e *ConflictError) Unwrap() error { return radish.ErrConflict }

// deltasAfter returns the changes from the generation to the head's own, or false when the head lacks one.
func (h *Head) deltasAfter(generation uint64) ([]Delta, bool) {
	for i, d := range h.Recent {
		if d.Generation == generation+1 {
			return h.Recent[i:], true
		}
	}
	return nil, false
}

// accepted returns the recent change with the id.
func (h *Head) accepted(changeID string) (Delta, bool) {
	for _, d := range h.Recent {
		if d.ChangeID == changeID {
			return d, true
		}
	}
	return Delta{}, false
}

// trimRecent drops the oldest changes until the rest is within its bounds.
func trimRecent(recent []Delta) []Delta {
	lines := 0
	for i := len(recent) - 1; i >= 0; i-- {
		lines += len(recent[i].Added) + len(recent[i].Removed)
		if lines > recentLines || len(recent)-i > recentDeltas {
			return slices.Clone(recent[i+1:])
		}
	}
	return recent
}

// lineID is what tells one line from another.
type lineID struct {
	text    string
	comment string
}

func idOf(l radishrule.Line) lineID { return lineID{text: l.Text, comment: l.Comment} }

// diff returns the lines to take out of and to put into before to get after.
func diff(before, after []radishrule.Line) (removed, added []radishrule.Line) {
	old := make(map[lineID]bool, len(before))
	for _, l := range before {
		old[idOf(l)] = true
	}
	kept := make(map[lineID]bool, len(after))
	for _, l := range after {
		kept[idOf(l)] = true
		if !old[idOf(l)] {
			added = append(added, l)
		}
	}
	for _, l := range before {
		if !kept[idOf(l)] {
			removed = append(removed, l)
		}
	}
	return removed, added
}

// applyDelta returns the lines after the change, in canonical order.
func applyDelta(lines []radishrule.Line, d Delta) []radishrule.Line {
	gone := make(map[lineID]bool, len(d.Removed))
	for _, l := range d.Removed {
		gone[idOf(l)] = true
	}
	next := make([]radishrule.Line, 0, len(lines)+len(d.Added))
	if len(gone) == 0 {
		next = append(next, lines...)
	} else {
		for _, l := range lines {
			if !gone[idOf(l)] {
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

// compareLines gives the canonical order: by text, then by comment.
func compareLines(a, b radishrule.Line) int {
	if c := strings.Compare(a.Text, b.Text); c != 0 {
		return c
	}
	return strings.Compare(a.Comment, b.Comment)
}
