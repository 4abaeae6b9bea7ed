package radishfleet

import (
	"fmt"
	"testing"
)

// TestShardsAreAlike deals out the targets of a grown service: each shard has its part in each data centre.
func TestShardsAreAlike(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	for i := range 18 {
		f.Set(target(fmt.Sprintf("i-%x", i*7919%251), string(rune('a'+i%4))), start)
	}
	seen := make(map[string]bool)
	for shard := range 3 {
		targets := f.UsableShard("s", shard, 3, start)
		if len(targets) != 6 {
			t.Errorf("shard %d has %d targets, want 6", shard, len(targets))
		}
		places := make(map[string]int)
		for _, s := range targets {
			places[s.DataCentre]++
			if seen[s.Name] {
				t.Errorf("%s is in two shards", s.Name)
			}
			seen[s.Name] = true
		}
		for place, n := range places {
			if n > 2 {
				t.Errorf("shard %d has %d targets in %s", shard, n, place)
			}
		}
	}
}

// TestReplayCrashMovesFewTargets plays the crash of one target after the other: those that stay keep their shard, but for
// a few that even the shards out. A target that moves is full of results that its new coordinator does not know of.
func TestReplayCrashMovesFewTargets(t *testing.T) {
	const targets, shards = 18, 3
	f := &Fleet{DataCentre: "a"}
	for i := range targets {
		f.Set(target(fmt.Sprintf("i-%x", i*7919%251), string(rune('a'+i%4))), start)
	}
	moved := 0
	for i := range targets {
		before := divide(f.byService["s"], shards).shardOf
		name := fmt.Sprintf("i-%x", i*7919%251)
		crashed := f.targets[name].target
		f.Remove(name)
		for other, shard := range divide(f.byService["s"], shards).shardOf {
			if shard != before[other] {
				moved++
			}
		}
		f.Set(crashed, start)
	}
	if mean := float64(moved) / targets; mean > targets/6 {
		t.Errorf("%.1f of %d targets moved when one crashed", mean, targets)
	} else {
		t.Logf("%.1f of %d targets moved when one crashed", mean, targets)
	}
}

// TestReplayCrashOfThirdKeepsShards plays the crash of a third of one of three stage services: the number of shards stays,
// since new coordinators would not know of the results that the old ones hold.
func TestReplayCrashOfThirdKeepsShards(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	services := map[string]int{"enc": 17, "rank": 15, "cast": 18}
	for service, n := range services {
		for i := range n {
			s := target(fmt.Sprintf("%s-%d", service, i), string(rune('a'+i%4)))
			s.Service = service
			f.Set(s, start)
		}
	}
	names := []string{"enc", "rank", "cast"}
	before := f.Shards(names, 0)
	for service, n := range services {
		for i := range n / 3 {
			f.Remove(fmt.Sprintf("%s-%d", service, i))
		}
		if got := f.Shards(names, 0); got != before {
			t.Errorf("%d shards after a third of %s crashed, %d before", got, service, before)
		}
		for i := range n / 3 {
			s := target(fmt.Sprintf("%s-%d", service, i), string(rune('a'+i%4)))
			s.Service = service
			f.Set(s, start)
		}
	}
	if got := (&Fleet{}).Shards(names, 0); got != 1 {
		t.Errorf("%d shards without targets, want 1", got)
	}
}

// TestLargeCoordinatorsHaveLargeShards divides 18 targets of each service among coordinators of several sizes.
func TestLargeCoordinatorsHaveLargeShards(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	for i := range 18 {
		f.Set(target(fmt.Sprint("i-", i), "a"), start)
	}
	for _, test := range []struct {
		cores float64
		want  int
	}{{0, 2}, {0.134, 2}, {0.272, 1}, {0.8, 1}} {
		if got := f.Shards([]string{"s"}, test.cores); got != test.want {
			t.Errorf("with %v cores: %d shards, want %d", test.cores, got, test.want)
		}
	}
}
