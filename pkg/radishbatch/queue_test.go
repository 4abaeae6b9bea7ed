package radishbatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func item(call string, number, dueMs int) *Item {
	return &Item{Piece: radish.Piece{CallID: call, Number: number}, Due: at(dueMs), Deadline: at(dueMs + 10_000)}
}

func usualCall() Call {
	return Call{
		Target: "t1", DataCentre: "a", MaxPieces: 4, RoomBytes: 1 << 40, CallTime: 240 * time.Millisecond, PieceTime: 10 * time.Millisecond,
		IdleTargets: 1, UsableTargets: 2, Places: map[string]bool{"a": true, "b": true},
	}
}

func ids(items []*Item) string {
	text := ""
	for _, i := range items {
		text += fmt.Sprintf("%s%d ", i.Piece.CallID, i.Piece.Number)
	}
	return text
}

func TestTakeOrder(t *testing.T) {
	tests := []struct {
		name  string
		items func() []*Item
		call  func(c *Call)
		want  string
	}{
		{"earliest due first", func() []*Item { return []*Item{item("b", 0, 2000), item("a", 0, 1000)} }, nil, "a0 b0 "},
		{"late after those that can be in time", func() []*Item { return []*Item{item("late", 0, 100), item("a", 0, 1000)} }, func(c *Call) { c.MaxPieces = 1 }, "a0 "},
		{"late but begun before late", func() []*Item {
			begun := item("begun", 0, 100)
			begun.Expires = at(3000)
			return []*Item{item("late", 0, 50), begun}
		}, func(c *Call) { c.MaxPieces = 1 }, "begun0 "},
		{"no more than fit", func() []*Item {
			a, b := item("a", 0, 1000), item("b", 0, 2000)
			a.Bytes, b.Bytes = 60, 60
			return []*Item{a, b}
		}, func(c *Call) { c.RoomBytes = 100 }, "a0 "},
		{"not where it failed", func() []*Item {
			a := item("a", 0, 1000)
			a.Avoid, a.AvoidUntil = "t1", at(100)
			return []*Item{a, item("b", 0, 2000)}
		}, nil, "b0 "},
		{"where it failed some time ago", func() []*Item {
			a := item("a", 0, 1000)
			a.Avoid, a.AvoidUntil = "t1", at(-100)
			return []*Item{a}
		}, nil, "a0 "},
		{"where it failed if there is no other", func() []*Item {
			a := item("a", 0, 1000)
			a.Avoid, a.AvoidUntil = "t1", at(100)
			return []*Item{a}
		}, func(c *Call) { c.UsableTargets = 1 }, "a0 "},
		{"heavy pieces stay in their data centre", func() []*Item {
			a := item("a", 0, 5000)
			a.Near, a.IsHeavy = "b", true
			return []*Item{a, item("c", 0, 6000)}
		}, nil, "c0 "},
		{"heavy pieces move when time is short", func() []*Item {
			a := item("a", 0, 500)
			a.Near, a.IsHeavy = "b", true
			return []*Item{a}
		}, nil, "a0 "},
		{"late heavy pieces wait for their data centre", func() []*Item {
			a := item("a", 0, 100)
			a.Near, a.IsHeavy, a.Since = "b", true, at(-900)
			return []*Item{a}
		}, nil, ""},
		{"late heavy pieces do not wait for long", func() []*Item {
			a := item("a", 0, 100)
			a.Near, a.IsHeavy, a.Since = "b", true, at(-1000)
			return []*Item{a}
		}, nil, "a0 "},
		{"heavy pieces move when their data centre has no target", func() []*Item {
			a := item("a", 0, 5000)
			a.Near, a.IsHeavy = "gone", true
			return []*Item{a}
		}, nil, "a0 "},
		{"idle targets share the work, but not the pieces of a call", func() []*Item {
			return []*Item{item("a", 0, 1000), item("a", 1, 1000), item("b", 0, 2000), item("b", 1, 2000)}
		}, func(c *Call) { c.IdleTargets = 4 }, "a0 a1 "},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var q Queue
			q.Add(test.items()...)
			call := usualCall()
			if test.call != nil {
				test.call(&call)
			}
			before := q.Len()
			taken := q.Take(call, start)
			if got := ids(taken); got != test.want {
				t.Errorf("took %q, want %q", got, test.want)
			}
			if q.Len() != before-len(taken) {
				t.Errorf("%d pieces are left of %d", q.Len(), before)
			}
		})
	}
}

