package radishsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// maxPauses is how many pauses a follower waits at most while others of its VM try the store.
const maxPauses = 4

// Outage has the followers of one VM share the attempts to reach a store that does not answer: while one fails, the
// others wait, and once one is answered, they go on. The zero value is ready.
type Outage struct {
	mu       sync.Mutex
	failedAt time.Time
	answered chan struct{}
}

// Answered notes that the store answered a call.
func (o *Outage) Answered() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedAt = time.Time{}
	if o.answered != nil {
		close(o.answered)
		o.answered = nil
	}
}

// Failed notes that the store did not answer a call.
func (o *Outage) Failed(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedAt = now
}

// Wait waits about the pause, and a few times longer while another follower has failed meanwhile.
func (o *Outage) Wait(ctx context.Context, pause time.Duration) {
	began := time.Now()
	sleep(ctx, jitter(pause))
	for range maxPauses - 1 {
		answered, isFailing := o.since(began)
		if !isFailing || ctx.Err() != nil {
			return
		}
		began = time.Now()
		timer := time.NewTimer(jitter(pause))
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// since tells whether a call has failed since the time and none was answered, and returns what is closed by an answer.
func (o *Outage) since(t time.Time) (answered <-chan struct{}, isFailing bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answered == nil {
		o.answered = make(chan struct{})
	}
	return o.answered, o.failedAt.After(t)
}

// jitter returns a time between a half and one and a half of d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
