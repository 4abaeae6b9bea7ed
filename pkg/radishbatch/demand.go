package radishbatch

import (
	"math"
	"time"
)

const (
	// bucketWidth is the range of due times that one bucket of [Demand] counts.
	bucketWidth = 100 * time.Millisecond
	// demandBuckets is the number of buckets; the last one also counts everything that is due later.
	demandBuckets = 200
	// orderTolerance is the difference in due times from which on the later piece reliably runs after the earlier one:
	// batching, limits on result space and preferred data centres keep the order of due times only approximately.
	orderTolerance = time.Second
)

// Demand is a histogram of pieces by due time. The zero value is empty.
type Demand struct {
	pieces [demandBuckets]int
}

// Add counts pieces that are due in the given time from now. Overdue pieces are counted in the last bucket, because they run
// after all pieces that can still be in time.
func (d *Demand) Add(pieces int, due time.Duration) {
	if due < 0 {
		due = demandBuckets * bucketWidth
	}
	d.pieces[bucketOf(due)] += pieces
}

func bucketOf(due time.Duration) int { return min(demandBuckets-1, int(max(0, due)/bucketWidth)) }

// DueBy returns the number of pieces that are due no later than the given time from now.
func (d *Demand) DueBy(due time.Duration) int {
	total := 0
	for _, pieces := range d.pieces[:bucketOf(due)+1] {
		total += pieces
	}
	return total
}

// Total returns the number of pieces.
func (d *Demand) Total() int { return d.DueBy(demandBuckets * bucketWidth) }

// dueCountWidth is the resolution of [DueCounts].
const dueCountWidth = 20 * time.Millisecond

// DueCounts counts pieces by due time and keeps the counts as time passes, so that the demand is known without visiting each
// piece: a coordinator estimates it for each new call, while thousands of pieces wait. The zero value is empty.
type DueCounts struct {
	// origin is the due time from which the keys of pieces count, in units of dueCountWidth. It has a monotonic clock reading, so
	// that the counts stay right when the wall clock jumps.
	origin time.Time
	pieces map[int64]int
}

// Add counts pieces that are due at the given time; a negative number removes pieces that were counted with the same due time.
func (c *DueCounts) Add(pieces int, due time.Time) {
	if c.pieces == nil {
		c.origin, c.pieces = due, make(map[int64]int)
	}
	key := int64(math.Floor(float64(due.Sub(c.origin)) / float64(dueCountWidth)))
	c.pieces[key] += pieces
	if c.pieces[key] == 0 {
		delete(c.pieces, key)
	}
}

// AddTo adds the counted pieces to the demand.
func (c *DueCounts) AddTo(d *Demand, now time.Time) {
	originIn := c.origin.Sub(now)
	for key, pieces := range c.pieces {
		d.Add(pieces, originIn+time.Duration(key)*dueCountWidth)
	}
}

// DelaysOthers reports whether adding pieces with the due time would make pieces late that would otherwise be in time, assuming
// that pieces run in the order of their due times.
func (b *Backlog) DelaysOthers(pieces int, due time.Duration) bool {
	ahead := 0
	for i, queued := range b.Demand.pieces {
		ahead += queued
		if queued == 0 || i < bucketOf(due) {
			continue
		}
		end := time.Duration(i+1) * bucketWidth
		if b.processingTime(ahead)+b.TypicalBatchTime <= end && b.processingTime(ahead+pieces)+b.TypicalBatchTime > end {
			return true
		}
	}
	return false
}
