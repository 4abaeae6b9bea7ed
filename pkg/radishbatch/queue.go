package radishbatch

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// localityBonus is subtracted from the due time of a piece when a target in its preferred data centre orders the queue.
	localityBonus = 250 * time.Millisecond
	// LargeResultBytes is the number of bytes from which on data should be produced in the data centre that reads it.
	LargeResultBytes = 100_000
	// relocationSlack is the slack before its due time below which a data-heavy piece may run in any data centre.
	relocationSlack = 300 * time.Millisecond
	// lateLocalWait is how long a late data-heavy piece waits for a target in its preferred data centre.
	lateLocalWait = time.Second
	// inputExpiryMargin is the time before its inputs expire from which on a late piece is ordered like one in time.
	inputExpiryMargin = time.Second
)

// Item is a queued piece.
type Item struct {
	Piece radish.Piece
	// Due is the time by which the result must exist for the call to be in time.
	Due time.Time
	// Deadline is the time from which on the result is useless.
	Deadline time.Time
	// InputsExpireAt is the time at which the first of the piece's inputs expires; zero if the piece has no inputs.
	InputsExpireAt time.Time
	// ResultBytes is the approximate size of the result.
	ResultBytes int64
	// PreferredDataCentre is the data centre that holds the inputs or reads the result; empty if there is no preference.
	PreferredDataCentre string
	// IsDataHeavy is whether the inputs or the result are so large that the piece should run in the preferred data centre.
	IsDataHeavy bool
	// Worth is the value of the call relative to others. Late pieces of calls without results run highest value first.
	Worth float64
	// Class orders pieces where there is too little capacity for all: those of lower classes run first.
	Class int
	// HasBegun is whether results of other pieces of the call are lost if this one is not made in time for its deadline.
	HasBegun bool
	// QueuedAt is the time at which the piece was first queued.
	QueuedAt time.Time
	// Attempts is the number of batches that attempted the piece.
	Attempts int
	// AvoidTarget is the name of the target of the last attempt. If others are usable, it does not get the piece before AvoidUntil.
	AvoidTarget string
	// AvoidUntil is the end of the time in which the piece waits for another target.
	AvoidUntil time.Time

	// isQueued is whether a queue holds the piece; isTaken is whether the batch being built does.
	isQueued, isTaken bool
}

// Queue holds the queued pieces of one stage service. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	// items is sorted by due time and then by call, so that a batch is taken without sorting the queue: a burst queues
	// thousands of pieces, and hundreds of batches a second start.
	items  []*Item
	counts ClassCounts
}

// Add queues pieces. The due time of a piece must not change while it is queued.
func (q *Queue) Add(items ...*Item) {
	for _, item := range items {
		item.isQueued = true
		// Pieces with equal keys stay in the order in which they were added.
		at, _ := slices.BinarySearchFunc(q.items, item, func(queued, added *Item) int {
			return cmp.Or(compareDue(queued, added), -1)
		})
		q.items = slices.Insert(q.items, at, item)
		q.counts.Add(1, item.ResultBytes, item.Due, item.Class)
	}
}

// compareDue orders pieces by due time and keeps the pieces of a call together.
func compareDue(a, b *Item) int {
	return cmp.Or(a.Due.Compare(b.Due), cmp.Compare(a.Piece.CallID, b.Piece.CallID))
}

// Len returns the number of queued pieces.
func (q *Queue) Len() int { return len(q.items) }

// AddToDemand adds the queued pieces to the demand.
func (q *Queue) AddToDemand(d *Demand, now time.Time) { q.counts.AddTo(d, FirstClass, LastClass, now) }

// AddClassesToDemand adds the queued pieces of the classes from the first to the last given one to the demand.
func (q *Queue) AddClassesToDemand(d *Demand, first, last int, now time.Time) {
	q.counts.AddTo(d, first, last, now)
}

// ResultBytes returns the total size of the results of the queued pieces of the classes from the first to the last given one.
func (q *Queue) ResultBytes(first, last int) int64 { return q.counts.ResultBytes(first, last) }

// HasSeveralClasses reports whether the order of the queue depends on classes if there is too little capacity.
func (q *Queue) HasSeveralClasses() bool { return q.counts.HasSeveral() }

// SetClass changes the class of a piece, queued or not.
func (q *Queue) SetClass(item *Item, class int) {
	if item.isQueued {
		q.counts.Add(-1, item.ResultBytes, item.Due, item.Class)
		q.counts.Add(1, item.ResultBytes, item.Due, class)
	}
	item.Class = class
}

