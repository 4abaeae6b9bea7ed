package radishsite

import (
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

// fakeDecoder takes a record's revision for the version, and its value for a target's service.
type fakeDecoder struct{}

var errTorn = errors.New("record is torn")

func (fakeDecoder) Config(r radish.Record) (*radishroute.Config, bool, error) {
	if string(r.Value) == "torn" {
		return nil, false, errTorn
	}
	return &radishroute.Config{Version: r.Revision}, !r.Removed, nil
}

func (fakeDecoder) Target(r radish.Record) (radish.Target, error) {
	if string(r.Value) == "torn" {
		return radish.Target{}, errTorn
	}
	return radish.Target{Name: r.Name, Address: r.Name, DataCentre: "a", Service: "s", Leaving: string(r.Value) == "leaving"}, nil
}

func newBeliefs() *beliefs {
	b := &beliefs{decoder: fakeDecoder{}, mirror: &radishmirror.Mirror{}, fleet: &radishfleet.Fleet{DataCentre: "a"}, log: hclog.NewNullLogger()}
	b.onChange = func() {}
	return b
}

func (b *beliefs) learn(records ...radish.Record) { b.take(b.mirror.Apply(records), "test") }

func targetRecord(name string, revision int64, value string) radish.Record {
	return radish.Record{Kind: radish.RecordTarget, Name: name, Revision: revision, Value: []byte(value), Removed: value == "removed"}
}

func (b *beliefs) usable() int { return len(b.fleet.Usable("s", time.Now())) }

func TestConfigurationNeverGoesBack(t *testing.T) {
	b := newBeliefs()
	for _, r := range []radish.Record{
		{Kind: radish.RecordConfig, Name: "main", Revision: 7}, {Kind: radish.RecordConfig, Name: "main", Revision: 5},
		{Kind: radish.RecordConfig, Name: "main", Revision: 9, Value: []byte("torn")},
	} {
		b.take([]radish.Record{r}, "test")
	}
	if got := b.config.Load().Version; got != 7 {
		t.Errorf("version %d is in force, want 7", got)
	}
}

func TestTargetsFollowTheirRecords(t *testing.T) {
	b := newBeliefs()
	b.learn(targetRecord("t1", 1, "ready"), targetRecord("t2", 2, "ready"), targetRecord("t3", 3, "torn"))
	if b.usable() != 2 {
		t.Errorf("%d targets, want 2", b.usable())
	}
	b.learn(targetRecord("t1", 4, "leaving"), targetRecord("t2", 5, "removed"))
	if b.usable() != 0 {
		t.Errorf("%d targets, want none", b.usable())
	}
}

func TestTornRecordNamesNoTargetAnyMore(t *testing.T) {
	b := newBeliefs()
	b.learn(targetRecord("t1", 1, "ready"))
	b.learn(targetRecord("t1", 2, "torn"))
	if b.usable() != 0 {
		t.Error("a target whose record was overwritten by another writer is used")
	}
}

// TestRecordsThatLapsedInAnOutage keeps targets whose records are missing when the store returns for two seconds: those
// that live have theirs back by then.
func TestRecordsThatLapsedInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBeliefs()
		b.learn(targetRecord("lives", 1, "ready"), targetRecord("died", 2, "ready"))
		b.reach(false)
		time.Sleep(time.Second)
		b.reach(true)
		b.take(b.mirror.Replace(radish.RecordTarget, nil, 10), "test")
		if b.usable() != 2 {
			t.Errorf("%d targets right after the return, want 2", b.usable())
		}
		time.Sleep(time.Second)
		b.learn(targetRecord("lives", 11, "ready"))
		time.Sleep(1500 * time.Millisecond)
		if b.usable() != 1 {
			t.Errorf("%d targets 2.5 s after the return, want 1", b.usable())
		}
	})
}

func TestRecordsRemovedOnACalmDayAreGoneAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBeliefs()
		b.learn(targetRecord("t1", 1, "ready"))
		b.reach(true)
		time.Sleep(time.Minute)
		b.learn(targetRecord("t1", 2, "removed"))
		if b.usable() != 0 {
			t.Error("a target that is gone is used")
		}
	})
}

func TestEvacuationIsTakenBack(t *testing.T) {
	b := newBeliefs()
	b.learn(targetRecord("t1", 1, "ready"))
	b.learn(radish.Record{Kind: radish.RecordEvacuation, Name: "a", Revision: 2})
	if b.usable() != 0 {
		t.Error("a target of an evacuated data centre is used")
	}
	b.learn(radish.Record{Kind: radish.RecordEvacuation, Name: "a", Revision: 3, Removed: true})
	if b.usable() != 1 {
		t.Error("the target is not used after the evacuation was taken back")
	}
}
