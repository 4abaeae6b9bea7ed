package radishadmission

import (
	"testing"
	"time"
)

// TestRetriesAreSpreadByUrgency checks that calls that are refused together return in the order of urgency, none at the same time as many
// others, and all within a third of the time that they have left.
func TestRetriesAreSpreadByUrgency(t *testing.T) {
	const remaining = 3 * time.Second
	for _, busyFor := range []time.Duration{0, 700 * time.Millisecond, time.Hour} {
		last := time.Duration(0)
		for rank := range 3 {
			for _, draw := range []float64{0, 0.5, 0.99} {
				after := Retry{BusyFor: busyFor, Remaining: remaining, Rank: rank, Ranks: 3}.After(draw)
				if after <= last || after > remaining/3 {
					t.Errorf("busy for %v, rank %d, draw %v: retry after %v, the one before after %v", busyFor, rank, draw, after, last)
				}
				last = after
			}
		}
	}
	if after := (Retry{BusyFor: 600 * time.Millisecond, Remaining: remaining, Rank: 0, Ranks: 3}).After(0); after < 600*time.Millisecond {
		t.Errorf("retry after %v, before there is capacity", after)
	}
}