// Remove removes and returns the pieces that match.
func (q *Queue) Remove(match func(*Item) bool) []*Item {
	var removed []*Item
	q.items = slices.DeleteFunc(q.items, func(i *Item) bool {
		if match(i) {
			removed = append(removed, i)
			return true
		}
		return false
	})
	for _, i := range removed {
		i.isQueued = false
		q.counts.Add(-1, i.ResultBytes, i.Due, i.Class)
	}
	return removed
}

// RemoveItem removes the piece if it is queued.
func (q *Queue) RemoveItem(item *Item) {
	if item.isQueued {
		q.Remove(func(other *Item) bool { return other == item })
	}
}

// Expire removes and returns the pieces that would miss their deadline even if they took only minTime from now.
func (q *Queue) Expire(now time.Time, minTime time.Duration) []*Item {
	return q.Remove(func(i *Item) bool { return now.Add(minTime).After(i.Deadline) })
}

// BatchSpec describes the target that takes the next batch, and the limits of the batch.
type BatchSpec struct {
	// Target is the name of the target.
	Target string
	// DataCentre is the data centre of the target.
	DataCentre string
	// MaxPieces is the maximum number of pieces in the batch.
	MaxPieces int
	// MaxResultBytes is the maximum total size of the results.
	MaxResultBytes int64
	// Overhead is the fixed part of the duration of a batch.
	Overhead time.Duration
	// PieceTime is the time that each piece adds to the duration of a batch.
	PieceTime time.Duration
	// IdleTargets is the number of targets, including this one, that can start a batch now.
	IdleTargets int
	// IdleShare is the part of the idle targets' speed that this one has, if their speeds differ; 0 means that they do not.
	IdleShare float64
	// Reserved is the number of pieces, the first ones in order, that are left to faster targets.
	Reserved int
	// UsableTargets is the number of usable targets of the service, idle or not.
	UsableTargets int
	// UsableDataCentres is the set of data centres that have usable targets.
	UsableDataCentres map[string]bool
	// ReservedDataCentres is the set of data centres whose idle targets the data-heavy pieces that prefer them are left to, also
	// if these pieces are due soon.
	ReservedDataCentres map[string]bool
	// OrdersByClass is whether pieces that can be in time run in the order of their classes before that of their due times.
	OrdersByClass bool
}

// TakeBatch removes and returns the pieces of the next batch.
func (q *Queue) TakeBatch(spec BatchSpec, now time.Time) []*Item {
	if len(q.items) == 0 {
		return nil
	}
	// With more idle targets than full batches in the queue, several short batches finish sooner than one long batch.
	limit := min(spec.MaxPieces, spec.shareOf(len(q.items)))
	end := now.Add(spec.Overhead + time.Duration(limit)*spec.PieceTime)
	var taken []*Item
	callIDs := make(map[string]bool)
	freeBytes, reserved := spec.MaxResultBytes, spec.Reserved
	for i := range q.inOrder(&spec, now, end) {
		if len(taken) == spec.MaxPieces {
			break
		}
		// Beyond the share, only pieces of calls that are already in the batch are added: a dependent stage waits for the
		// last piece of its call.
		if len(taken) >= limit && !callIDs[i.Piece.CallID] {
			continue
		}
		if spec.isAvoided(i, now) || i.ResultBytes > freeBytes || spec.isReservedElsewhere(i, now, end) {
			continue
		}
		if reserved > 0 {
			reserved--
			continue
		}
		freeBytes -= i.ResultBytes
		taken = append(taken, i)
		i.isTaken = true
		callIDs[i.Piece.CallID] = true
	}
	if len(taken) > 0 {
		q.Remove(func(i *Item) bool { return i.isTaken })
	}
	for _, i := range taken {
		i.isTaken = false
	}
	return taken
}

// shareOf returns the part of the queued pieces that the target gets if all idle targets are to end at the same time.
func (s *BatchSpec) shareOf(pieces int) int {
	if s.IdleShare > 0 {
		return max(1, int(math.Ceil(float64(pieces)*s.IdleShare)))
	}
	idle := max(1, s.IdleTargets)
	return (pieces + idle - 1) / idle
}

