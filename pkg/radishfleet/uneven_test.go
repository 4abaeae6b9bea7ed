package radishfleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// leastCost returns the target that the choice by load and failures alone prefers: the first one with the least cost.
func leastCost(f *Fleet, now time.Time) string {
	best, bestCost := "", math.Inf(1)
	versions := f.versionsFor("s", "", 0, now)
	for _, s := range f.byService["s"] {
		if !f.isAvailable(s, versions, now) {
			continue
		}
		load := float64(s.inFlight)
		if now.Sub(s.reportedAt) < loadReportTTL {
			load = float64(max(s.inFlight, s.reportedLoad.Running+s.reportedLoad.Waiting))
		}
		cost := load/float64(s.target.Slots) + failureRateCost*s.decayedFailureRate(now)
		if s.target.DataCentre != f.DataCentre {
			cost += remoteDataCentreCost
		}
		if cost < bestCost {
			best, bestCost = s.target.Name, cost
		}
	}
	return best
}

// TestChoicesOfEvenTargetsStay replays calls to targets that report no momentary figure and are equally fast but for noise: each
// choice, with affinity or without, must be the one that is made without any knowledge of times.
func TestChoicesOfEvenTargetsStay(t *testing.T) {
	informed, plain := &Fleet{DataCentre: "a"}, &Fleet{DataCentre: "a"}
	for i := range 30 {
		record := target(fmt.Sprint(i), string(rune('a'+i%2)))
		informed.Set(record, testStart)
		plain.Set(record, testStart)
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	var running []string
	for n := range 20_000 {
		now := afterStart(time.Duration(n) * 3 * time.Millisecond)
		q := Query{}
		if n%3 == 0 {
			q.AffinityKey = fmt.Sprint(rnd.IntN(50))
		}
		want := pickName(t, plain, q, now)
		if expected := leastCost(informed, now); q.AffinityKey == "" && want != expected {
			t.Fatalf("call %d: picked %s, least cost %s", n, want, expected)
		}
		if got := pickName(t, informed, q, now); got != want {
			t.Fatalf("call %d: picked %s, without times %s", n, got, want)
		}
		running = append(running, want)
		for len(running) > 60 || len(running) > 0 && rnd.Float64() < 0.5 {
			ended := running[0]
			running = running[1:]
			load := radish.TargetLoad{Running: rnd.IntN(5), Slots: 4, Reported: true}
			informed.Observe(radish.Target{Name: ended, StartedUnixMilli: 1}, radish.TargetNotice{Load: load}, now)
			took := time.Duration((0.3 + 0.7*rnd.ExpFloat64()) * float64(replayCallTime))
			informed.RecordTiming(ended, Timing{Kind: WorkCall, Class: fmt.Sprint(n % 2), Took: took, Units: 1}, now)
			for _, f := range []*Fleet{informed, plain} {
				f.Done(ended, Outcome{Load: load, Failed: n%97 == 0}, now)
			}
		}
	}
}

// tellSpeeds reports n times for each target, which the function returns relative to the usual one.
func tellSpeeds(f *Fleet, kind WorkKind, n int, slowness func(name string) float64) {
	for i := range n {
		for name := range f.targets {
			took := time.Duration(slowness(name) * (0.8 + 0.1*float64(i%5)) * float64(replayCallTime))
			f.RecordTiming(name, Timing{Kind: kind, Took: took, Units: 1}, testStart)
		}
	}
}

// TestUnevenTargetsAreRecognized checks from which difference on learned speeds count, and that one slow target among many does.
func TestUnevenTargetsAreRecognized(t *testing.T) {
	tests := []struct {
		name     string
		slowness func(name string) float64
		samples  int
		want     bool
	}{
		{"even", func(string) float64 { return 1 }, 50, false},
		{"a tenth", func(name string) float64 { return 1 + 0.1*float64(len(name)-1) }, 50, false},
		{"a half", func(name string) float64 { return 1 + 0.5*float64(len(name)-1) }, 50, true},
		{"one of many", func(name string) float64 {
			if name == "7" {
				return 2
			}
			return 1
		}, 50, true},
		{"few observations", func(name string) float64 { return 1 + 0.5*float64(len(name)-1) }, 2, false},
	}
	for _, test := range tests {
		f := &Fleet{DataCentre: "a"}
		for i := range 40 {
			f.Set(target(fmt.Sprint(i), "a"), testStart)
		}
		tellSpeeds(f, WorkCall, test.samples, test.slowness)
		if got := f.isUneven("s", testStart); got != test.want {
			t.Errorf("%s: uneven %t, want %t", test.name, got, test.want)
		}
	}
}

// TestDistanceIsNoSlowness checks that the way to another data centre does not make its targets count as slow. Otherwise VMs of
// different data centres would assign the same prompt to different engines.
func TestDistanceIsNoSlowness(t *testing.T) {
	for _, kind := range []WorkKind{WorkCall, WorkPrompt} {
		f := newEngineFleet(9)
		distance := map[string]float64{"a": 1, "b": 1.5, "c": 2}
		tellSpeeds(f, kind, 50, func(name string) float64 { return distance[f.targets[name].target.DataCentre] })
		if f.isUneven("s", testStart) {
			t.Errorf("kind %d: targets count as uneven because of their distance", kind)
		}
		tellSpeeds(f, kind, 50, func(name string) float64 {
			if name == "e1" {
				return 2 * distance["b"]
			}
			return distance[f.targets[name].target.DataCentre]
		})
		if later := afterStart(speedRefresh); !f.isUneven("s", later) || f.targets["e1"].relativeSlowness() < minUnevenRatio {
			t.Errorf("kind %d: a slow target among distant ones is not recognized, slowness %.2f", kind, f.targets["e1"].relativeSlowness())
		}
	}
}

// TestUnevennessEndsWithReports checks that choices are by load alone again some time after the last momentary figure.
func TestUnevennessEndsWithReports(t *testing.T) {
	f := newFleet(target("t1", "a"), target("t2", "a"))
	f.Observe(target("t1", "a"), radish.TargetNotice{Load: radish.TargetLoad{Slots: 4, Pace: 1, Reported: true}}, testStart)
	if !f.isUneven("s", afterStart(unevenHold-time.Millisecond)) || f.isUneven("s", afterStart(unevenHold)) {
		t.Errorf("targets do not count as uneven for exactly %v", unevenHold)
	}
}

// TestAgeOfReportWeakensIt checks that a slow target is avoided at first, and as likely as others to be chosen after half a second.
func TestAgeOfReportWeakensIt(t *testing.T) {
	f := newFleet(target("slow", "a"), target("t2", "a"))
	f.Observe(target("slow", "a"), radish.TargetNotice{Load: radish.TargetLoad{Slots: 4, Pace: 2.5, Reported: true}}, testStart)
	last := math.Inf(1)
	for _, age := range []time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, maxReportAge} {
		cost := f.targets["slow"].expectedCost(1, afterStart(age))
		if cost >= last {
			t.Errorf("expected time %.2f at the age of %v, %.2f before", cost, age, last)
		}
		last = cost
	}
	if other := f.targets["t2"].expectedCost(1, afterStart(maxReportAge)); last != other {
		t.Errorf("expected time %.2f after %v, want that of the other target, %.2f", last, maxReportAge, other)
	}
}

