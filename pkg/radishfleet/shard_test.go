package radishfleet

import (
	"fmt"
	"testing"
)

// TestShardsAreBalanced assigns targets in four data centres to three shards: each shard must get the same number of
// targets, evenly over the data centres.
func TestShardsAreBalanced(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	for i := range 18 {
		f.Set(target(fmt.Sprintf("i-%x", i*7919%251), string(rune('a'+i%4))), testStart)
	}
	assigned := make(map[string]bool)
	for shard := range 3 {
		targets := f.UsableTargetsInShard("s", shard, 3, testStart)
		if len(targets) != 6 {
			t.Errorf("shard %d has %d targets, want 6", shard, len(targets))
		}
		countByDataCentre := make(map[string]int)
		for _, s := range targets {
			countByDataCentre[s.DataCentre]++
			if assigned[s.Name] {
				t.Errorf("%s is assigned to two shards", s.Name)
			}
			assigned[s.Name] = true
		}
		for dataCentre, n := range countByDataCentre {
			if n > 2 {
				t.Errorf("shard %d has %d targets in data centre %s, want at most 2", shard, n, dataCentre)
			}
		}
	}
}

// TestCrashMovesFewTargets removes one target after the other: few of the remaining targets may change their shard.
// The new coordinator of a moved target does not have the list of the results that are stored on it.
func TestCrashMovesFewTargets(t *testing.T) {
	const targets, shards = 18, 3
	f := &Fleet{DataCentre: "a"}
	for i := range targets {
		f.Set(target(fmt.Sprintf("i-%x", i*7919%251), string(rune('a'+i%4))), testStart)
	}
	moved := 0
	for i := range targets {
		before := assignShards(f.byService["s"], shards, false).shardOf
		name := fmt.Sprintf("i-%x", i*7919%251)
		crashed := f.targets[name].target
		f.Remove(name)
		for other, shard := range assignShards(f.byService["s"], shards, false).shardOf {
			if shard != before[other] {
				moved++
			}
		}
		f.Set(crashed, testStart)
	}
	if mean := float64(moved) / targets; mean > targets/6 {
		t.Errorf("%.1f of %d targets moved when one crashed", mean, targets)
	} else {
		t.Logf("%.1f of %d targets moved when one crashed", mean, targets)
	}
}

// TestCrashOfThirdKeepsShardCount removes a third of one of three stage services: the number of shards must not
// change, since the coordinators of new shards would not have the lists of the results on their targets.
func TestCrashOfThirdKeepsShardCount(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	services := map[string]int{"enc": 17, "rank": 15, "cast": 18}
	for service, n := range services {
		for i := range n {
			s := target(fmt.Sprintf("%s-%d", service, i), string(rune('a'+i%4)))
			s.Service = service
			f.Set(s, testStart)
		}
	}
	names := []string{"enc", "rank", "cast"}
	before := f.ShardCount(names, 0)
	for service, n := range services {
		for i := range n / 3 {
			f.Remove(fmt.Sprintf("%s-%d", service, i))
		}
		if got := f.ShardCount(names, 0); got != before {
			t.Errorf("%d shards after a third of %s crashed, %d before", got, service, before)
		}
		for i := range n / 3 {
			s := target(fmt.Sprintf("%s-%d", service, i), string(rune('a'+i%4)))
			s.Service = service
			f.Set(s, testStart)
		}
	}
	if got := (&Fleet{}).ShardCount(names, 0); got != 1 {
		t.Errorf("%d shards without targets, want 1", got)
	}
}

// TestShardCountDependsOnCores divides 18 targets into shards for coordinators of several sizes.
func TestShardCountDependsOnCores(t *testing.T) {
	f := &Fleet{DataCentre: "a"}
	for i := range 18 {
		f.Set(target(fmt.Sprint("i-", i), "a"), testStart)
	}
	for _, test := range []struct {
		cores float64
		want  int
	}{{0, 2}, {0.134, 2}, {0.272, 1}, {0.8, 1}} {
		if got := f.ShardCount([]string{"s"}, test.cores); got != test.want {
			t.Errorf("with %v cores: %d shards, want %d", test.cores, got, test.want)
		}
	}
}