// inOrder returns the queued pieces in the order in which a batch that ends at the given time prefers them. Late pieces are
// sorted only if the caller asks for more than all pieces that are in time.
func (q *Queue) inOrder(spec *BatchSpec, now, end time.Time) iter.Seq[*Item] {
	return func(yield func(*Item) bool) {
		firstInTime, _ := slices.BinarySearchFunc(q.items, end, func(i *Item, end time.Time) int { return i.Due.Compare(end) })
		var inTime, lateStarted, lateNotStarted []*Item
		for _, i := range q.items[:firstInTime] {
			switch rankOf(i, now, end) {
			case rankInTime:
				inTime = append(inTime, i)
			case rankLateStarted:
				lateStarted = append(lateStarted, i)
			default:
				lateNotStarted = append(lateNotStarted, i)
			}
		}
		inTime = append(inTime, q.items[firstInTime:]...)
		for _, turn := range spec.turns(inTime) {
			if !spec.yieldByEffectiveDue(turn, yield) {
				return
			}
		}
		slices.SortStableFunc(lateStarted, func(a, b *Item) int { return cmp.Or(a.InputsExpireAt.Compare(b.InputsExpireAt), compareDue(a, b)) })
		slices.SortStableFunc(lateNotStarted, func(a, b *Item) int { return cmp.Or(cmp.Compare(b.Worth, a.Worth), compareDue(a, b)) })
		for _, i := range slices.Concat(lateStarted, lateNotStarted) {
			if !yield(i) {
				return
			}
		}
	}
}

// turns divides the pieces into those that run one after the other because of their classes, each in the given order.
func (s *BatchSpec) turns(items []*Item) [][]*Item {
	if !s.OrdersByClass {
		return [][]*Item{items}
	}
	turns := make([][]*Item, Classes)
	for _, i := range items {
		turns[turnOf(i.Class)] = append(turns[turnOf(i.Class)], i)
	}
	return turns
}

// yieldByEffectiveDue yields the pieces, which are sorted by due time, by their effective due time: it merges those that
// prefer the target's data centre with the others. It returns false if yield did.
func (s *BatchSpec) yieldByEffectiveDue(items []*Item, yield func(*Item) bool) bool {
	nextLocal := s.nextOf(items, 0, true)
	nextOther := s.nextOf(items, 0, false)
	for nextLocal < len(items) || nextOther < len(items) {
		isLocal := nextOther == len(items) || nextLocal < len(items) && s.isBefore(items[nextLocal], items[nextOther])
		next := &nextOther
		if isLocal {
			next = &nextLocal
		}
		if !yield(items[*next]) {
			return false
		}
		*next = s.nextOf(items, *next+1, isLocal)
	}
	return true
}

// nextOf returns the index from the given one on of the next piece that prefers, or does not prefer, the target's data centre.
func (s *BatchSpec) nextOf(items []*Item, from int, isLocal bool) int {
	for from < len(items) && (items[from].PreferredDataCentre == s.DataCentre) != isLocal {
		from++
	}
	return from
}

func (s *BatchSpec) isBefore(a, b *Item) bool {
	return cmp.Or(s.effectiveDue(a).Compare(s.effectiveDue(b)), cmp.Compare(a.Piece.CallID, b.Piece.CallID)) <= 0
}

// Ranks order the queue; lower ranks run first. A started call is one that already has results of other stages.
const (
	rankInTime = iota
	rankLateStarted
	rankLateNotStarted
)

// rankOf returns the rank of a piece in a batch that ends at the given time.
func rankOf(i *Item, now, end time.Time) int {
	switch {
	case !i.Due.Before(end):
		return rankInTime
	case i.InputsExpireAt.IsZero() && i.HasBegun:
		return rankLateStarted
	case i.InputsExpireAt.IsZero():
		return rankLateNotStarted
	case now.Add(inputExpiryMargin).After(i.InputsExpireAt):
		// When the inputs expire, the work that produced them is lost.
		return rankInTime
	default:
		return rankLateStarted
	}
}

func (s *BatchSpec) effectiveDue(i *Item) time.Time {
	if i.PreferredDataCentre == s.DataCentre {
		return i.Due.Add(-localityBonus)
	}
	return i.Due
}

func (s *BatchSpec) isAvoided(i *Item, now time.Time) bool {
	return i.AvoidTarget == s.Target && s.UsableTargets > 1 && now.Before(i.AvoidUntil)
}

// isReservedElsewhere reports whether a data-heavy piece should be left to a target in its preferred data centre: to one that is
// idle, or to one that becomes idle before the piece is due. Late pieces wait as well, but only for [lateLocalWait] after they
// were first queued.
func (s *BatchSpec) isReservedElsewhere(i *Item, now, end time.Time) bool {
	if !i.IsDataHeavy || i.PreferredDataCentre == "" || i.PreferredDataCentre == s.DataCentre || !s.UsableDataCentres[i.PreferredDataCentre] {
		return false
	}
	if s.ReservedDataCentres[i.PreferredDataCentre] {
		return true
	}
	slack := i.Due.Sub(end)
	if slack < 0 {
		return now.Sub(i.QueuedAt) < lateLocalWait
	}
	return slack > relocationSlack
}
