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
	// packFrom is from how many bytes on a record's value is compressed for peers.
	packFrom = 4 << 10
	// maxUnpacked bounds the value that a peer's record unpacks to, in bytes.
	maxUnpacked = 16 << 20
)

// packer turns records into messages for peers; it keeps compressed values, since several peers ask for the same ones.
type packer struct {
	mu sync.Mutex
	// packed holds, by kind and name, the value that was compressed last.
	packed map[[2]string]packedValue
}

type packedValue struct {
	revision int64
	value    []byte
}

func (p *packer) message(r radish.Record) *radishpeerpb.Record {
	m := &radishpeerpb.Record{Name: r.Name, Revision: r.Revision, Removed: r.Removed}
	if len(r.Value) < packFrom {
		m.Value = r.Value
		return m
	}
	m.PackedValue = p.pack(r)
	return m
}

func (p *packer) pack(r radish.Record) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := [2]string{string(r.Kind), r.Name}
	if known, ok := p.packed[key]; ok && known.revision == r.Revision {
		return known.value
	}
	var b bytes.Buffer
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(r.Value)
	_ = w.Close()
	if p.packed == nil {
		p.packed = make(map[[2]string]packedValue)
	}
	p.packed[key] = packedValue{revision: r.Revision, value: b.Bytes()}
	return b.Bytes()
}

// unpack returns the record of a peer's message.
func unpack(kind radish.RecordKind, m *radishpeerpb.Record) (radish.Record, error) {
	r := radish.Record{Kind: kind, Name: m.GetName(), Revision: m.GetRevision(), Removed: m.GetRemoved(), Value: m.GetValue()}
	if len(m.GetPackedValue()) == 0 {
		return r, nil
	}
	reader, err := gzip.NewReader(bytes.NewReader(m.GetPackedValue()))
	if err != nil {
		return r, fmt.Errorf("record %s: %w", m.GetName(), err)
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return r, fmt.Errorf("record %s: %w", m.GetName(), err)
	}
	if len(value) > maxUnpacked {
		return r, fmt.Errorf("record %s: %w: more than %d bytes", m.GetName(), radish.ErrBadRequest, maxUnpacked)
	}
	r.Value = value
	return r, nil
}
