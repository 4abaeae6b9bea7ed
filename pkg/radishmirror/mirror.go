package radishmirror

import (
	"strconv"
	"sync"

	"radishramp.example/radishramp/pkg/radish"
)

// Mirror is the copy; the zero value is ready.
type Mirror struct {
	mu      sync.Mutex
	records map[radish.RecordKind]map[string]radish.Record
	// complete is, by kind, the store's revision up to which every change is known.
	complete map[radish.RecordKind]int64
}

// Apply takes changes in and returns those that were news. A record is news when its revision is above the known one,
// or when it removes the known one.
func (m *Mirror) Apply(records []radish.Record) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.apply(records)
}

// ApplyUpTo takes in changes after which all up to the revision are known, and returns those that were news. What was
// complete only before what is known here tells nothing new.
func (m *Mirror) ApplyUpTo(kind radish.RecordKind, records []radish.Record, revision int64) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.complete[kind] {
		return nil
	}
	news := m.apply(records)
	m.raise(kind, revision)
	return news
}

// ApplyPeer takes in a peer's changes and returns those that were news. When the records differ from the peer's after that,
// agrees is false and not all up to the peer's revision are known: a peer does not know of a record that came and went
// before its first list.
func (m *Mirror) ApplyPeer(kind radish.RecordKind, c Changes) (news []radish.Record, agrees bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Complete < m.complete[kind] {
		return nil, true
	}
	news = m.apply(c.Records)
	if m.digest(kind) != c.Digest {
		return news, false
	}
	m.raise(kind, c.Complete)
	return news, true
}

// Replace takes in a whole list that holds at the revision and returns what was news: records that the list lacks and
// that are not newer than it are removed. A list from before what is known here tells nothing new.
func (m *Mirror) Replace(kind radish.RecordKind, records []radish.Record, revision int64) []radish.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision < m.complete[kind] {
		return nil
	}
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Name] = true
	}
	news := m.apply(records)
	for name, known := range m.records[kind] {
		if !listed[name] && !known.Removed && known.Revision <= revision {
			known.Removed, known.Value, known.Revision = true, nil, revision
			m.records[kind][name] = known
			news = append(news, known)
		}
	}
	m.raise(kind, revision)
	return news
}

func (m *Mirror) raise(kind radish.RecordKind, revision int64) {
	if m.complete == nil {
		m.complete = make(map[radish.RecordKind]int64)
	}
	m.complete[kind] = max(m.complete[kind], revision)
}

func (m *Mirror) apply(records []radish.Record) []radish.Record {
	var news []radish.Record
	for _, r := range records {
		if m.records == nil {
			m.records = make(map[radish.RecordKind]map[string]radish.Record)
		}
		byName := m.records[r.Kind]
		if byName == nil {
			byName = make(map[string]radish.Record)
			m.records[r.Kind] = byName
		}
		known, ok := byName[r.Name]
		isRemoval := r.Removed && ok && !known.Removed && r.Revision >= known.Revision
		if ok && r.Revision <= known.Revision && !isRemoval {
			continue
		}
		if r.Removed {
			r.Value = nil
		}
		byName[r.Name] = r
		news = append(news, r)
	}
	return news
}

// Records returns the records of the kind that are there.
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

// Complete returns the revision up to which all changes of the kind are known; 0 before the first list.
func (m *Mirror) Complete(kind radish.RecordKind) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.complete[kind]
}

// Changes are the records of a kind that changed after a revision, removed ones included.
type Changes struct {
	Records []radish.Record
	// Complete is the revision up to which they are all, Digest that of all records that are there then.
	Complete int64
	Digest   uint64
}

// Since returns the changes after the revision.
func (m *Mirror) Since(kind radish.RecordKind, revision int64) Changes {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := Changes{Complete: m.complete[kind], Digest: m.digest(kind)}
	for _, r := range m.records[kind] {
		if r.Revision > revision {
			c.Records = append(c.Records, r)
		}
	}
	return c
}

// digest tells mirrors apart that hold other records, or other revisions of them.
func (m *Mirror) digest(kind radish.RecordKind) uint64 {
	digest := uint64(0)
	for name, r := range m.records[kind] {
		if !r.Removed {
			digest ^= radish.RendezvousScore(name, strconv.FormatInt(r.Revision, 10))
		}
	}
	return digest
}
