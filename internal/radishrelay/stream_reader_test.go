package radishrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"time"
)

// readerBufferBytes is the size of the buffer with which [relayStream] reads.
const readerBufferBytes = 4096

// splitEvents is a simple reference for [eventReader]: it returns the complete events of the text, their IDs and the rest of the text.
func splitEvents(text string) (events, ids []string, rest string) {
	event, id := "", ""
	for text != "" {
		line, remaining, ok := strings.Cut(text, "\n")
		if !ok {
			return events, ids, event + line
		}
		event, text = event+line+"\n", remaining
		trimmed := strings.TrimRight(line, "\r")
		if value, ok := strings.CutPrefix(trimmed, "id:"); ok {
			id = strings.TrimSpace(value)
		}
		if trimmed == "" {
			events, ids = append(events, event), append(ids, id)
			event, id = "", ""
		}
	}
	return events, ids, event
}

// checkEvents compares eventReader with splitEvents on the text.
func checkEvents(t *testing.T, text string) {
	t.Helper()
	events, ids, rest := splitEvents(text)
	reader := &eventReader{Reader: bufio.NewReaderSize(strings.NewReader(text), readerBufferBytes)}
	for i := range events {
		event, id, err := reader.next()
		if err != nil || string(event) != events[i] || id != ids[i] {
			t.Fatalf("event %d: %d bytes, ID %.20q, %v; want %d bytes, ID %.20q", i, len(event), id, err, len(events[i]), ids[i])
		}
	}
	event, _, err := reader.next()
	if !errors.Is(err, io.EOF) || string(event) != rest {
		t.Fatalf("end of the stream: %d bytes, %v; want the %d bytes of an unfinished event", len(event), err, len(rest))
	}
}

// TestLinesThatFillTheReadBuffer guards against events that end too early: the end of a line that fills the read buffer exactly is no
// empty line, and the rest of a long line does not start with the ID of the event.
func TestLinesThatFillTheReadBuffer(t *testing.T) {
	for _, n := range []int{4094, 4095, 4096, 4097, 8191, 8192, 8193, 12288, 65535, 65536, 65537} {
		for _, lineEnd := range []string{"\n", "\r\n"} {
			line := "data:" + strings.Repeat("x", n-len("data:"))
			id := "data:" + strings.Repeat("y", max(0, n-len("data:"))) + "id: 7"
			checkEvents(t, "id: 1"+lineEnd+line+lineEnd+lineEnd+"id: 2"+lineEnd+id+lineEnd+lineEnd)
			checkEvents(t, "id: 1"+lineEnd+line+lineEnd)
			checkEvents(t, line)
		}
	}
}

// FuzzReadEvent compares eventReader with a simple reader on texts whose lines are stretched to the size of the read buffer.
func FuzzReadEvent(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), uint16(4096))
	f.Add([]byte("data:~\n\ndata:~id: 3\n\n"), uint16(4091))
	f.Add([]byte("\n\r\n\rid:x~\n"), uint16(8192))
	f.Fuzz(func(t *testing.T, text []byte, stretch uint16) {
		text = bytes.ReplaceAll(text, []byte("~"), bytes.Repeat([]byte("z"), int(stretch)))
		if len(text) > maxEventBytes {
			return
		}
		checkEvents(t, string(text))
	})
}

// limitedGrant grants memory up to a limit in bytes.
type limitedGrant struct{ granted, limit int64 }

// Grow implements radish.MemoryGrant.
func (g *limitedGrant) Grow(n int64, _ time.Time) bool {
	if g.granted+n > g.limit {
		return false
	}
	g.granted += n
	return true
}

// TestLargeEventsCountTowardsMemory guards against events that pile up outside the account of the VM's memory: a large event needs memory for all of
// it but the free part, small ones need none, and later events use the memory of earlier ones.
func TestLargeEventsCountTowardsMemory(t *testing.T) {
	event := func(n int) string { return "data:" + strings.Repeat("x", n-len("data:\n\n")) + "\n\n" }
	tests := []struct {
		name        string
		text        string
		limit       int64
		want        error
		wantGranted int64
	}{
		{"small events", strings.Repeat(event(freeEventBytes), 100), 0, io.EOF, 0},
		{"large event", event(500 << 10), 1 << 20, io.EOF, 496 << 10},
		{"large events one after the other", strings.Repeat(event(100<<10), 10), 200 << 10, io.EOF, 96 << 10},
		{"no memory", event(500 << 10), 100 << 10, errNoEventMemory, 96 << 10},
		{"no memory for an event without an end", strings.Repeat("x", 2<<20), 100 << 10, errNoEventMemory, 96 << 10},
		{"event without an end", strings.Repeat("x", 2<<20), 2 << 20, errEventTooLong, 1 << 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			grant := &limitedGrant{limit: test.limit}
			reader := &eventReader{Reader: bufio.NewReader(strings.NewReader(test.text)), memory: grant}
			var err error
			for err == nil {
				_, _, err = reader.next()
			}
			if !errors.Is(err, test.want) || grant.granted > test.wantGranted {
				t.Errorf("got %v with %d bytes granted, want %v with at most %d", err, grant.granted, test.want, test.wantGranted)
			}
		})
	}
}
