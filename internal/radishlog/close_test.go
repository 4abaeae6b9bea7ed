package radishlog

import (
	"bytes"
	"sync"
	"testing"
)

// TestWriteAfterClose writes during and after Close, as requests do that are still running when the process shuts down.
// Lines written after Close must be dropped, and no write may fail or panic.
func TestWriteAfterClose(t *testing.T) {
	for range 200 {
		var out bytes.Buffer
		w := NewWriter(&out)
		var writers sync.WaitGroup
		for range 4 {
			writers.Go(func() {
				for range 50 {
					if _, err := w.Write([]byte("line\n")); err != nil {
						t.Error(err)
					}
				}
			})
		}
		w.Close()
		writers.Wait()
		if _, err := w.Write([]byte("late\n")); err != nil {
			t.Error(err)
		}
		w.Close()
		if bytes.Contains(out.Bytes(), []byte("late")) {
			t.Error("a line was written after Close")
		}
	}
}
