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

// Timing and limits of the batches.
const (
	// writeTimeout is how long ops stay queued over repeated attempts. Once it has passed, the next failed attempt
	// fails the write.
	writeTimeout = 3 * time.Second
	// firstBatchDivisor gives the time for which the first batch of an object collects ops, as a fraction of the
	// interval.
	firstBatchDivisor = 8
	// retryInitialInterval and retryMaxInterval limit the delay after a failed attempt. Ops that arrive during the
	// delay join the next attempt.
	retryInitialInterval = 5 * time.Millisecond
	retryMaxInterval     = 250 * time.Millisecond
	// maxCachedObjects limits the number of objects that a VM caches between batches.
	maxCachedObjects = 256
)

// BatchWriter writes ops to claim objects. Each object has at most one update in flight, and the ops that arrive
// meanwhile share the next one. A slow platform or a version conflict therefore makes batches larger and not more
// frequent. The exported fields must be set before the first use.
type BatchWriter struct {
	Platform radish.Platform
	// Interval is the minimum time between two updates of an object. The first update waits for a fraction of it.
	Interval time.Duration

	mu sync.Mutex
	// queues has an entry for each object that a goroutine is writing.
	queues     map[string][]*pendingWrite
	cache      map[string]radish.Object
	updates    int64
	opsWritten int64
	workers    taskGroup
}

// pendingWrite is a call of Write whose ops are not written yet.
type pendingWrite struct {
	ops     []Op
	since   time.Time
	done    chan struct{}
	records []Record
	err     error
}

// Write applies the ops to the object and returns the resulting records, in the order of the ops. After an error it is
// not known which ops were applied.
func (w *BatchWriter) Write(ctx context.Context, object string, ops []Op) ([]Record, error) {
	if err := validateWrite(object, ops); err != nil {
		return nil, err
	}
	write := &pendingWrite{ops: ops, since: time.Now(), done: make(chan struct{})}
	w.enqueue(object, write)
	select {
	case <-write.done:
		return write.records, write.err
	case <-ctx.Done():
		return nil, trace.Wrap(radish.ErrAmbiguous, "claim object %s: %v", object, ctx.Err())
	}
}

// validateWrite rejects what a peer must not write: platform objects other than claim objects, ops without a name or a
// claim ID, and unknown states.
func validateWrite(object string, ops []Op) error {
	if !isClaimObjectKey(object) {
		return trace.BadParameter("%q is not a claim object", object)
	}
	for _, op := range ops {
		if op.Name == "" || op.ClaimID == "" || !op.State.isValid() {
			return trace.BadParameter("claim %q of record %q: unknown state %q", op.ClaimID, op.Name, op.State)
		}
	}
	return nil
}

func (w *BatchWriter) enqueue(object string, write *pendingWrite) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queues == nil {
		w.queues = make(map[string][]*pendingWrite)
		w.cache = make(map[string]radish.Object)
	}
	queue, running := w.queues[object]
	w.queues[object] = append(queue, write)
	if !running {
		w.workers.Go(func() { w.writeBatches(object) })
	}
}

// writeBatches writes the queued ops of one object in batches until its queue is empty.
func (w *BatchWriter) writeBatches(object string) {
	ctx := context.Background()
	obj := w.cachedObject(object)
	delay := newRetryBackOff()
	time.Sleep(w.Interval / firstBatchDivisor)
	for {
		batch := w.takeBatch(object)
		if len(batch) == 0 {
			return
		}
		next, err := w.tryCommit(ctx, obj, batch)
		if err == nil {
			obj = next
			delay.Reset()
			time.Sleep(w.Interval)
			continue
		}
		w.requeue(object, batch, err)
		time.Sleep(delay.NextBackOff())
		if fresh, err := w.readObject(ctx, object); err == nil {
			obj = fresh
		}
	}
}

func newRetryBackOff() *backoff.ExponentialBackOff {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = retryInitialInterval
	delay.MaxInterval = retryMaxInterval
	return delay
}

// takeBatch empties the object's queue and returns its content. If the queue is empty already, it removes the queue, and
// the goroutine that writes the object must end.
func (w *BatchWriter) takeBatch(object string) []*pendingWrite {
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

// requeue puts the writes of a failed attempt back at the head of the queue. It fails those that have been queued for
// longer than writeTimeout, and all of them if the object is full.
func (w *BatchWriter) requeue(object string, batch []*pendingWrite, err error) {
	var retried []*pendingWrite
	for _, write := range batch {
		if time.Since(write.since) > writeTimeout || trace.IsLimitExceeded(err) {
			write.err = trace.Wrap(radish.ErrAmbiguous, "claim object %s: %v", object, err)
			close(write.done)
			continue
		}
		retried = append(retried, write)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queues[object] = append(retried, w.queues[object]...)
}

// tryCommit updates the object once with the ops of the whole batch. Ops are idempotent, so an attempt whose response
// was lost can be repeated against the current version of the object.
func (w *BatchWriter) tryCommit(ctx context.Context, obj radish.Object, batch []*pendingWrite) (radish.Object, error) {
	value, err := parseObjectValue(obj.Value)
	if err != nil {
		return obj, err
	}
	changed := 0
	for _, write := range batch {
		write.records = write.records[:0]
		for _, op := range write.ops {
			record, isChanged := value.apply(op)
			write.records = append(write.records, record)
			if isChanged {
				changed++
			}
		}
	}
	if changed > 0 {
		if obj, err = w.putObject(ctx, obj, value, changed); err != nil {
			return obj, err
		}
	}
	for _, write := range batch {
		close(write.done)
	}
	return obj, nil
}

func (w *BatchWriter) putObject(ctx context.Context, obj radish.Object, value *objectValue, ops int) (radish.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return obj, trace.Wrap(err)
	}
	if len(data) > radish.MaxObjectBytes {
		return obj, trace.LimitExceeded("claim object %s is full", obj.Key)
	}
	version, err := w.Platform.Put(ctx, obj.Key, data, obj.Version)
	if err != nil {
		return obj, err
	}
	next := radish.Object{Key: obj.Key, Version: version, Value: data}
	w.cacheObject(next, ops)
	return next, nil
}

func (w *BatchWriter) readObject(ctx context.Context, object string) (radish.Object, error) {
	obj, err := w.Platform.Get(ctx, object)
	if errors.Is(err, radish.ErrNotFound) {
		return radish.Object{Key: object}, nil
	}
	return obj, err
}

// cachedObject returns the object as this VM last wrote it. A stale copy only costs a version conflict and a read.
func (w *BatchWriter) cachedObject(object string) radish.Object {
	w.mu.Lock()
	defer w.mu.Unlock()
	if obj, ok := w.cache[object]; ok {
		return obj
	}
	return radish.Object{Key: object}
}

// cacheObject caches an object that was just written with this many ops, and counts the update.
func (w *BatchWriter) cacheObject(obj radish.Object, ops int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.cache) >= maxCachedObjects {
		clear(w.cache)
	}
	w.cache[obj.Key] = obj
	w.updates++
	w.opsWritten += int64(ops)
}

// Wait blocks until no update is in flight and no op is queued.
func (w *BatchWriter) Wait() { w.workers.Wait() }

// Stats returns the number of successful updates and the number of ops that they wrote.
func (w *BatchWriter) Stats() (updates, ops int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates, w.opsWritten
}
