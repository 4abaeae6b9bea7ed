package radishmirror

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"radishramp.example/radishramp/pkg/radish"
)

func record(name string, revision radish.Revision, removed bool) radish.Record {
	return radish.Record{Kind: radish.RecordTarget, Name: name, Revision: revision, Removed: removed}
}

func revisionsByName(records []radish.Record) map[string]radish.Revision {
	revisions := make(map[string]radish.Revision)
	for _, r := range records {
		revisions[r.Name] = r.Revision
	}
	return revisions
}

func TestApplyIgnoresOlderRecords(t *testing.T) {
	var m Mirror
	m.Apply([]radish.Record{record("a", 5, false)})
	if applied := m.Apply([]radish.Record{record("a", 4, false), record("a", 5, false)}); len(applied) > 0 {
		t.Errorf("got new records %v, want none", applied)
	}
}

func TestApplyDoesNotRestoreRemovedRecord(t *testing.T) {
	var m Mirror
	m.Apply([]radish.Record{record("a", 5, false)})
	m.Apply([]radish.Record{record("a", 5, true)})
	if applied := m.Apply([]radish.Record{record("a", 5, false)}); len(applied) > 0 {
		t.Errorf("got new records %v, want none", applied)
	}
	m.Apply([]radish.Record{record("a", 9, false)})
	if diff := cmp.Diff(map[string]radish.Revision{"a": 9}, revisionsByName(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
}

func TestReplaceRemovesMissingRecordsUnlessNewer(t *testing.T) {
	var m Mirror
	m.Apply([]radish.Record{record("gone", 3, false), record("newer", 12, false)})
	m.Replace(radish.RecordTarget, []radish.Record{record("kept", 4, false)}, 10)
	if diff := cmp.Diff(map[string]radish.Revision{"kept": 4, "newer": 12}, revisionsByName(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	if got := m.CompleteRevision(radish.RecordTarget); got != 10 {
		t.Errorf("complete up to revision %d, want 10", got)
	}
}

func TestChangesSinceRevisionIncludeRemovals(t *testing.T) {
	var from, to Mirror
	from.Replace(radish.RecordTarget, []radish.Record{record("a", 3, false), record("b", 4, false)}, 5)
	to.Apply(from.Records(radish.RecordTarget))
	from.ApplyUpTo(radish.RecordTarget, []radish.Record{record("a", 8, true)}, 8)
	changes := from.ChangesSince(radish.RecordTarget, 5)
	if _, matches := to.ApplyPeerChanges(radish.RecordTarget, changes); !matches {
		t.Error("the mirrors differ after the changes were applied, want equal")
	}
	if diff := cmp.Diff(map[string]radish.Revision{"b": 4}, revisionsByName(to.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
}

// TestPeerUnawareOfRemovedRecordIsDetected guards against keeping a record that no longer exists. The record was created
// and removed before the peer's first list, so the peer's changes cannot report the removal. The mirror that still
// holds the record must detect the difference; a full list from the peer then removes the record.
func TestPeerUnawareOfRemovedRecordIsDetected(t *testing.T) {
	var peer, m Mirror
	m.ApplyUpTo(radish.RecordTarget, []radish.Record{record("kept", 3, false), record("gone", 4, false)}, 5)
	peer.Replace(radish.RecordTarget, []radish.Record{record("kept", 3, false)}, 9)
	if _, matches := m.ApplyPeerChanges(radish.RecordTarget, peer.ChangesSince(radish.RecordTarget, m.CompleteRevision(radish.RecordTarget))); matches {
		t.Error("the peer's changes were reported as matching, want a difference")
	}
	if got := m.CompleteRevision(radish.RecordTarget); got != 5 {
		t.Errorf("complete up to revision %d, want 5", got)
	}
	all := peer.ChangesSince(radish.RecordTarget, 0)
	m.Replace(radish.RecordTarget, all.Records, all.CompleteRevision)
	if diff := cmp.Diff(map[string]radish.Revision{"kept": 3}, revisionsByName(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	if got := m.CompleteRevision(radish.RecordTarget); got != 9 {
		t.Errorf("complete up to revision %d, want 9", got)
	}
}

// TestEarlierRemovalAtPeerHidesNoLaterOne guards against keeping a record that was created again and removed a second time between two lists of the
// peer: the peer knows only the first removal.
func TestEarlierRemovalAtPeerHidesNoLaterOne(t *testing.T) {
	var peer, m Mirror
	peer.Replace(radish.RecordTarget, []radish.Record{record("gone", 2, false)}, 2)
	peer.Replace(radish.RecordTarget, nil, 3)
	m.Replace(radish.RecordTarget, []radish.Record{record("gone", 4, false)}, 4)
	peer.Replace(radish.RecordTarget, nil, 5)
	all := peer.ChangesSince(radish.RecordTarget, 0)
	m.Replace(radish.RecordTarget, all.Records, all.CompleteRevision)
	if got := m.Records(radish.RecordTarget); len(got) > 0 {
		t.Errorf("got records %v, want none", got)
	}
}

// TestOutdatedStateIsIgnored guards against restoring a removed record from outdated state. A list, a watch result and a
// peer's changes arrive late and hold a record that was removed before the mirror's first list.
func TestOutdatedStateIsIgnored(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordTarget, nil, 9)
	outdated := []radish.Record{record("gone", 4, false)}
	m.Replace(radish.RecordTarget, outdated, 5)
	m.ApplyUpTo(radish.RecordTarget, outdated, 5)
	m.ApplyPeerChanges(radish.RecordTarget, Changes{Records: outdated, CompleteRevision: 5})
	if got := m.Records(radish.RecordTarget); len(got) > 0 {
		t.Errorf("got records %v, want none", got)
	}
}
