package radishmirror

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"radishramp.example/radishramp/pkg/radish"
)

func inEra(era radish.Era, number int64) radish.Revision {
	r, err := radish.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	return r
}

func withValue(r radish.Record, value string) radish.Record {
	r.Value = []byte(value)
	return r
}

func valuesByName(records []radish.Record) map[string]string {
	values := make(map[string]string)
	for _, r := range records {
		values[r.Name] = string(r.Value)
	}
	return values
}

// TestLaterEraIsNewer guards against ignoring a store that has come back from an older copy, since its revisions are lower than before.
func TestLaterEraIsNewer(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordConfig, []radish.Record{withValue(radish.Record{Kind: radish.RecordConfig, Name: "main", Revision: inEra(1, 101)}, "old")}, inEra(1, 101))
	applied := m.Replace(radish.RecordConfig, []radish.Record{withValue(radish.Record{Kind: radish.RecordConfig, Name: "main", Revision: inEra(2, 60)}, "new")}, inEra(2, 60))
	if len(applied) != 1 || m.CompleteRevision(radish.RecordConfig) != inEra(2, 60) {
		t.Errorf("got %d changes and revision %v, want one and 2/60", len(applied), m.CompleteRevision(radish.RecordConfig))
	}
	// A list, a watch and a peer of the earlier era come late.
	late := []radish.Record{withValue(radish.Record{Kind: radish.RecordConfig, Name: "main", Revision: inEra(1, 102)}, "late")}
	m.Replace(radish.RecordConfig, late, inEra(1, 102))
	m.ApplyUpTo(radish.RecordConfig, late, inEra(1, 102))
	m.ApplyPeerChanges(radish.RecordConfig, Changes{Records: late, CompleteRevision: inEra(1, 102)})
	if diff := cmp.Diff(map[string]string{"main": "new"}, valuesByName(m.Records(radish.RecordConfig))); diff != "" {
		t.Error(diff)
	}
}

// TestWatchOfLaterEraNeedsList guards against missing the changes between the copy and the watch: the mirror must be listed first.
func TestWatchOfLaterEraNeedsList(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordTarget, nil, inEra(1, 9))
	m.ApplyUpTo(radish.RecordTarget, []radish.Record{record("a", inEra(2, 12), false)}, inEra(2, 12))
	if got := m.CompleteRevision(radish.RecordTarget); got != inEra(1, 9) || m.Era() != 2 {
		t.Errorf("complete up to %v in era %d, want 1/9 in era 2", got, m.Era())
	}
}

