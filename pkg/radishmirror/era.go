package radishmirror

import (
	"bytes"

	"radishramp.example/radishramp/pkg/radish"
)

// ObserveEra tells the mirror that the store has reached the era. Records of earlier eras stay until they are replaced or settled.
func (m *Mirror) ObserveEra(era radish.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(era)
}

// observeEra is ObserveEra for a caller that holds m.mu.
func (m *Mirror) observeEra(era radish.Era) {
	if era <= m.era {
		return
	}
	m.era = era
	if m.eraEnd != nil {
		close(m.eraEnd)
		m.eraEnd = nil
	}
}

// Era returns the latest era of the store that the mirror knows of.
func (m *Mirror) Era() radish.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// EraEnd returns a channel that is closed once a later era than the given one is known.
func (m *Mirror) EraEnd(era radish.Era) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.eraEnd == nil {
		m.eraEnd = make(chan struct{})
	}
	if m.era > era {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return m.eraEnd
}

// isSameState reports whether the records say the same, whatever their revisions are.
func isSameState(a, b radish.Record) bool {
	return a.Removed == b.Removed && bytes.Equal(a.Value, b.Value)
}

// keepNewerState returns the records of a list or of a peer as they are to be applied at the revision. Where that begins a new era for the kind,
// a record of the copy may lack a change that the mirror has, such as that a target leaves: it then gets the state that the mirror has.
func (m *Mirror) keepNewerState(kind radish.RecordKind, records []radish.Record, revision radish.Revision) []radish.Record {
	if kind != radish.RecordTarget || revision.Era() == m.completeRevisions[kind].Era() {
		return records
	}
	kept := make([]radish.Record, 0, len(records))
	for _, r := range records {
		stored, ok := m.records[kind][r.Name]
		if ok && m.lacksChange(r, stored) {
			m.setOutdated(r)
			r.Removed, r.Value = stored.Removed, stored.Value
		}
		kept = append(kept, r)
	}
	return kept
}

// lacksChange reports whether a record of a new era is older than the stored one of an earlier era. A stored one that was itself kept in place of
// an outdated record is newer than whatever does not come after that record.
func (m *Mirror) lacksChange(r, stored radish.Record) bool {
	if stored.Revision.Era() >= r.Revision.Era() || isSameState(stored, r) {
		return false
	}
	if listed, ok := m.outdated[r.Kind][r.Name]; ok && listed.Revision == stored.Revision {
		return r.Revision.Number() <= listed.Revision.Number()
	}
	return r.Revision.Number() < stored.Revision.Number()
}

func (m *Mirror) setOutdated(r radish.Record) {
	if m.outdated == nil {
		m.outdated = make(map[radish.RecordKind]map[string]radish.Record)
	}
	if m.outdated[r.Kind] == nil {
		m.outdated[r.Kind] = make(map[string]radish.Record)
	}
	m.outdated[r.Kind][r.Name] = r
}

// asListed returns the record as the store has it, for peers that do not know better.
func (m *Mirror) asListed(r radish.Record) radish.Record {
	if listed, ok := m.outdated[r.Kind][r.Name]; ok && listed.Revision == r.Revision {
		return listed
	}
	return r
}

// Unsettled returns the records of the kind that the store lacks in its current era and that [Mirror.Settle] would remove.
func (m *Mirror) Unsettled(kind radish.RecordKind) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []radish.Record
	for _, r := range m.records[kind] {
		if m.isLost(r) {
			records = append(records, r)
		}
	}
	return records
}

// isLost reports whether the store had the record in an earlier era only.
func (m *Mirror) isLost(r radish.Record) bool {
	return !r.Removed && r.Revision.Era() < m.completeRevisions[r.Kind].Era()
}

// Settle makes the records of the kind those that the store has in its current era, and returns the records that changed. It is called when their
// writers have had the time to write them again.
func (m *Mirror) Settle(kind radish.RecordKind) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var applied []radish.Record
	for _, stored := range m.records[kind] {
		if m.isLost(stored) {
			applied = m.remove(applied, stored, m.completeRevisions[kind])
		}
	}
	for name, r := range m.outdated[kind] {
		isCurrent := r.Revision.Era() == m.completeRevisions[kind].Era()
		if isCurrent && m.records[kind][name].Revision == r.Revision {
			m.records[kind][name] = r
			applied = append(applied, r)
		}
	}
	delete(m.outdated, kind)
	if m.settledEras == nil {
		m.settledEras = make(map[radish.RecordKind]radish.Era)
	}
	m.settledEras[kind] = m.completeRevisions[kind].Era()
	return applied
}