// TestFalseReportsTakeFewCalls has one of 20 targets report figures that no real target has: that it is always idle, that
// it is fast too, or that it is slow and full. It must get neither most calls nor none.
func TestFalseReportsTakeFewCalls(t *testing.T) {
	idle := radish.TargetLoad{Pace: 0.01, Slots: 4, Reported: true}
	full := radish.TargetLoad{Running: 1 << 40, Waiting: 1 << 40, Pace: 1000, Slots: 4, Reported: true}
	usual := radish.TargetLoad{Pace: 1, Slots: 4, Reported: true}
	for _, lie := range []radish.TargetLoad{idle, usual, full} {
		f := &Fleet{DataCentre: "a", rand: rand.New(rand.NewPCG(1, 1))}
		for i := range 20 {
			f.Set(target(fmt.Sprint(i), "a"), testStart)
		}
		calls := 0
		const total = 10_000
		for n := range total {
			now := afterStart(time.Duration(n) * 10 * time.Millisecond)
			picked, _ := f.Pick(Query{Service: "s"}, now)
			load := radish.TargetLoad{Running: 2, Slots: 4, Pace: 1, Reported: true}
			if picked.Name == "7" {
				load = lie
				calls++
			}
			f.Observe(picked, radish.TargetNotice{Load: load}, now)
			f.RecordTiming(picked.Name, Timing{Kind: WorkCall, Took: replayCallTime, Units: 1, Waiting: load.Waiting, Pace: load.Pace}, now)
			f.Done(picked.Name, Outcome{Load: load}, now)
		}
		share := float64(calls) / total
		t.Logf("a target that reports %+v gets %.3f of the calls", lie, share)
		if calls == 0 || share > 0.4 {
			t.Errorf("a target that reports %+v gets %.3f of the calls", lie, share)
		}
	}
}

// BenchmarkPickUneven measures a choice among the most targets that a VM has, by load alone and by expected time, without and with
// affinity.
func BenchmarkPickUneven(b *testing.B) {
	for n := range 4 {
		pace, key := float64(n%2), []string{"", "p"}[n/2]
		b.Run(fmt.Sprintf("pace=%v,affinity=%t", pace, key != ""), func(b *testing.B) {
			f := &Fleet{DataCentre: "a"}
			for i := range 292 {
				f.Set(target(fmt.Sprint(i), "a"), testStart)
				f.Observe(target(fmt.Sprint(i), "a"), radish.TargetNotice{Load: radish.TargetLoad{Slots: 4, Pace: pace, Reported: true}}, testStart)
			}
			for b.Loop() {
				picked, _ := f.Pick(Query{Service: "s", AffinityKey: key}, testStart)
				f.Done(picked.Name, Outcome{}, testStart)
			}
		})
	}
}
