package radish

import (
	"bytes"
	"io"
)

// Body is the body of a request in the parts in which it was read, so that it is held only once.
type Body [][]byte

// Len returns the number of bytes.
func (b Body) Len() int64 {
	var n int64
	for _, part := range b {
		n += int64(len(part))
	}
	return n
}

// NewReader returns a reader of the whole body.
func (b Body) NewReader() io.Reader {
	readers := make([]io.Reader, len(b))
	for i, part := range b {
		readers[i] = bytes.NewReader(part)
	}
	return io.MultiReader(readers...)
}
