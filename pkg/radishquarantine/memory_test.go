package radishquarantine

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestPartsDoNotHoldHeads guards against known and cut parts of prompts whose IDs hold on to the whole headers that they were decoded from.
func TestPartsDoNotHoldHeads(t *testing.T) {
	const calls, headerBytes, maxBytes = 1000, 15_000, 1 << 20
	for _, name := range []string{"answered", "cut"} {
		t.Run(name, func(t *testing.T) {
			q, now := &Quarantine{}, time.Now()
			before := heapBytes()
			for i := range 2 * calls {
				header := fmt.Sprintf("%06d:1,", i%calls) + strings.Repeat("x", headerBytes)
				parts := []string{header[:6]}
				if name == "answered" {
					q.RecordAnswer("a", parts, now)
				} else {
					q.RecordCrash(radish.Target{Name: fmt.Sprint("i-", i%10), Service: "a"}, parts, now)
				}
			}
			if took := heapBytes() - before; took > maxBytes {
				t.Errorf("%d calls hold %d bytes, want at most %d", calls, took, maxBytes)
			}
			runtime.KeepAlive(q)
		})
	}
}
