package radishbatch

import (
	"fmt"
	"testing"
	"time"
)

// TestBatchFollowsSpeed checks that a target's part of the queue is in proportion to its speed, so that idle targets end together.
func TestBatchFollowsSpeed(t *testing.T) {
	tests := []struct {
		share float64
		want  int
	}{{0, 6}, {0.5, 6}, {2.0 / 3, 8}, {1.0 / 3, 4}, {0.01, 1}, {1, 12}}
	for _, test := range tests {
		var q Queue
		for n := range 12 {
			q.Add(newItem(fmt.Sprint(n), 0, 2000))
		}
		spec := newSpec()
		spec.MaxPieces, spec.IdleTargets, spec.IdleShare = 20, 2, test.share
		if got := len(q.TakeBatch(spec, start)); got != test.want {
			t.Errorf("share %.2f: %d pieces of 12, want %d", test.share, got, test.want)
		}
	}
}

// TestReservedPiecesAreLeft checks that a slow target takes the pieces behind those that faster targets are to take.
func TestReservedPiecesAreLeft(t *testing.T) {
	for reserved, want := range map[int]string{0: "a0 b0 ", 1: "b0 c0 ", 2: "c0 ", 3: ""} {
		var q Queue
		q.Add(newItem("a", 0, 1000), newItem("b", 0, 2000), newItem("c", 0, 3000))
		spec := newSpec()
		spec.MaxPieces, spec.Reserved = 2, reserved
		if got := ids(q.TakeBatch(spec, start)); got != want {
			t.Errorf("%d reserved: took %q, want %q", reserved, got, want)
		}
	}
}

// TestPiecesWaitForFasterTargets checks when a piece waits for a busy target: if that one is faster and free in time.
func TestPiecesWaitForFasterTargets(t *testing.T) {
	// The idle target takes twice the usual time, 500 ms for one piece; 60 % of that are 300 ms.
	spec := newSpec()
	spec.Overhead, spec.PieceTime, spec.MaxPieces = 400*time.Millisecond, 100*time.Millisecond, 4
	tests := []struct {
		name string
		busy []BusyTarget
		want int
	}{
		{"none", nil, 0},
		{"fast and free at once", []BusyTarget{{FreeIn: 0, TimeFactor: 1}}, 2},
		{"fast and free soon", []BusyTarget{{FreeIn: 50 * time.Millisecond, TimeFactor: 1}}, 1},
		{"two of them", []BusyTarget{{FreeIn: 50 * time.Millisecond, TimeFactor: 1}, {FreeIn: 0, TimeFactor: 1}}, 3},
		{"fast and free late", []BusyTarget{{FreeIn: 150 * time.Millisecond, TimeFactor: 1}}, 0},
		{"as slow", []BusyTarget{{FreeIn: 0, TimeFactor: 1.9}}, 0},
	}
	for _, test := range tests {
		if got := ReservedPieces(test.busy, &spec, 2, 1); got != test.want {
			t.Errorf("%s: %d pieces wait, want %d", test.name, got, test.want)
		}
	}
}
