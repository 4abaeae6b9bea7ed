package radishlog

import (
	"bytes"
	"sync"
	"testing"
)

// TestWriteAfterClose writes beside and after the end of the log, as a request does that outlives its process's last
// step: the lines are dropped, and no write fails or ends the process.
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
			t.Error("a line was written after the end")
		}
	}
}
