package radishclaim

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radish"
)

// Times and bounds of the batches.
const (
	// writeTimeout is how long ops wait for their update over all its tries.
	writeTimeout = 3 * time.Second
	// firstFraction is the part of the interval for which the first batch of an object collects ops.
	firstFraction = 8
	// retryInitial and retryLimit bound the wait after a try that failed; ops that come meanwhile join the next one.
	retryInitial = 5 * time.Millisecond
	retryLimit   = 250 * time.Millisecond
	// cachedObjects bounds the objects that a VM remembers between batches.
	cachedObjects = 256
)

// BatchWriter writes ops to claim objects. One update of an object is under way at a time, and whatever comes
// meanwhile shares the next one, so a slow platform or a conflict makes batches larger and not more frequent. Set
// the exported fields before first use.
type BatchWriter struct {
	Platform radish.Platform
	// Interval is the least time between two updates of an object; the first one waits a small part of it.
	Interval time.Duration

	mu      sync.Mutex
	queues  map[string][]*waiter
	cache   map[string]radish.Object
	updates int64
	written int64
	working taskGroup
}

// waiter is a call of Write that waits for its ops.
type waiter struct {
	ops     []Op
	since   time.Time
	done    chan struct{}
	records []Record
	err     error
}

// Write carries out the ops on the object and returns the records that stand afterwards, in order. An error means
// that it is not known which ops were carried out.
func (w *BatchWriter) Write(ctx context.Context, object string, ops []Op) ([]Record, error) {
	if err := checkWrite(object, ops); err != nil {
		return nil, err
	}
	call := &waiter{ops: ops, since: time.Now(), done: make(chan struct{})}
	w.join(object, call)
	select {
	case <-call.done:
		return call.records, call.err
	case <-ctx.Done():
		return nil, trace.Wrap(radish.ErrAmbiguous, "claim object %s: %v", object, ctx.Err())
	}
}

// checkWrite refuses what a peer may not change: other objects of the platform, and records to no known state.
func checkWrite(object string, ops []Op) error {
	if !isClaimObject(object) {
		return trace.BadParameter("%q is not a claim object", object)
	}
	for _, op := range ops {
		if op.Name == "" || op.ClaimID == "" || !op.State.isKnown() {
			return trace.BadParameter("claim %q of record %q: unknown state %q", op.ClaimID, op.Name, op.State)
		}
	}
	return nil
}

func (w *BatchWriter) join(object string, call *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queues == nil {
		w.queues = make(map[string][]*waiter)
		w.cache = make(map[string]radish.Object)
	}
	queue, running := w.queues[object]
	w.queues[object] = append(queue, call)
	if !running {
		w.working.Go(func() { w.work(object) })
	}
}

// work writes batches of one object until none waits.
func (w *BatchWriter) work(object string) {
	ctx := context.Background()
	obj := w.cached(object)
	wait := newRetryWait()
	time.Sleep(w.Interval / firstFraction)
	for {
		batch := w.take(object)
		if len(batch) == 0 {
			return
		}
		next, err := w.tryCommit(ctx, obj, batch)
		if err == nil {
			obj = next
			wait.Reset()
			time.Sleep(w.Interval)
			continue
		}
		w.putBack(object, batch, err)
		time.Sleep(wait.NextBackOff())
		if fresh, err := w.read(ctx, object); err == nil {
			obj = fresh
		}
	}
}

func newRetryWait() *backoff.ExponentialBackOff {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryInitial
	wait.MaxInterval = retryLimit
	return wait
}

// take returns the calls that wait for the object and ends the object's work when there are none.
func (w *BatchWriter) take(object string) []*waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.queues[object]
	if len(batch) == 0 {
		delete(w.queues, object)
		return nil
	}
	w.queues[object] = nil
	return batch
}

// putBack lets the calls of a failed try wait for the next one, but for those that have waited too long.
func (w *BatchWriter) putBack(object string, batch []*waiter, err error) {
	var again []*waiter
	for _, call := range batch {
		if time.Since(call.since) > writeTimeout || trace.IsLimitExceeded(err) {
			call.err = trace.Wrap(radish.ErrAmbiguous, "claim object %s: %v", object, err)
			close(call.done)
			continue
		}
		again = append(again, call)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queues[object] = append(again, w.queues[object]...)
}

// tryCommit updates the object once with the ops of all calls. Ops are idempotent, so a try whose answer was lost
// is repeated against the object as it is then.
func (w *BatchWriter) tryCommit(ctx context.Context, obj radish.Object, batch []*waiter) (radish.Object, error) {
	s, err := parseShard(obj.Value)
	if err != nil {
		return obj, err
	}
	changed := 0
	for _, call := range batch {
		call.records = call.records[:0]
		for _, op := range call.ops {
			record, isNew := s.apply(op)
			call.records = append(call.records, record)
			if isNew {
				changed++
			}
		}
	}
	if changed > 0 {
		if obj, err = w.put(ctx, obj, s, changed); err != nil {
			return obj, err
		}
	}
	for _, call := range batch {
		close(call.done)
	}
	return obj, nil
}

func (w *BatchWriter) put(ctx context.Context, obj radish.Object, s *shard, ops int) (radish.Object, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return obj, trace.Wrap(err)
	}
	if len(value) > radish.MaxObjectBytes {
		return obj, trace.LimitExceeded("claim object %s is full", obj.Key)
	}
	version, err := w.Platform.Put(ctx, obj.Key, value, obj.Version)
	if err != nil {
		return obj, err
	}
	next := radish.Object{Key: obj.Key, Version: version, Value: value}
	w.remember(next, ops)
	return next, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (w *BatchWriter) read(ctx context.Context, object string) (radish.Object, error) {
	obj, err := w.Platform.Get(ctx, object)
	if errors.Is(err, radish.ErrNotFound) {
		return radish.Object{Key: object}, nil
	}
	return obj, err
}

// cached returns the object as last written here; a stale one costs a conflict and a read, nothing more.
func (w *BatchWriter) cached(object string) radish.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	if obj, ok := w.cache[object]; ok {
		return obj
	}
	return radish.Object{Key: object}
}

func (w *BatchWriter) remember(obj radish.Object, ops int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cache) >= cachedObjects {
		clear(w.cache)
	}
	w.cache[obj.Key] = obj
	w.updates++
	w.written += int64(ops)
}

// Wait returns once no update is under way and no op waits.
func (w *BatchWriter) Wait() { w.working.Wait() }

// Stats returns the updates made so far and the ops that they carried.
func (w *BatchWriter) Stats() (updates, ops int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates, w.written
}
