package radishbatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

func TestDelays(t *testing.T) {
	const call = 300 * time.Millisecond
	tests := []struct {
		name   string
		waits  map[time.Duration]int
		pieces int
		due    time.Duration
		want   bool
	}{
		{"nothing waits", nil, 1000, time.Second, false},
		{"others have time to spare", map[time.Duration]int{2 * time.Second: 100}, 10, time.Second, false},
		{"others would be late", map[time.Duration]int{2 * time.Second: 175}, 10, time.Second, true},
		{"others go first", map[time.Duration]int{2 * time.Second: 175}, 10, 3 * time.Second, false},
		{"others are late anyhow", map[time.Duration]int{2 * time.Second: 300}, 10, time.Second, false},
		{"what was due before now goes last", map[time.Duration]int{-time.Second: 300, 2 * time.Second: 100}, 10, time.Second, false},
		{"one of those behind would be late", map[time.Duration]int{2 * time.Second: 10, 3 * time.Second: 265}, 10, time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			line := Line{PerSecond: 100, CallTime: call, Targets: 4}
			for due, n := range test.waits {
				line.Demand.Add(n, due)
			}
			if got := line.Delays(test.pieces, test.due); got != test.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

// visitors are calls of one kind in a replay.
type visitors struct {
	perSecond float64
	pieces    int
	aim       time.Duration
}

// replayAdmission has calls of two kinds come for ten seconds to targets that take them all in order of their dues, and returns
// for each kind the share that was made in time. When isLast is set, a call is let in as if all others went before it.
func (s stage) replayAdmission(seed uint64, kinds [2]visitors, isLast bool) [2]float64 {
	const step = 5 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 0))
	var q Queue
	var came, inTime [2]int
	free := make([]time.Time, s.targets)
	for i := range free {
		free[i] = start
	}
	full := s.callTime + time.Duration(s.maxPieces)*s.pieceTime
	perSecond := 0.85 * float64(s.targets*s.maxPieces) / full.Seconds()
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(step) {
		for kind, v := range kinds {
			if rng.Float64() >= v.perSecond*step.Seconds() {
				continue
			}
			came[kind]++
			line := Line{PerSecond: perSecond, CallTime: full, Targets: s.targets}
			q.AddTo(&line.Demand, now)
			needs := []Need{{Service: "s", Pieces: v.pieces, Due: v.aim}}
			lines := map[string]Line{"s": line}
			delays := Delays(lines, needs)
			if isLast {
				needs, delays = Last(needs), false
			}
			if took, ok := Finish(lines, needs); !ok || took > v.aim || delays {
				continue
			}
			for n := range v.pieces {
				q.Add(&Item{
					Piece: radish.Piece{CallID: fmt.Sprint(kind, "-", came[kind]), Stage: kind, Number: n},
					Due:   now.Add(v.aim), Deadline: now.Add(10 * v.aim),
				})
			}
		}
		for _, item := range s.serve(&q, free, now) {
			inTime[item.Piece.Stage]++
		}
	}
	var shares [2]float64
	for kind := range kinds {
		shares[kind] = float64(inTime[kind]) / float64(came[kind]*kinds[kind].pieces)
	}
	return shares
}

// TestReplayTightBesideLoose plays calls with much time, which alone more than fill the stage, beside calls with little time, as
// labels beside drafts. Those with little time go first, so they are let in as long as the others are still in time; when each
// call counts all that wait, the others fill the queue and most of those with little time are turned away.
func TestReplayTightBesideLoose(t *testing.T) {
	s := stage{targets: 5, maxPieces: 10, callTime: 240 * time.Millisecond, pieceTime: 21 * time.Millisecond}
	kinds := [2]visitors{{perSecond: 20, pieces: 2, aim: 1600 * time.Millisecond}, {perSecond: 30, pieces: 4, aim: 3900 * time.Millisecond}}
	for seed := range uint64(5) {
		byDue, last := s.replayAdmission(seed, kinds, false), s.replayAdmission(seed, kinds, true)
		if byDue[0] < last[0]+0.2 {
			t.Errorf("seed %d: %.3f of the calls with little time are in time, %.3f when all others go before them", seed, byDue[0], last[0])
		}
		if sum := byDue[0]*40 + byDue[1]*120; sum < 0.95*(last[0]*40+last[1]*120) {
			t.Errorf("seed %d: %.1f pieces a second are in time, %.1f when all others go before them", seed, sum, last[0]*40+last[1]*120)
		}
	}
}