// TestLostRecordsAreKeptUntilSettled guards against dropping records that the store has lost before their writers could write them again, and
// against keeping those for ever that nobody writes again.
func TestLostRecordsAreKeptUntilSettled(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordTarget, []radish.Record{record("kept", inEra(1, 3), false), record("lost", inEra(1, 8), false), record("rewritten", inEra(1, 9), false)}, inEra(1, 9))
	m.Replace(radish.RecordTarget, []radish.Record{record("kept", inEra(2, 3), false)}, inEra(2, 5))
	if got := len(m.Records(radish.RecordTarget)); got != 3 || len(m.Unsettled(radish.RecordTarget)) != 2 {
		t.Errorf("%d records before they are settled, %d of them lost; want 3 and 2", got, len(m.Unsettled(radish.RecordTarget)))
	}
	m.ApplyUpTo(radish.RecordTarget, []radish.Record{record("rewritten", inEra(2, 6), false)}, inEra(2, 6))
	if applied := m.Settle(radish.RecordTarget); len(applied) != 1 || applied[0].Name != "lost" || !applied[0].Removed {
		t.Errorf("settled: %v, want the removal of the lost record", applied)
	}
	if diff := cmp.Diff(map[string]radish.Revision{"kept": inEra(2, 3), "rewritten": inEra(2, 6)}, revisionsByName(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	// A peer that has not settled its records reports the lost one.
	if applied := m.Apply([]radish.Record{record("lost", inEra(1, 8), false)}); len(applied) > 0 {
		t.Errorf("the lost record came back: %v", applied)
	}
}

// TestTargetThatLeftStaysOutOfUse guards against a target that comes back into use from the copy, which is older than its removal, and against
// one that is never used again although the store has it.
func TestTargetThatLeftStaysOutOfUse(t *testing.T) {
	var m, fresh Mirror
	m.Replace(radish.RecordTarget, []radish.Record{withValue(record("leaves", inEra(1, 8), false), "leaving"), record("gone", inEra(1, 4), false)}, inEra(1, 8))
	m.ApplyUpTo(radish.RecordTarget, []radish.Record{record("gone", inEra(1, 9), true)}, inEra(1, 9))
	listed := []radish.Record{withValue(record("leaves", inEra(2, 3), false), "ready"), withValue(record("gone", inEra(2, 4), false), "ready")}
	m.Replace(radish.RecordTarget, listed, inEra(2, 5))
	if diff := cmp.Diff(map[string]string{"leaves": "leaving"}, valuesByName(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	// A VM that does not know better gets the records of the store.
	changes := m.ChangesSince(radish.RecordTarget, 0)
	fresh.Replace(radish.RecordTarget, changes.Records, changes.CompleteRevision)
	m.ApplyUpTo(radish.RecordTarget, []radish.Record{withValue(record("gone", inEra(2, 6), false), "started again")}, inEra(2, 6))
	m.Settle(radish.RecordTarget)
	if diff := cmp.Diff(map[string]string{"leaves": "ready", "gone": "started again"}, valuesByName(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(map[string]string{"leaves": "ready", "gone": "ready"}, valuesByName(fresh.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
}

// TestTargetThatLeftStaysOutOfUseInSecondDrill has the store come back from the same copy twice in a row, before the target has written again that
// it leaves.
func TestTargetThatLeftStaysOutOfUseInSecondDrill(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordTarget, []radish.Record{withValue(record("leaves", inEra(1, 8), false), "leaving")}, inEra(1, 8))
	for _, era := range []radish.Era{2, 3} {
		m.Replace(radish.RecordTarget, []radish.Record{withValue(record("leaves", inEra(era, 3), false), "ready")}, inEra(era, 5))
		if diff := cmp.Diff(map[string]string{"leaves": "leaving"}, valuesByName(m.Records(radish.RecordTarget))); diff != "" {
			t.Errorf("era %d: %s", era, diff)
		}
	}
}

// TestUnchangedRecordsAreNoChanges guards against applying all records again at a drill: a target that was cold at its start would count as cold.
func TestUnchangedRecordsAreNoChanges(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordTarget, []radish.Record{withValue(record("a", inEra(1, 3), false), "ready")}, inEra(1, 9))
	if applied := m.Replace(radish.RecordTarget, []radish.Record{withValue(record("a", inEra(2, 3), false), "ready")}, inEra(2, 5)); len(applied) > 0 {
		t.Errorf("got changes %v, want none", applied)
	}
}

// drillModel is a store whose operator writes, and that comes back from older copies.
type drillModel struct {
	era     radish.Era
	number  int64
	records map[string]radish.Record
	// copies are earlier states.
	copies []drillModel
}

func (s *drillModel) clone() drillModel {
	c := drillModel{number: s.number, records: make(map[string]radish.Record)}
	for name, r := range s.records {
		c.records[name] = r
	}
	return c
}

func (s *drillModel) list() []radish.Record {
	var records []radish.Record
	for _, r := range s.records {
		r.Revision = inEra(s.era, r.Revision.Number())
		records = append(records, r)
	}
	return records
}

// TestMirrorsFollowStoreUnderDrills plays drawn writes, drills, lists, lists that arrive late and exchanges between VMs, some of which hear of
// nothing for long. In the end all of them have the records of the store.
func TestMirrorsFollowStoreUnderDrills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const kind = radish.RecordTarget
		type list struct {
			records  []radish.Record
			revision radish.Revision
		}
		store := drillModel{era: 1, number: 1, records: make(map[string]radish.Record)}
		mirrors := make([]Mirror, 3)
		var late []list
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		vms := rapid.IntRange(0, len(mirrors)-1)
		exchange := func(from, to *Mirror) {
			if from.CompleteRevision(kind) <= to.CompleteRevision(kind) {
				return
			}
			if _, matches := to.ApplyPeerChanges(kind, from.ChangesSince(kind, to.CompleteRevision(kind))); !matches {
				all := from.ChangesSince(kind, 0)
				to.Replace(kind, all.Records, all.CompleteRevision)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store.number++
				name := names.Draw(t, "name")
				store.records[name] = withValue(record(name, inEra(0, store.number), false), rapid.SampledFrom([]string{"ready", "leaving"}).Draw(t, "value"))
			},
			"remove": func(t *rapid.T) {
				store.number++
				delete(store.records, names.Draw(t, "name"))
			},
			"copy": func(*rapid.T) { store.copies = append(store.copies, store.clone()) },
			"drill": func(t *rapid.T) {
				if len(store.copies) == 0 {
					t.Skip("no copy")
				}
				older := store.copies[rapid.IntRange(0, len(store.copies)-1).Draw(t, "copy")].clone()
				store.era, store.number, store.records = store.era+1, older.number, older.records
			},
			"list": func(t *rapid.T) {
				l := list{store.list(), inEra(store.era, store.number)}
				late = append(late, l)
				mirrors[vms.Draw(t, "vm")].Replace(kind, l.records, l.revision)
			},
			"late list": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("no list")
				}
				l := late[rapid.IntRange(0, len(late)-1).Draw(t, "list")]
				m := &mirrors[vms.Draw(t, "vm")]
				before := m.CompleteRevision(kind)
				m.Replace(kind, l.records, l.revision)
				if m.CompleteRevision(kind) < before {
					t.Fatalf("a late list took the mirror from %v back to %v", before, m.CompleteRevision(kind))
				}
			},
			"exchange": func(t *rapid.T) { exchange(&mirrors[vms.Draw(t, "from")], &mirrors[vms.Draw(t, "to")]) },
			"settle":   func(t *rapid.T) { mirrors[vms.Draw(t, "vm")].Settle(kind) },
		})
		mirrors[0].Replace(kind, store.list(), inEra(store.era, store.number))
		mirrors[0].Settle(kind)
		want := valuesByName(store.list())
		for i := range mirrors {
			exchange(&mirrors[0], &mirrors[i])
			mirrors[i].Settle(kind)
			if diff := cmp.Diff(want, valuesByName(mirrors[i].Records(kind))); diff != "" {
				t.Errorf("VM %d: %s", i, diff)
			}
		}
	})
}
