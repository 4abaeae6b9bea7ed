package radishtarget

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"radishramp.example/radishramp/pkg/radish"
)

// streamBufferBytes is the maximum length of a line of a stream. A stream needs no more memory than this, however long
// it is.
const streamBufferBytes = 16 << 10

var streamReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

var (
	endEvent   = []byte("event: end")
	dataPrefix = []byte("data: ")
)

// readStream copies server-sent events to the attempt's sink, line by line, up to the end event, which must contain the
// ID of the attempt. The end event itself is not copied; the entry VM writes its own end event to the caller.
func readStream(body io.Reader, a *radish.Attempt) error {
	r := streamReaders.Get().(*bufio.Reader)
	r.Reset(body)
	defer streamReaders.Put(r)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return streamError(err)
		}
		if bytes.Equal(bytes.TrimRight(line, "\r\n"), endEvent) {
			return checkEndEvent(r, a.ID)
		}
		if _, err := a.Sink.Write(line); err != nil {
			return err
		}
	}
}

func streamError(err error) error {
	if errors.Is(err, bufio.ErrBufferFull) {
		return fmt.Errorf("%w: event line over %d bytes", radish.ErrTargetFailed, streamBufferBytes)
	}
	return fmt.Errorf("%w: stream ended before its end event: %w", radish.ErrTruncated, err)
}

func checkEndEvent(r *bufio.Reader, attemptID string) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return streamError(err)
	}
	id := bytes.TrimRight(bytes.TrimPrefix(line, dataPrefix), "\r\n")
	if string(id) != attemptID {
		return fmt.Errorf("%w: end event of attempt %q", radish.ErrAttemptMismatch, id)
	}
	return nil
}
