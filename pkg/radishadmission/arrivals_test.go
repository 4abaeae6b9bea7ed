package radishadmission

import (
	"math"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

// start is an arbitrary point in time.
var start = time.Unix(1_000_000, 0)

// feed calls f at the given rate for some seconds and returns the time after that.
func feed(perSecond, seconds int, now time.Time, f func(now time.Time)) time.Time {
	for range perSecond * seconds {
		now = now.Add(time.Second / time.Duration(perSecond))
		f(now)
	}
	return now
}

// TestArrivalsOfEarlierClassesReduceCapacity checks that a class is left the capacity that earlier classes are not expected to ask for, at
// least the floor, and that a new coordinator knows the load within seconds.
func TestArrivalsOfEarlierClassesReduceCapacity(t *testing.T) {
	var a Arrivals
	urgent, low := ClassOf(&Urgency{}, UnderShare), ClassOf(&Urgency{Priority: 2}, UnderShare)
	if share := a.LeftShare("s", low, 100, start); share != 1 {
		t.Errorf("share %.2f before any arrival, want 1", share)
	}
	now := feed(20, 10, start, func(now time.Time) { a.Record("s", urgent, 3, now) })
	if share := a.LeftShare("s", low, 100, now); math.Abs(share-0.4) > 0.05 {
		t.Errorf("share %.2f beside 60 pieces per second of 100, want 0.4", share)
	}
	if share := a.LeftShare("s", urgent, 100, now); share != 1 {
		t.Errorf("share %.2f for the class itself, want 1", share)
	}
	if share := a.LeftShare("s", low, 50, now); share != FloorShare {
		t.Errorf("share %.2f beside more than the capacity, want the floor", share)
	}
	if share := a.LeftShare("s", low, 100, now.Add(10*time.Second)); share < 0.95 {
		t.Errorf("share %.2f long after the last arrival, want nearly 1", share)
	}
}

// TestFloors checks that a kind is below its floor until it has had a tenth of the capacity, and that many kinds of a dimension share half of
// it.
func TestFloors(t *testing.T) {
	var f Floors
	low := Kind{Dimension: "priority", Value: "2"}
	f.Ask([]Kind{low}, start)
	if !f.IsBelow("s", low, 100, start) {
		t.Error("a kind that got nothing is not below its floor")
	}
	now := feed(12, 10, start, func(now time.Time) { f.Record("s", []Kind{low}, 1, now) })
	if f.IsBelow("s", low, 100, now) || !f.IsBelow("s", low, 200, now) {
		t.Error("12 pieces per second are above a tenth of 100 and below a tenth of 200")
	}
	for _, team := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		f.Ask([]Kind{{Dimension: "team", Value: team}}, now)
	}
	f.Record("s", []Kind{{Dimension: "team", Value: "a"}}, 18, now)
	if f.IsBelow("s", Kind{Dimension: "team", Value: "a"}, 100, now) {
		t.Error("6 pieces per second are above a twentieth of 100, the floor of each of ten teams")
	}
}

// TestFloorsAreBounded checks that names from peers take a bounded amount of memory.
func TestFloorsAreBounded(t *testing.T) {
	var f Floors
	for i := range 3 * maxFloorKeys {
		kinds := []Kind{{Dimension: "team", Value: time.Duration(i).String()}}
		f.Ask(kinds, start)
		f.Record("s", kinds, 1, start)
	}
	if len(f.got) > maxFloorKeys || len(f.askedAt["team"]) > maxFloorKeys {
		t.Errorf("%d and %d records, want at most %d", len(f.got), len(f.askedAt["team"]), maxFloorKeys)
	}
}

// TestClassesFollowPriorityAndStanding checks the order of classes, and that all fit the numbers of classes.
func TestClassesFollowPriorityAndStanding(t *testing.T) {
	last := ClassOf(nil, UnderShare)
	if last != radishbatch.FirstClass {
		t.Errorf("class %d for a plan without urgency", last)
	}
	for priority := range MaxPriority + 1 {
		for _, s := range []Standing{UnderShare, OverShare} {
			class := ClassOf(&Urgency{Priority: priority}, s)
			if class <= last || class > radishbatch.LastClass {
				t.Errorf("class %d for priority %d and standing %d, after %d", class, priority, s, last)
			}
			last = class
		}
	}
}

// TestGivesWayBefore checks who gives way first: the lower class, then the lower value for the capacity, then the later due time.
func TestGivesWayBefore(t *testing.T) {
	first := Candidate{Class: 5, Density: 10, Due: start.Add(time.Second)}
	for _, later := range []Candidate{
		{Class: 4, Density: 1, Due: start.Add(time.Minute)},
		{Class: 5, Density: 20, Due: start.Add(time.Minute)},
		{Class: 5, Density: 10, Due: start},
	} {
		if first.GivesWayBefore(later) >= 0 || later.GivesWayBefore(first) <= 0 {
			t.Errorf("%+v does not give way before %+v", first, later)
		}
	}
}
