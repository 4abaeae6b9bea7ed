package radishclaim

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestTasksBeginWhileAnotherWaits starts tasks from zero beside a waiting call, which the race detector must bear.
func TestTasksBeginWhileAnotherWaits(t *testing.T) {
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
