package radishfleet

import (
	"fmt"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestLimitsOutlastRecord guards against a target whose record is removed and comes back while it runs, and that gets calls in its pause or, while it
// is cold, the whole quota once more within a second. A target that has started again is not held to the limits of its last life.
func TestLimitsOutlastRecord(t *testing.T) {
	const quota = 3
	for _, isRestart := range []bool{false, true} {
		t.Run(fmt.Sprint("restart ", isRestart), func(t *testing.T) {
			f := &Fleet{DataCentre: "a", ColdQuota: func(radish.Target) int { return quota }}
			cold, paused := target("cold", "a"), target("paused", "a")
			cold.ColdRemaining, cold.Service = time.Minute, "cold"
			f.Set(cold, testStart)
			f.Set(paused, testStart)
			sent := 0
			sendCold := func(now time.Time) {
				for range 2 * quota {
					if _, ok := f.Pick(Query{Service: "cold", HasColdLimit: true}, now); ok {
						sent++
					}
				}
			}
			sendCold(testStart)
			f.Observe(paused, pauseOf(time.Minute), testStart)
			f.Remove("cold")
			f.Remove("paused")
			if isRestart {
				cold.StartedUnixMilli, paused.StartedUnixMilli = 2, 2
			}
			now := afterStart(500 * time.Millisecond)
			f.Set(cold, now)
			f.Set(paused, now)
			sendCold(now)
			want := map[bool]int{false: quota, true: 2 * quota}[isRestart]
			if sent != want {
				t.Errorf("%d calls to the cold target, want %d", sent, want)
			}
			if _, ok := f.Pick(Query{Service: "s"}, now); ok != isRestart {
				t.Errorf("the target that asked for a pause gets calls: %v, want %v", ok, isRestart)
			}
		})
	}
}

// TestDepartedTargetsAreBounded removes more targets with limits than are remembered.
func TestDepartedTargetsAreBounded(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	for i := range 3 * maxDeparted {
		gone := target(fmt.Sprint("t", i), "a")
		f.Set(gone, testStart)
		f.Observe(gone, pauseOf(time.Minute), testStart)
		f.Remove(gone.Name)
	}
	if n := len(f.departed); n > maxDeparted {
		t.Errorf("%d targets are remembered, want at most %d", n, maxDeparted)
	}
}
