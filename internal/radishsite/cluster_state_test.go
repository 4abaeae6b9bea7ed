package radishsite

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishroute"
)

// fakeDecoder uses a record's revision as the version of a configuration, and its value as the state of a target. The
// value "torn" cannot be decoded.
type fakeDecoder struct{}

var errTorn = errors.New("record is torn")

func (fakeDecoder) Config(r radish.Record) (*radishroute.Config, bool, error) {
	if string(r.Value) == "torn" {
		return nil, false, errTorn
	}
	return &radishroute.Config{Version: r.Revision.Number()}, !r.Removed, nil
}

func (fakeDecoder) Target(r radish.Record) (radish.Target, error) {
	if string(r.Value) == "torn" {
		return radish.Target{}, errTorn
	}
	return radish.Target{Name: r.Name, Address: r.Name, DataCentre: "a", Service: "s", Leaving: string(r.Value) == "leaving"}, nil
}

// Rollout takes the record's value for the JSON form of the order.
func (fakeDecoder) Rollout(r radish.Record) (radish.RolloutOrder, error) {
	var o radish.RolloutOrder
	if err := json.Unmarshal(r.Value, &o); err != nil {
		return radish.RolloutOrder{}, errTorn
	}
	o.Name, o.Revision = r.Name, r.Revision
	return o, nil
}

func newTestState() *clusterState {
	return newClusterState(fakeDecoder{}, &radishmirror.Mirror{}, &radishfleet.Fleet{DataCentre: "a"}, hclog.NewNullLogger(), func() {})
}

func (c *clusterState) applyNew(records ...radish.Record) {
	c.apply(c.mirror.Apply(records), "test")
}

func targetRecord(name string, revision radish.Revision, value string) radish.Record {
	return radish.Record{Kind: radish.RecordTarget, Name: name, Revision: revision, Value: []byte(value), Removed: value == "removed"}
}

func (c *clusterState) usableCount() int { return len(c.fleet.UsableTargets("s", time.Now())) }

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	state := newTestState()
	for _, r := range []radish.Record{
		{Kind: radish.RecordConfig, Name: "main", Revision: 7}, {Kind: radish.RecordConfig, Name: "main", Revision: 5},
		{Kind: radish.RecordConfig, Name: "main", Revision: 9, Value: []byte("torn")},
	} {
		state.apply([]radish.Record{r}, "test")
	}
	if got := state.config.Load().Version; got != 7 {
		t.Errorf("configuration version %d is in force, want 7", got)
	}
}

func TestTargetsFollowTheirRecords(t *testing.T) {
	state := newTestState()
	state.applyNew(targetRecord("t1", 1, "ready"), targetRecord("t2", 2, "ready"), targetRecord("t3", 3, "torn"))
	if state.usableCount() != 2 {
		t.Errorf("%d usable targets, want 2", state.usableCount())
	}
	state.applyNew(targetRecord("t1", 4, "leaving"), targetRecord("t2", 5, "removed"))
	if state.usableCount() != 0 {
		t.Errorf("%d usable targets, want none", state.usableCount())
	}
}

// TestLateChangeDoesNotUndoNewerOne guards against a change that one source applies after another source has applied a newer one: a target that
// leaves, or is gone, must not come back into use.
func TestLateChangeDoesNotUndoNewerOne(t *testing.T) {
	for _, newest := range []string{"leaving", "removed"} {
		state := newTestState()
		older := state.mirror.Apply([]radish.Record{targetRecord("t1", 1, "ready")})
		newer := state.mirror.Apply([]radish.Record{targetRecord("t1", 2, newest)})
		state.apply(newer, "store")
		state.apply(older, "peer")
		if state.usableCount() != 0 {
			t.Errorf("the target is usable after an older change, although it is %s", newest)
		}
	}
}

func TestTornRecordRemovesTarget(t *testing.T) {
	state := newTestState()
	state.applyNew(targetRecord("t1", 1, "ready"))
	state.applyNew(targetRecord("t1", 2, "torn"))
	if state.usableCount() != 0 {
		t.Error("target is still usable after another writer overwrote its record")
	}
}

