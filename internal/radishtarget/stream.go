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

// streamBufferBytes bounds one line of a stream; it is all that a stream of any length needs.
const streamBufferBytes = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

var (
	endEvent   = []byte("event: end")
	dataPrefix = []byte("data: ")
)

// readStream passes server-sent events on, line by line, until the end event, which must name the attempt.
// Nothing of the end event itself is passed on: the caller's end event is written by the entry.
func readStream(body io.Reader, a *radish.Attempt) error {
	r := streamBuffers.Get().(*bufio.Reader)
	r.Reset(body)
	defer streamBuffers.Put(r)
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return streamError(err)
		}
		if bytes.Equal(bytes.TrimRight(line, "\r\n"), endEvent) {
			return checkEnd(r, a.ID)
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

func checkEnd(r *bufio.Reader, attemptID string) error {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return streamError(err)
	}
	got := bytes.TrimRight(bytes.TrimPrefix(line, dataPrefix), "\r\n")
	if string(got) != attemptID {
		return fmt.Errorf("%w: end event of attempt %q", radish.ErrAttemptMismatch, got)
	}
	return nil
}
