package radishlog

import (
	"bytes"
	"strings"
	"testing"
)

// blockedWriter blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestFullQueueDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const lines = 2 * queueCapacity
	for range lines {
		if _, err := w.Write([]byte(strings.Repeat("-", writeBytes/64) + "line\n")); err != nil {
			t.Fatal(err)
		}
	}
	close(out.release)
	w.Close()
	text := out.written.String()
	if !strings.Contains(text, "log lines dropped") {
		t.Error("no log line reports the dropped lines")
	}
	if n := strings.Count(text, "line\n"); n < queueCapacity || n >= lines {
		t.Errorf("got %d lines, want at least %d and fewer than %d", n, queueCapacity, lines)
	}
}