func TestExpireDropsWhatIsOfNoUse(t *testing.T) {
	var q Queue
	a, b := item("a", 0, 0), item("b", 0, 0)
	a.Deadline, b.Deadline = at(200), at(300)
	q.Add(a, b)
	if got := ids(q.Expire(start, 240*time.Millisecond)); got != "a0 " || q.Len() != 1 {
		t.Errorf("dropped %q, %d left", got, q.Len())
	}
}

// stage emulates the targets of one stage service.
type stage struct {
	targets             int
	maxPieces           int
	callTime, pieceTime time.Duration
}

// replay plays arrivals of one-piece calls against the stage and returns the share that is made before it is due.
func (s stage) replay(arrivals []time.Duration, aim time.Duration) float64 {
	var q Queue
	free := make([]time.Time, s.targets)
	for i := range free {
		free[i] = start
	}
	inTime, next := 0, 0
	step := 5 * time.Millisecond
	end := start.Add(arrivals[len(arrivals)-1] + 20*time.Second)
	for now := start; now.Before(end); now = now.Add(step) {
		for next < len(arrivals) && !start.Add(arrivals[next]).After(now) {
			due := start.Add(arrivals[next] + aim)
			q.Add(&Item{Piece: radish.Piece{CallID: fmt.Sprint(next)}, Due: due, Deadline: due.Add(aim)})
			next++
		}
		q.Expire(now, s.callTime)
		inTime += len(s.serve(&q, free, now))
	}
	return float64(inTime) / float64(len(arrivals))
}

// serve starts calls at free targets and returns the pieces that they make in time.
func (s stage) serve(q *Queue, free []time.Time, now time.Time) []*Item {
	idle := 0
	for i := range free {
		if !free[i].After(now) {
			idle++
		}
	}
	var inTime []*Item
	for i := range free {
		if free[i].After(now) {
			continue
		}
		call := Call{Target: fmt.Sprint(i), MaxPieces: s.maxPieces, RoomBytes: 1 << 40, CallTime: s.callTime, PieceTime: s.pieceTime, IdleTargets: idle, UsableTargets: len(free)}
		idle--
		items := q.Take(call, now)
		if len(items) == 0 {
			continue
		}
		free[i] = now.Add(s.callTime + time.Duration(len(items))*s.pieceTime)
		for _, item := range items {
			if !free[i].After(item.Due) {
				inTime = append(inTime, item)
			}
		}
	}
	return inTime
}

// burst draws arrivals of a rate that a burst multiplies from second 3 to 8.
func burst(seed uint64, perSecond, factor float64) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 0))
	var arrivals []time.Duration
	for now := 0.0; now < 20; {
		rate := perSecond
		if now > 3 && now < 8 {
			rate *= factor
		}
		now += r.ExpFloat64() / rate
		arrivals = append(arrivals, time.Duration(now*float64(time.Second)))
	}
	return arrivals
}

// TestReplayBurst plays a burst of 2.5 times the usual load, for which the stage suffices when calls are full: nearly
// all is in time in shared calls, and nearly nothing when each piece has a call of its own.
func TestReplayBurst(t *testing.T) {
	shared := stage{targets: 5, maxPieces: 10, callTime: 240 * time.Millisecond, pieceTime: 21 * time.Millisecond}
	alone := shared
	alone.maxPieces = 1
	for seed := range uint64(5) {
		arrivals := burst(seed, 38, 2.5)
		if got := shared.replay(arrivals, 1900*time.Millisecond); got < 0.99 {
			t.Errorf("seed %d: %.3f in time in shared calls, want 0.99", seed, got)
		}
		if got := alone.replay(arrivals, 1900*time.Millisecond); got > 0.5 {
			t.Errorf("seed %d: %.3f in time with a call for each piece; the load is too small to tell policies apart", seed, got)
		}
	}
}

// TestReplayOverload plays twice what full calls can make for five seconds: what is served in time stays near the
// capacity, since late pieces do not go before those that can be in time.
func TestReplayOverload(t *testing.T) {
	s := stage{targets: 5, maxPieces: 10, callTime: 240 * time.Millisecond, pieceTime: 21 * time.Millisecond}
	const capacity = 111.0
	for seed := range uint64(5) {
		arrivals := burst(seed, 50, 4.4)
		possible := (15*50 + 5*capacity) / (15*50 + 5*4.4*50)
		if got := s.replay(arrivals, 1900*time.Millisecond); got < 0.9*possible {
			t.Errorf("seed %d: %.3f in time, of %.3f possible", seed, got, possible)
		}
	}
}
