package radishrelay

import (
	"bufio"
	"bytes"
	"errors"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// freeEventBytes is the size of an event up to which it counts as part of the call, and eventStepBytes that of the steps in which larger
	// ones get memory.
	freeEventBytes = 8 << 10
	eventStepBytes = 16 << 10
)

var (
	// errEventTooLong reports an event over the size limit.
	errEventTooLong = errors.New("event is too long")
	// errNoEventMemory reports that the VM has no memory for the rest of an event.
	errNoEventMemory = errors.New("no memory for an event")
)

var idField = []byte("id:")

// eventReader reads the events of a stream.
type eventReader struct {
	*bufio.Reader
	// memory accounts for large events; nil means that nothing is accounted for.
	memory radish.MemoryGrant
	// reserved is the size of an event for which there is memory beyond the free part. It is kept for the following events.
	reserved int
}

// next returns the bytes of the next event, including the empty line that terminates it, and its ID. At the end of the stream it returns
// io.EOF, without bytes if the stream ended cleanly and with the partial event otherwise.
func (r *eventReader) next() (event []byte, id string, err error) {
	lineStart := 0
	for {
		part, err := r.ReadSlice('\n')
		if reserveErr := r.reserve(len(event) + len(part)); reserveErr != nil {
			return nil, "", reserveErr
		}
		event = append(r.grow(event, len(part)), part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			// The line is longer than the buffer; only its end shows whether it is empty.
			continue
		}
		if err != nil {
			return event, "", err
		}
		line := bytes.TrimRight(event[lineStart:], "\r\n")
		if len(line) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
		lineStart = len(event)
	}
}

// reserve gets memory for an event of the size.
func (r *eventReader) reserve(size int) error {
	if size > maxEventBytes {
		return errEventTooLong
	}
	for freeEventBytes+r.reserved < size {
		if r.memory != nil && !r.memory.Grow(eventStepBytes, time.Now()) {
			return errNoEventMemory
		}
		r.reserved += eventStepBytes
	}
	return nil
}

// grow returns the event with room for n more bytes, and for no more than is reserved if it is large.
func (r *eventReader) grow(event []byte, n int) []byte {
	if len(event)+n <= max(freeEventBytes, cap(event)) {
		return event
	}
	return slices.Grow(event, freeEventBytes+r.reserved-len(event))
}
