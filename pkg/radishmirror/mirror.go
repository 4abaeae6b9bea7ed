package radishmirror

import (
	"strconv"
	"sync"

	"radishramp.example/radishramp/pkg/radish"
)

// Mirror is a copy of the platform's records. The zero value is ready to use, and it is safe for concurrent use.
//
// When the store comes back from an older copy of itself, its era rises. The mirror then follows the new era, whose revisions are newer than all
// earlier ones. What the new era lacks or has only in an older state is kept until [Mirror.Settle], since its writers write it again.
type Mirror struct {
	mu      sync.Mutex
	records map[radish.RecordKind]map[string]radish.Record
	// completeRevisions holds, for each kind, the store revision up to which every change has been applied.
	completeRevisions map[radish.RecordKind]radish.Revision
	// outdated holds records of the current era that lack a change which the mirror got in an earlier one.
	outdated map[radish.RecordKind]map[string]radish.Record
	// settledEras holds, for each kind, the era in which it was settled last. Records of earlier eras are no longer applied.
	settledEras map[radish.RecordKind]radish.Era
	// era is the latest era that the mirror knows of; eraEnd is closed when a later one is known.
	era    radish.Era
	eraEnd chan struct{}
}

// Apply applies changes and returns those that were new. A record is new if its revision is higher than that of the
// stored record, or if it removes the stored record and its revision is not lower.
func (m *Mirror) Apply(records []radish.Record) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(records)
}

// ApplyUpTo applies changes that bring the mirror up to the given store revision and returns those that were new. It
// ignores the changes if the mirror is already complete up to a later revision, or only up to one of an earlier era.
func (m *Mirror) ApplyUpTo(kind radish.RecordKind, records []radish.Record, revision radish.Revision) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(revision.Era())
	complete := m.completeRevisions[kind]
	if revision < complete || revision.Era() > complete.Era() {
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
	m.observeEra(c.CompleteRevision.Era())
	if c.CompleteRevision < m.completeRevisions[kind] {
		return nil, true
	}
	applied = m.apply(m.keepNewerState(kind, c.Records, c.CompleteRevision))
	if m.digest(kind, c.CompleteRevision.Era()) != c.Digest {
		return applied, false
	}
	m.advance(kind, c.CompleteRevision)
	return applied, true
}

// Replace applies a full list of a kind, read at the given store revision, and returns the records that changed.
// Stored records of the same era that are missing from the list and not newer than it are removed. It ignores a list that
// is older than the revision up to which the mirror is complete.
func (m *Mirror) Replace(kind radish.RecordKind, records []radish.Record, revision radish.Revision) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(revision.Era())
	if revision < m.completeRevisions[kind] {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		// A peer also reports records that were removed, maybe at an earlier removal than the last one, and records that the store has lost.
		listed[r.Name] = !r.Removed && r.Revision.Era() == revision.Era()
	}
	applied := m.apply(m.keepNewerState(kind, records, revision))
	for name, stored := range m.records[kind] {
		if !listed[name] && stored.Revision <= revision && stored.Revision.Era() == revision.Era() {
			delete(m.outdated[kind], name)
			applied = m.remove(applied, stored, revision)
		}
	}
	m.advance(kind, revision)
	return applied
}

// remove marks the stored record as removed at the revision, unless it is, and appends it to applied.
func (m *Mirror) remove(applied []radish.Record, stored radish.Record, revision radish.Revision) []radish.Record {
	if stored.Removed {
		return applied
	}
	stored.Removed, stored.Value, stored.Revision = true, nil, revision
	m.records[stored.Kind][stored.Name] = stored
	return append(applied, stored)
}

// advance raises the complete revision of the kind; it never lowers it.
func (m *Mirror) advance(kind radish.RecordKind, revision radish.Revision) {
	if m.completeRevisions == nil {
		m.completeRevisions = make(map[radish.RecordKind]radish.Revision)
	}
	m.completeRevisions[kind] = max(m.completeRevisions[kind], revision)
}

// apply is Apply for a caller that holds m.mu.
func (m *Mirror) apply(records []radish.Record) []radish.Record {
	var applied []radish.Record
	for _, r := range records {
		if r.Revision.Era() < m.settledEras[r.Kind] {
			continue
		}
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
		if !ok || stored.Revision.Era() == r.Revision.Era() || !isSameState(stored, r) {
			applied = append(applied, r)
		}
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
func (m *Mirror) CompleteRevision(kind radish.RecordKind) radish.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.completeRevisions[kind]
}

// Changes holds the records of a kind that changed after a revision, including removed ones.
type Changes struct {
	Records []radish.Record
	// CompleteRevision is the store revision up to which Records contains every change.
	CompleteRevision radish.Revision
	// Digest is the digest of all records of the kind that exist at that revision, as far as its era has them.
	Digest uint64
}

// ChangesSince returns the changes of the kind after the revision.
func (m *Mirror) ChangesSince(kind radish.RecordKind, revision radish.Revision) Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	complete := m.completeRevisions[kind]
	c := Changes{CompleteRevision: complete, Digest: m.digest(kind, complete.Era())}
	for _, r := range m.records[kind] {
		if r.Revision > revision {
			c.Records = append(c.Records, m.asListed(r))
		}
	}
	return c
}

// digest returns a hash of the names and revisions of the kind's records in the era, regardless of their order. Two mirrors
// whose digests are equal are taken to hold the same records.
func (m *Mirror) digest(kind radish.RecordKind, era radish.Era) uint64 {
	digest := uint64(0)
	for name, r := range m.records[kind] {
		if r = m.asListed(r); !r.Removed && r.Revision.Era() == era {
			digest ^= radish.RendezvousScore(name, strconv.FormatInt(int64(r.Revision), 10))
		}
	}
	return digest
}
