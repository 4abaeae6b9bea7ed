package radishmirror

import (
	"strconv"
	"sync"

	"radishramp.example/radishramp/pkg/radish"
)

// Mirror is a copy of the platform's records. The zero value is ready to use, and it is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	records map[radish.RecordKind]map[string]radish.Record
	// completeRevisions holds, for each kind, the store revision up to which every change has been applied.
	completeRevisions map[radish.RecordKind]int64
}

// Apply applies changes and returns those that were new. A record is new if its revision is higher than that of the
// stored record, or if it removes the stored record and its revision is not lower.
func (m *Mirror) Apply(records []radish.Record) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(records)
}

// ApplyUpTo applies changes that bring the mirror up to the given store revision and returns those that were new. It
// ignores the changes if the mirror is already complete up to a later revision.
func (m *Mirror) ApplyUpTo(kind radish.RecordKind, records []radish.Record, revision int64) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.completeRevisions[kind] {
		return nil
	}
	applied := m.apply(records)
	m.advance(kind, revision)
	return applied
}

// ApplyPeerChanges applies changes received from a peer and returns those that were new. If the mirror still differs from
// the peer's afterwards, matches is false and the complete revision stays as it was: the peer cannot report the
// removal of a record that was created and removed before the peer's first list. Changes from a peer that is behind
// this mirror are ignored, and matches is then true.
func (m *Mirror) ApplyPeerChanges(kind radish.RecordKind, c Changes) (applied []radish.Record, matches bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.CompleteRevision < m.completeRevisions[kind] {
		return nil, true
	}
	applied = m.apply(c.Records)
	if m.digest(kind) != c.Digest {
		return applied, false
	}
	m.advance(kind, c.CompleteRevision)
	return applied, true
}

// Replace applies a full list of a kind, read at the given store revision, and returns the records that changed.
// Stored records that are missing from the list and not newer than it are removed. It ignores a list that is older
// than the revision up to which the mirror is complete.
func (m *Mirror) Replace(kind radish.RecordKind, records []radish.Record, revision int64) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.completeRevisions[kind] {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		// A peer also reports records that were removed, maybe at an earlier removal than the last one.
		listed[r.Name] = !r.Removed
	}
	applied := m.apply(records)
	for name, stored := range m.records[kind] {
		if !listed[name] && !stored.Removed && stored.Revision <= revision {
			stored.Removed, stored.Value, stored.Revision = true, nil, revision
			m.records[kind][name] = stored
			applied = append(applied, stored)
		}
	}
	m.advance(kind, revision)
	return applied
}

// advance raises the complete revision of the kind; it never lowers it.
func (m *Mirror) advance(kind radish.RecordKind, revision int64) {
	if m.completeRevisions == nil {
		m.completeRevisions = make(map[radish.RecordKind]int64)
	}
	m.completeRevisions[kind] = max(m.completeRevisions[kind], revision)
}

// apply is Apply for a caller that holds m.mu.
func (m *Mirror) apply(records []radish.Record) []radish.Record {
	var applied []radish.Record
	for _, r := range records {
		if m.records == nil {
			m.records = make(map[radish.RecordKind]map[string]radish.Record)
		}
		byName := m.records[r.Kind]
		if byName == nil {
			byName = make(map[string]radish.Record)
			m.records[r.Kind] = byName
		}
		stored, ok := byName[r.Name]
		isRemoval := r.Removed && ok && !stored.Removed && r.Revision >= stored.Revision
		if ok && r.Revision <= stored.Revision && !isRemoval {
			continue
		}
		if r.Removed {
			r.Value = nil
		}
		byName[r.Name] = r
		applied = append(applied, r)
	}
	return applied
}

// Record returns the newest record with the name, also if it was removed; ok is false if there never was one.
func (m *Mirror) Record(kind radish.RecordKind, name string) (r radish.Record, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok = m.records[kind][name]
	return r, ok
}

// Records returns the records of the kind that have not been removed, in no particular order.
func (m *Mirror) Records(kind radish.RecordKind) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []radish.Record
	for _, r := range m.records[kind] {
		if !r.Removed {
			records = append(records, r)
		}
	}
	return records
}

// CompleteRevision returns the store revision up to which all changes of the kind have been applied; 0 before the first list.
func (m *Mirror) CompleteRevision(kind radish.RecordKind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeRevisions[kind]
}

// Changes holds the records of a kind that changed after a revision, including removed ones.
type Changes struct {
	Records []radish.Record
	// CompleteRevision is the store revision up to which Records contains every change.
	CompleteRevision int64
	// Digest is the digest of all records of the kind that exist at that revision.
	Digest uint64
}

// ChangesSince returns the changes of the kind after the revision.
func (m *Mirror) ChangesSince(kind radish.RecordKind, revision int64) Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Changes{CompleteRevision: m.completeRevisions[kind], Digest: m.digest(kind)}
	for _, r := range m.records[kind] {
		if r.Revision > revision {
			c.Records = append(c.Records, r)
		}
	}
	return c
}

// digest returns a hash of the names and revisions of the kind's records, regardless of their order. Two mirrors whose
// digests are equal are taken to hold the same records.
func (m *Mirror) digest(kind radish.RecordKind) uint64 {
	digest := uint64(0)
	for name, r := range m.records[kind] {
		if !r.Removed {
			digest ^= radish.RendezvousScore(name, strconv.FormatInt(r.Revision, 10))
		}
	}
	return digest
}
