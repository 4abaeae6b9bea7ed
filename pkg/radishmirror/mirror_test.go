package radishmirror

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"radishramp.example/radishramp/pkg/radish"
)

func record(name string, revision int64, removed bool) radish.Record {
	return radish.Record{Kind: radish.RecordTarget, Name: name, Revision: revision, Removed: removed}
}

func names(records []radish.Record) map[string]int64 {
	found := make(map[string]int64)
	for _, r := range records {
		found[r.Name] = r.Revision
	}
	return found
}

func TestOlderRecordsAreNoNews(t *testing.T) {
	var m Mirror
	m.Apply([]radish.Record{record("a", 5, false)})
	if news := m.Apply([]radish.Record{record("a", 4, false), record("a", 5, false)}); len(news) > 0 {
		t.Errorf("got news %v, want none", news)
	}
}

func TestRemovedRecordDoesNotComeBackFromAPeer(t *testing.T) {
	var m Mirror
	m.Apply([]radish.Record{record("a", 5, false)})
	m.Apply([]radish.Record{record("a", 5, true)})
	if news := m.Apply([]radish.Record{record("a", 5, false)}); len(news) > 0 {
		t.Errorf("got news %v, want none", news)
	}
	m.Apply([]radish.Record{record("a", 9, false)})
	if diff := cmp.Diff(map[string]int64{"a": 9}, names(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
}

func TestListRemovesWhatItLacksButNotWhatIsNewer(t *testing.T) {
	var m Mirror
	m.Apply([]radish.Record{record("gone", 3, false), record("newer", 12, false)})
	m.Replace(radish.RecordTarget, []radish.Record{record("kept", 4, false)}, 10)
	if diff := cmp.Diff(map[string]int64{"kept": 4, "newer": 12}, names(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	if got := m.Complete(radish.RecordTarget); got != 10 {
		t.Errorf("complete up to %d, want 10", got)
	}
}

func TestSinceCarriesRemovals(t *testing.T) {
	var from, to Mirror
	from.Replace(radish.RecordTarget, []radish.Record{record("a", 3, false), record("b", 4, false)}, 5)
	to.Apply(from.Records(radish.RecordTarget))
	from.ApplyUpTo(radish.RecordTarget, []radish.Record{record("a", 8, true)}, 8)
	changes := from.Since(radish.RecordTarget, 5)
	if _, agrees := to.ApplyPeer(radish.RecordTarget, changes); !agrees {
		t.Error("the mirrors differ")
	}
	if diff := cmp.Diff(map[string]int64{"b": 4}, names(to.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
}

// TestPeerThatNeverKnewARecord has a record come and go before a peer's first list, which cannot tell of its removal: the mirror
// that knows the record notices that it differs, and takes all of the peer's records.
func TestPeerThatNeverKnewARecord(t *testing.T) {
	var peer, m Mirror
	m.ApplyUpTo(radish.RecordTarget, []radish.Record{record("kept", 3, false), record("gone", 4, false)}, 5)
	peer.Replace(radish.RecordTarget, []radish.Record{record("kept", 3, false)}, 9)
	if _, agrees := m.ApplyPeer(radish.RecordTarget, peer.Since(radish.RecordTarget, m.Complete(radish.RecordTarget))); agrees {
		t.Error("the mirrors are taken for the same")
	}
	if got := m.Complete(radish.RecordTarget); got != 5 {
		t.Errorf("complete up to %d, want 5", got)
	}
	all := peer.Since(radish.RecordTarget, 0)
	m.Replace(radish.RecordTarget, all.Records, all.Complete)
	if diff := cmp.Diff(map[string]int64{"kept": 3}, names(m.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
	if got := m.Complete(radish.RecordTarget); got != 9 {
		t.Errorf("complete up to %d, want 9", got)
	}
}

// TestOldStatesTellNothingNew has a list, a watch and a peer's answer arrive late, from before a removal of a record that the
// mirror never knew: it does not come to life.
func TestOldStatesTellNothingNew(t *testing.T) {
	var m Mirror
	m.Replace(radish.RecordTarget, nil, 9)
	old := []radish.Record{record("gone", 4, false)}
	m.Replace(radish.RecordTarget, old, 5)
	m.ApplyUpTo(radish.RecordTarget, old, 5)
	m.ApplyPeer(radish.RecordTarget, Changes{Records: old, Complete: 5})
	if left := m.Records(radish.RecordTarget); len(left) > 0 {
		t.Errorf("got %v", left)
	}
}
