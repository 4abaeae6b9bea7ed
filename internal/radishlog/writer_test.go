package radishlog

import (
	"bytes"
	"strings"
	"testing"
)

// stuckWriter blocks until it is let go.
type stuckWriter struct {
	release chan struct{}
	got     bytes.Buffer
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.got.Write(p)
}

func TestWriterDoesNotBlockAndTellsDrops(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 2 * queueLines
	for range lines {
		if _, err := w.Write([]byte(strings.Repeat("-", flushBytes/64) + "line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	w.Close()
	text := out.got.String()
	if !strings.Contains(text, "log lines dropped") {
		t.Error("no line tells the drops")
	}
	if n := strings.Count(text, "line\n"); n < queueLines || n >= lines {
		t.Errorf("got %d lines, want at least %d and fewer than %d", n, queueLines, lines)
	}
}
