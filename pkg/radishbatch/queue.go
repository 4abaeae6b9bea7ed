package radishbatch

import (
	"cmp"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// nearBonus is how much earlier than others a piece counts as due at a target in the data centre where it is needed.
const nearBonus = 250 * time.Millisecond

// Item is one piece that waits.
type Item struct {
	Piece radish.Piece
	// Due is when the result must be there for the call to be in time, Deadline when it is of no more use.
	Due      time.Time
	Deadline time.Time
	// Bytes is about the size of the result.
	Bytes int64
	// Near is the data centre in which the result is needed; "" when it does not matter.
	Near string
	// Tries counts the calls that the piece was part of, Avoid names the target of the last one.
	Tries int
	Avoid string
}

// Queue holds the pieces that wait for one stage service; the zero value is ready, and its user guards it.
type Queue struct {
	items []*Item
}

// Add appends pieces.
func (q *Queue) Add(items ...*Item) { q.items = append(q.items, items...) }

// Len returns how many pieces wait.
func (q *Queue) Len() int { return len(q.items) }

// Remove drops the pieces for which gone is true and returns them.
func (q *Queue) Remove(gone func(*Item) bool) []*Item {
	var removed []*Item
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool {
		if gone(i) {
			removed = append(removed, i)
			return true
		}
		return false
	})
	return removed
}

// Expire drops the pieces whose results would come after their deadline and returns them.
func (q *Queue) Expire(now time.Time, least time.Duration) []*Item {
	return q.Remove(func(i *Item) bool { return now.Add(least).After(i.Deadline) })
}

// Call is what a call to a target may hold.
type Call struct {
	Target     string
	DataCentre string
	// MaxPieces bounds the pieces, RoomBytes the size of their results.
	MaxPieces int
	RoomBytes int64
	// CallTime is the time of a call before its pieces, PieceTime that of one piece.
	CallTime  time.Duration
	PieceTime time.Duration
	// IdleTargets is how many targets, this one included, wait for work, UsableTargets how many there are.
	IdleTargets   int
	UsableTargets int
}

// Take removes and returns the pieces of the next call.
func (q *Queue) Take(c Call, now time.Time) []*Item {
	if len(q.items) == 0 {
		return nil
	}
	// With more targets idle than calls waiting, several short calls end sooner than one long one.
	share := (len(q.items) + max(1, c.IdleTargets) - 1) / max(1, c.IdleTargets)
	limit := min(c.MaxPieces, share)
	inTime := now.Add(c.CallTime + time.Duration(limit)*c.PieceTime)
	ordered := slices.Clone(q.items)
	slices.SortStableFunc(ordered, func(a, b *Item) int {
		if lateA, lateB := a.Due.Before(inTime), b.Due.Before(inTime); lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return cmp.Compare(c.rank(a), c.rank(b))
	})
	var taken []*Item
	room := c.RoomBytes
	for _, i := range ordered {
		if len(taken) == limit {
			break
		}
		if i.Avoid == c.Target && c.UsableTargets > 1 || i.Bytes > room {
			continue
		}
		room -= i.Bytes
		taken = append(taken, i)
	}
	chosen := make(map[*Item]bool, len(taken))
	for _, i := range taken {
		chosen[i] = true
	}
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool { return chosen[i] })
	return taken
}

func (c *Call) rank(i *Item) int64 {
	due := i.Due
	if i.Near == c.DataCentre {
		due = due.Add(-nearBonus)
	}
	return due.UnixNano()
}
