package radishrelay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// readerBufferBytes is the size of the buffer with which [relayStream] reads.
const readerBufferBytes = 4096

// splitEvents is a simple reference for [readEvent]: it returns the complete events of the text, their IDs and the rest of the text.
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

// checkEvents compares readEvent with splitEvents on the text.
func checkEvents(t *testing.T, text string) {
	t.Helper()
	events, ids, rest := splitEvents(text)
	reader := bufio.NewReaderSize(strings.NewReader(text), readerBufferBytes)
	for i := range events {
		event, id, err := readEvent(reader)
		if err != nil || string(event) != events[i] || id != ids[i] {
			t.Fatalf("event %d: %d bytes, ID %.20q, %v; want %d bytes, ID %.20q", i, len(event), id, err, len(events[i]), ids[i])
		}
	}
	event, _, err := readEvent(reader)
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

// FuzzReadEvent compares readEvent with a simple reader on texts whose lines are stretched to the size of the read buffer.
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