// TestTargetsExpiredInOutageAreKept guards against dropping running targets after a store outage. Targets whose records
// are missing when the store returns stay in use for two seconds, in which running ones write their records again.
func TestTargetsExpiredInOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := newTestState()
		state.applyNew(targetRecord("running", 1, "ready"), targetRecord("crashed", 2, "ready"))
		state.recordStoreCall(time.Now(), false)
		time.Sleep(time.Second)
		state.recordStoreCall(time.Now(), true)
		state.apply(state.mirror.Replace(radish.RecordTarget, nil, 10), "test")
		if state.usableCount() != 2 {
			t.Errorf("%d usable targets right after the store returned, want 2", state.usableCount())
		}
		time.Sleep(time.Second)
		state.applyNew(targetRecord("running", 11, "ready"))
		time.Sleep(1500 * time.Millisecond)
		if state.usableCount() != 1 {
			t.Errorf("%d usable targets 2.5 s after the store returned, want 1", state.usableCount())
		}
	})
}

// TestTargetGoneAfterOutageIsNotKeptLonger guards against calls to a target that left up to two seconds after an outage at this VM, later than a target
// that has left may get them.
func TestTargetGoneAfterOutageIsNotKeptLonger(t *testing.T) {
	const drainTime, stabilityWindow, newsDelay = 2 * time.Second, 3 * time.Second, 500 * time.Millisecond
	for _, leavesAfter := range []time.Duration{0, 700 * time.Millisecond, 1400 * time.Millisecond, 1700 * time.Millisecond} {
		t.Run(leavesAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				state := newTestState()
				state.applyNew(targetRecord("t1", 1, "ready"))
				state.recordStoreCall(time.Now(), false)
				time.Sleep(time.Second)
				state.recordStoreCall(time.Now(), true)
				time.Sleep(leavesAfter + newsDelay)
				state.applyNew(targetRecord("t1", 2, "removed"))
				time.Sleep(max(leavesAfter+drainTime, stabilityWindow) - leavesAfter - newsDelay)
				if state.usableCount() != 0 {
					t.Error("the target is still usable when it must get no more calls")
				}
			})
		})
	}
}

// TestFailedCallsBetweenOthersAreNoOutage guards against keeping a target that has left in use since some calls to the store failed while others
// succeeded, some of them late.
func TestFailedCallsBetweenOthersAreNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := newTestState()
		state.applyNew(targetRecord("t1", 1, "ready"))
		for range 20 {
			startedAt := time.Now()
			time.Sleep(700 * time.Millisecond)
			state.recordStoreCall(time.Now(), true)
			time.Sleep(100 * time.Millisecond)
			state.recordStoreCall(startedAt, false)
			time.Sleep(100 * time.Millisecond)
			state.recordStoreCall(time.Now(), false)
		}
		state.applyNew(targetRecord("t1", 2, "removed"))
		if state.usableCount() != 0 {
			t.Error("target is still usable after its record was removed")
		}
	})
}

func TestRemovedTargetIsDroppedAtOnceWithoutOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := newTestState()
		state.applyNew(targetRecord("t1", 1, "ready"))
		state.recordStoreCall(time.Now(), true)
		time.Sleep(time.Minute)
		state.applyNew(targetRecord("t1", 2, "removed"))
		if state.usableCount() != 0 {
			t.Error("target is still usable after its record was removed")
		}
	})
}

func TestEvacuationIsRevoked(t *testing.T) {
	state := newTestState()
	state.applyNew(targetRecord("t1", 1, "ready"))
	state.applyNew(radish.Record{Kind: radish.RecordEvacuation, Name: "a", Revision: 2})
	if state.usableCount() != 0 {
		t.Error("target in an evacuated data centre is still usable")
	}
	state.applyNew(radish.Record{Kind: radish.RecordEvacuation, Name: "a", Revision: 3, Removed: true})
	if state.usableCount() != 1 {
		t.Error("target is not usable after the evacuation was revoked")
	}
}
