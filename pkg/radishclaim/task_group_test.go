package radishclaim

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestTaskGroupStartsTaskDuringWait starts the first task of a group concurrently with Wait. The race detector must not
// report it, and Wait must not return before tasks that were started earlier have ended.
func TestTaskGroupStartsTaskDuringWait(t *testing.T) {
	const rounds = 1000
	for range rounds {
		var tasks taskGroup
		var ended atomic.Int32
		var callers sync.WaitGroup
		callers.Go(func() { tasks.Go(func() { ended.Add(1) }) })
		callers.Go(tasks.Wait)
		callers.Wait()
		tasks.Wait()
		if ended.Load() != 1 {
			t.Fatal("Wait returned before the task ended")
		}
	}
}
