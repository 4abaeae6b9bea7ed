package radishbatch

import (
	"testing"
	"time"
)

func TestTrackedResults(t *testing.T) {
	const capacity = 1000
	var space ResultSpace
	if free := space.FreeBytes(capacity, start); free != 920 {
		t.Errorf("%d bytes are free without results, want 920", free)
	}
	space.Add("a", 300, start, at(4000))
	space.Add("b", 400, start, at(1000))
	if free := space.FreeBytes(capacity, at(500)); free != 220 {
		t.Errorf("%d bytes are free with two results, want 220", free)
	}
	if free := space.FreeBytes(capacity, at(1001)); free != 620 {
		t.Errorf("%d bytes are free after one result expired, want 620", free)
	}
	if held, ok := space.Remove("a", at(1500)); !ok || held != 1500*time.Millisecond {
		t.Errorf("result was held for %v, %v, want 1.5s, true", held, ok)
	}
	if _, ok := space.Remove("a", at(1500)); ok || space.TrackedBytes(at(1500)) != 0 {
		t.Error("result is still tracked after it was removed")
	}
}

// TestUntrackedResults covers a new coordinator at a target of which the results of its predecessor occupy three quarters. The
// first batch that runs out of space reveals this; later the estimate decays, as those results expire.
func TestUntrackedResults(t *testing.T) {
	const capacity = 1000
	var space ResultSpace
	space.UpdateUntracked(750, true, start)
	if free := space.FreeBytes(capacity, start); free != 170 {
		t.Errorf("%d bytes are free beside untracked results, want 170", free)
	}
	if share := space.AvailableShare(capacity, start); share != 0.25 {
		t.Errorf("untracked results leave a share of %v, want 0.25", share)
	}
	space.UpdateUntracked(900, false, start)
	if free := space.FreeBytes(capacity, start); free != 170 {
		t.Errorf("%d bytes are free after a batch that fitted completely, want 170", free)
	}
	if free := space.FreeBytes(capacity, start.Add(2*untrackedHalfLife)); free < 700 {
		t.Errorf("%d bytes are free after two half-lives, want at least 700", free)
	}
	space.UpdateUntracked(-5, true, at(10))
	if share := space.AvailableShare(capacity, at(10)); share != 1 {
		t.Errorf("untracked results leave a share of %v after a batch that used all of the space, want 1", share)
	}
}
