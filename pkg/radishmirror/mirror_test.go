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
	records, revision := from.Since(radish.RecordTarget, 5)
	to.ApplyUpTo(radish.RecordTarget, records, revision)
	if diff := cmp.Diff(map[string]int64{"b": 4}, names(to.Records(radish.RecordTarget))); diff != "" {
		t.Error(diff)
	}
}
