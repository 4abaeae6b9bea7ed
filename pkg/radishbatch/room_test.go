package radishbatch

import (
	"testing"
	"time"
)

func TestRoomOfKnownResults(t *testing.T) {
	const size = 1000
	var r Room
	if free := r.Free(size, start); free != 920 {
		t.Errorf("%d bytes are free at first, want 920", free)
	}
	r.Add("a", 300, start, at(4000))
	r.Add("b", 400, start, at(1000))
	if free := r.Free(size, at(500)); free != 220 {
		t.Errorf("%d bytes are free beside two results, want 220", free)
	}
	if free := r.Free(size, at(1001)); free != 620 {
		t.Errorf("%d bytes are free after one ended, want 620", free)
	}
	if held, ok := r.Remove("a", at(1500)); !ok || held != 1500*time.Millisecond {
		t.Errorf("held for %v, %v", held, ok)
	}
	if _, ok := r.Remove("a", at(1500)); ok || r.Known(at(1500)) != 0 {
		t.Error("a result is known after it was given up")
	}
}

// TestReplayLostResults plays a coordinator whose predecessor's results fill three quarters of a target: it learns so from the
// first call that finds no room, and tries more of the room as they end.
func TestReplayLostResults(t *testing.T) {
	const size = 1000
	var r Room
	r.Learn(750, true, start)
	if free := r.Free(size, start); free != 170 {
		t.Errorf("%d bytes are free beside the unknown ones, want 170", free)
	}
	if part := r.Part(size, start); part != 0.25 {
		t.Errorf("unknown results leave a part of %v", part)
	}
	r.Learn(900, false, start)
	if free := r.Free(size, start); free != 170 {
		t.Errorf("%d bytes are free after a call that all fitted, want 170", free)
	}
	if free := r.Free(size, start.Add(2*othersHalfLife)); free < 700 {
		t.Errorf("%d bytes are free when the unknown results have mostly ended, want 700", free)
	}
	r.Learn(-5, true, at(10))
	if part := r.Part(size, at(10)); part != 1 {
		t.Errorf("unknown results leave a part of %v after a call that needs all", part)
	}
}
