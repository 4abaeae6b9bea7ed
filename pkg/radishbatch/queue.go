package radishbatch

import (
	"cmp"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// nearBonus is how much earlier than others a piece counts as due at a target in the data centre where it is needed.
	nearBonus = 250 * time.Millisecond
	// LargeResult is from how many bytes on results are made where they are needed.
	LargeResult = 100_000
	// moveSlack is the time to spare below which a large result is made in another data centre after all.
	moveSlack = 300 * time.Millisecond
	// placeWait is how long a late piece waits for a target of its data centre.
	placeWait = time.Second
	// expirySlack is the time before its inputs end by which a late piece goes first.
	expirySlack = time.Second
)

// Item is one piece that waits.
type Item struct {
	Piece radish.Piece
	// Due is when the result must be there for the call to be in time, Deadline when it is of no more use.
	Due      time.Time
	Deadline time.Time
	// Expires is when the first of the piece's inputs ends; zero when it has none.
	Expires time.Time
	// Bytes is about the size of the result.
	Bytes int64
	// Near is the data centre in which the result is needed or the inputs lie; "" when it does not matter.
	Near string
	// IsHeavy tells whether so many bytes go in or out that the piece should be made in that data centre.
	IsHeavy bool
	// Worth is what the call is worth against others.
	Worth float64
	// Since is when the piece began to wait for the first time.
	Since time.Time
	// Tries counts the calls that the piece was part of. Avoid names the target of the last one, which others go before
	// until AvoidUntil.
	Tries      int
	Avoid      string
	AvoidUntil time.Time
}

// Queue holds the pieces that wait for one stage service; the zero value is ready, and its user guards it.
type Queue struct {
	items []*Item
}

// Add appends pieces.
func (q *Queue) Add(items ...*Item) { q.items = append(q.items, items...) }

// Len returns how many pieces wait.
func (q *Queue) Len() int { return len(q.items) }

// AddTo counts the pieces that wait.
func (q *Queue) AddTo(d *Demand, now time.Time) {
	for _, i := range q.items {
		d.Add(1, i.Due.Sub(now))
	}
}

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
	// Places are the data centres that have usable targets.
	Places map[string]bool
}

// Take removes and returns the pieces of the next call.
func (q *Queue) Take(c Call, now time.Time) []*Item {
	if len(q.items) == 0 {
		return nil
	}
	// With more targets idle than calls waiting, several short calls end sooner than one long one.
	share := (len(q.items) + max(1, c.IdleTargets) - 1) / max(1, c.IdleTargets)
	limit := min(c.MaxPieces, share)
	end := now.Add(c.CallTime + time.Duration(limit)*c.PieceTime)
	ordered := slices.Clone(q.items)
	slices.SortStableFunc(ordered, func(a, b *Item) int { return c.compare(a, b, now, end) })
	chosen := make(map[*Item]bool, limit)
	var taken []*Item
	calls := make(map[string]bool)
	room := c.RoomBytes
	for _, i := range ordered {
		if len(taken) == c.MaxPieces {
			break
		}
		// The pieces of a call stay together: what needs them waits for the last one.
		if len(taken) >= limit && !calls[i.Piece.CallID] {
			continue
		}
		if c.isAvoided(i, now) || i.Bytes > room || c.belongsElsewhere(i, now, end) {
			continue
		}
		room -= i.Bytes
		taken = append(taken, i)
		chosen[i] = true
		calls[i.Piece.CallID] = true
	}
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool { return chosen[i] })
	return taken
}

// Ranks of pieces: those that can be in time, those of late calls that have results already, other late ones.
const (
	rankInTime = iota
	rankStarted
	rankLate
)

func rank(i *Item, now, end time.Time) int {
	switch {
	case !i.Due.Before(end):
		return rankInTime
	case i.Expires.IsZero():
		return rankLate
	case now.Add(expirySlack).After(i.Expires):
		// What the call has cost so far would be lost.
		return rankInTime
	default:
		return rankStarted
	}
}

func (c *Call) compare(a, b *Item, now, end time.Time) int {
	ra, rb := rank(a, now, end), rank(b, now, end)
	if ra != rb {
		return cmp.Compare(ra, rb)
	}
	switch ra {
	case rankInTime:
		return cmp.Or(c.effectiveDue(a).Compare(c.effectiveDue(b)), cmp.Compare(a.Piece.CallID, b.Piece.CallID))
	case rankStarted:
		return a.Expires.Compare(b.Expires)
	default:
		return cmp.Or(cmp.Compare(b.Worth, a.Worth), a.Due.Compare(b.Due), cmp.Compare(a.Piece.CallID, b.Piece.CallID))
	}
}

func (c *Call) effectiveDue(i *Item) time.Time {
	if i.Near == c.DataCentre {
		return i.Due.Add(-nearBonus)
	}
	return i.Due
}

func (c *Call) isAvoided(i *Item, now time.Time) bool {
	return i.Avoid == c.Target && c.UsableTargets > 1 && now.Before(i.AvoidUntil)
}

// belongsElsewhere tells whether a heavy piece should be made by a target of the data centre that it belongs to. A late
// one waits for that as well, but not for long.
func (c *Call) belongsElsewhere(i *Item, now, end time.Time) bool {
	if !i.IsHeavy || i.Near == "" || i.Near == c.DataCentre || !c.Places[i.Near] {
		return false
	}
	spare := i.Due.Sub(end)
	if spare < 0 {
		return now.Sub(i.Since) < placeWait
	}
	return spare > moveSlack
}
