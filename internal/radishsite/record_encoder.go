package radishsite

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"sync"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

const (
	// compressThreshold is the size in bytes from which a record's value is compressed for peers.
	compressThreshold = 4 << 10
	// maxDecompressedBytes limits the decompressed size of a value received from a peer.
	maxDecompressedBytes = 16 << 20
)

// recordEncoder converts records to protobuf messages. It caches compressed values, since several peers request the same
// records.
type recordEncoder struct {
	mu sync.Mutex
	// cache maps the kind and name of a record to its most recently compressed value.
	cache map[[2]string]compressedValue
}

type compressedValue struct {
	revision radish.Revision
	value    []byte
}

func (e *recordEncoder) encode(r radish.Record) *radishpeerpb.Record {
	m := &radishpeerpb.Record{Name: r.Name, Revision: int64(r.Revision), Removed: r.Removed}
	if len(r.Value) < compressThreshold {
		m.Value = r.Value
		return m
	}
	m.PackedValue = e.compress(r)
	return m
}

func (e *recordEncoder) compress(r radish.Record) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := [2]string{string(r.Kind), r.Name}
	if cached, ok := e.cache[key]; ok && cached.revision == r.Revision {
		return cached.value
	}
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(r.Value)
	_ = w.Close()
	if e.cache == nil {
		e.cache = make(map[[2]string]compressedValue)
	}
	e.cache[key] = compressedValue{revision: r.Revision, value: b.Bytes()}
	return b.Bytes()
}

// decodeRecord converts a peer's message to a record and decompresses its value if needed.
func decodeRecord(kind radish.RecordKind, m *radishpeerpb.Record) (radish.Record, error) {
	r := radish.Record{Kind: kind, Name: m.GetName(), Revision: radish.Revision(m.GetRevision()), Removed: m.GetRemoved(), Value: m.GetValue()}
	if len(m.GetPackedValue()) == 0 {
		return r, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(m.GetPackedValue()))
	if err != nil {
		return r, fmt.Errorf("record %s: %w", m.GetName(), err)
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return r, fmt.Errorf("record %s: %w", m.GetName(), err)
	}
	if len(value) > maxDecompressedBytes {
		return r, fmt.Errorf("record %s: %w: more than %d bytes", m.GetName(), radish.ErrBadRequest, maxDecompressedBytes)
	}
	r.Value = value
	return r, nil
}
