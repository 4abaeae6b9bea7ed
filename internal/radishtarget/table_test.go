package radishtarget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
)

const warmTTL = 3 * time.Second

func newTable(names ...string) *radishtarget.Table {
	table := &radishtarget.Table{DataCentre: "bandung", WarmTTL: warmTTL}
	var targets []radish.Target
	for _, name := range names {
		targets = append(targets, radish.Target{Name: name, Address: name, DataCentre: "bandung", Service: "llm"})
	}
	table.Update(targets, func(radish.Target) bool { return false })
	return table
}

func observe(table *radishtarget.Table, name, peer string, state radish.TargetState) {
	table.Observe(radishtarget.Observation{Target: name, Peer: peer, State: state, ObservedAt: time.Now()})
}

func TestWarmStateExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("llm-1")
		if table.IsWarm("llm-1") {
			t.Error("a target without any observation counts as warm")
		}
		observe(table, "llm-1", "peer", radish.TargetWarm)
		for range 5 {
			time.Sleep(2 * time.Second)
			table.ConfirmStates("peer", time.Now())
		}
		if !table.IsWarm("llm-1") {
			t.Error("the heartbeats of the peer that reported the target as warm do not extend the warm state")
		}
		observe(table, "llm-1", "", radish.TargetCold)
		time.Sleep(time.Second)
		table.ConfirmStates("peer", time.Now())
		if table.IsWarm("llm-1") {
			t.Error("a heartbeat of the peer replaced a newer observation of this VM that the target is cold")
		}
		observe(table, "llm-1", "peer", radish.TargetWarm)
		time.Sleep(warmTTL + time.Second)
		if table.IsWarm("llm-1") {
			t.Error("a target still counts as warm after the last observation expired")
		}
	})
}

func TestOlderObservationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable("llm-1")
		olderTime := time.Now()
		time.Sleep(time.Second)
		observe(table, "llm-1", "", radish.TargetCold)
		table.Observe(radishtarget.Observation{Target: "llm-1", Peer: "peer", State: radish.TargetWarm, ObservedAt: olderTime})
		if table.IsWarm("llm-1") {
			t.Error("an older observation replaced a newer one")
		}
	})
}

func TestEjectionKeepsMinimumShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		names := []string{"llm-1", "llm-2", "llm-3", "llm-4"}
		table := newTable(names...)
		for _, name := range names {
			observe(table, name, "", radish.TargetWarm)
		}
		for _, name := range names[:3] {
			for range 5 {
				table.Finish(name, table.Start(name), nil, true)
			}
		}
		if got := len(table.Candidates("llm", 10, nil).Warm); got != 2 {
			t.Errorf("with three of four targets ejected: got %d candidates, want 2", got)
		}
		time.Sleep(2500 * time.Millisecond)
		if got := len(table.Candidates("llm", 10, nil).Warm); got != 4 {
			t.Errorf("after the ejections ended: got %d candidates, want 4", got)
		}
	})
}
