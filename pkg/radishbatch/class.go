package radishbatch

import "time"

const (
	// Classes is the number of classes of pieces.
	Classes = 22
	// FirstClass is the class of pieces that no other class runs before: those whose class is not known and those of calls of which
	// pieces have run, whose results would be lost.
	FirstClass = 0
	// LastClass is the class whose pieces wait for those of all other classes.
	LastClass = Classes - 1
)

// ClassCounts counts pieces by class and due time. The zero value is empty.
type ClassCounts struct {
	classes [Classes]DueCounts
	pieces  [Classes]int
	bytes   [Classes]int64
}

// Add counts pieces of the class, each with a result of the given size, that are due at the given time; a negative number removes pieces
// that were counted so.
func (c *ClassCounts) Add(pieces int, resultBytes int64, due time.Time, class int) {
	c.classes[class].Add(pieces, due)
	c.pieces[class] += pieces
	c.bytes[class] += int64(pieces) * resultBytes
}

// ResultBytes returns the total size of the results of the counted pieces of the classes from the first to the last given one.
func (c *ClassCounts) ResultBytes(first, last int) int64 {
	total := int64(0)
	for _, n := range c.bytes[first : last+1] {
		total += n
	}
	return total
}

// AddTo adds the counted pieces of the classes from the first to the last given one to the demand.
func (c *ClassCounts) AddTo(d *Demand, first, last int, now time.Time) {
	for i := first; i <= last; i++ {
		if c.pieces[i] > 0 {
			c.classes[i].AddTo(d, now)
		}
	}
}

// HasSeveral reports whether the counted pieces are of classes that run one after the other if there is too little capacity.
func (c *ClassCounts) HasSeveral() bool {
	seen := -1
	for i, n := range c.pieces {
		if n == 0 {
			continue
		}
		if seen >= 0 && turnOf(i) != seen {
			return true
		}
		seen = turnOf(i)
	}
	return false
}

// turnOf returns the place of a class in the order in which classes run if there is too little capacity. Started calls and the most
// urgent class run together, in the order of due times.
func turnOf(class int) int { return max(FirstClass+1, class) }
