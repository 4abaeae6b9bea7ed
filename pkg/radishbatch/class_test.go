package radishbatch

import (
	"fmt"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestClassesOrderScarceCapacity checks that the pieces of lower classes run first if the target orders by class, that started calls run
// with the most urgent class in the order of due times, and that due times alone decide otherwise.
func TestClassesOrderScarceCapacity(t *testing.T) {
	newQueue := func() *Queue {
		q := &Queue{}
		for i, class := range []int{5, FirstClass + 1, 3, FirstClass, 5} {
			q.Add(&Item{Piece: radish.Piece{CallID: fmt.Sprint(i)}, Due: at(2000 + 100*i), Deadline: at(9000), Class: class})
		}
		return q
	}
	for _, tc := range []struct {
		byClass bool
		want    string
	}{{false, "01234"}, {true, "13204"}} {
		q, got := newQueue(), ""
		for q.Len() > 0 {
			for _, i := range q.TakeBatch(BatchSpec{MaxPieces: 1, MaxResultBytes: 1, OrdersByClass: tc.byClass}, start) {
				got += i.Piece.CallID
			}
		}
		if got != tc.want {
			t.Errorf("by class %t: order %s, want %s", tc.byClass, got, tc.want)
		}
	}
}

// TestDemandOfClasses checks that the demand that precedes a class leaves out later classes, also after a piece changed its class.
func TestDemandOfClasses(t *testing.T) {
	var q Queue
	items := []*Item{{Due: at(500), Class: 1}, {Due: at(500), Class: 4}, {Due: at(500), Class: 6}}
	q.Add(items...)
	count := func(last int) int {
		var d Demand
		q.AddClassesToDemand(&d, FirstClass, last, start)
		return d.Total()
	}
	if got := [...]int{count(0), count(1), count(4), count(LastClass)}; got != [...]int{0, 1, 2, 3} {
		t.Errorf("got %v", got)
	}
	if q.SetClass(items[2], FirstClass); count(0) != 1 || count(LastClass) != 3 {
		t.Errorf("%d pieces of the first class, %d of all, want 1 and 3", count(0), count(LastClass))
	}
	if !q.HasSeveralClasses() {
		t.Error("the queue has several classes")
	}
	q.RemoveItem(items[1])
	if q.HasSeveralClasses() {
		t.Error("started calls and the most urgent class run together")
	}
}

// TestExcess checks how many pieces must give way for an added call, and up to which due time.
func TestExcess(t *testing.T) {
	b := Backlog{PiecesPerSecond: 10, TypicalBatchTime: 300 * time.Millisecond, Targets: 1}
	b.Demand.Add(10, 1250*time.Millisecond)
	if n, _ := b.Excess(StageWork{Pieces: 2, DueIn: 500 * time.Millisecond}); n != 2 {
		t.Errorf("%d pieces too many, want 2: 10 fit until 1300 ms", n)
	}
	if n, by := b.Excess(StageWork{Pieces: 5, DueIn: 500 * time.Millisecond}); n != 5 || by != 1300*time.Millisecond {
		t.Errorf("%d pieces too many by %v, want 5 by 1300 ms", n, by)
	}
	if n, _ := b.Excess(StageWork{Pieces: 5, DueIn: 2 * time.Second}); n != 0 {
		t.Errorf("%d pieces too many, want none: 15 fit until 2100 ms", n)
	}
	if b.IsShort() {
		t.Error("all queued pieces can be in time")
	}
	b.Demand.Add(1, 1250*time.Millisecond)
	if !b.IsShort() {
		t.Error("not all queued pieces can be in time")
	}
}
