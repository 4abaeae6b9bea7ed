package radishsite

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// listWait is the wait of a VM that starts for a list of records. It is limited: a VM that serves without the list is better than none.
type listWait struct {
	// name is the name of the list in log lines.
	name string
	max  time.Duration
	log  hclog.Logger

	isDone atomic.Bool
	mu     sync.Mutex
	since  time.Time
}

// isOver reports whether the list is there or the VM has waited for it long enough, from the first call on.
func (w *listWait) isOver(now time.Time, isListed func() bool) bool {
	if w.isDone.Load() {
		return true
	}
	listed := isListed()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since.IsZero() {
		w.since = now
	}
	if waited := now.Sub(w.since); (listed || waited > w.max) && w.isDone.CompareAndSwap(false, true) {
		w.log.Info(w.name+" known", "listed", listed, "waited_ms", waited.Milliseconds())
	}
	return w.isDone.Load()
}
