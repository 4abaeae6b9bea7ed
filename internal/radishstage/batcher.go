package radishstage

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// recheckInterval is how often waiting pieces are looked at when nothing happens.
	recheckInterval = 50 * time.Millisecond
	// freeDelay collects results that are given up at about the same time into one call.
	freeDelay = 50 * time.Millisecond
	// freeTimeout bounds the call that gives results up.
	freeTimeout = time.Second
	// maxTries is how many calls a piece may be part of.
	maxTries = 4
	// slowFactor and slowSlack are after how much more than the expected time of a call its pieces are also sent elsewhere.
	slowFactor = 1.5
	slowSlack  = 150 * time.Millisecond
	// giveUpFactor is after how many times the expected time a call is given up.
	giveUpFactor = 6
	// fullPause is how long a target that turned a call away is left alone.
	fullPause = 100 * time.Millisecond
)

// Request asks for pieces of one stage of one call.
type Request struct {
	Service string
	Pieces  []radish.Piece
	// Due is when the results are needed for the call to be in time, Deadline when they are of no more use.
	Due      time.Time
	Deadline time.Time
	// ResultBytes is about the size of one result.
	ResultBytes int64
	// Near is the data centre in which the results are needed; "" when it does not matter.
	Near string
}

// Batcher runs the pieces of one stage service in shared calls; set the exported fields before first use.
type Batcher struct {
	Service string
	Fleet   *radishfleet.Fleet
	Client  radish.StageClient
	// Batch returns how a target of the service works; nil while the service is not configured.
	Batch func() *radishroute.Batch
	Log   hclog.Logger

	mu      sync.Mutex
	queue   radishbatch.Queue
	jobs    map[*radishbatch.Item]*job
	targets map[string]*slot
	recheck *time.Timer
}

// job is one request whose pieces wait or run.
type job struct {
	results []radish.PieceResult
	left    int
	done    chan struct{}
	index   map[*radishbatch.Item]int
}

// slot is what the batcher knows of one target's calls and results.
type slot struct {
	calls   int
	blocked time.Time
	results map[string]held
	// slowness is the moving average of the time of calls in parts of the expected time.
	slowness float64
	freeing  []string
	freeSoon bool
}

// held is a result that takes up room at its maker.
type held struct {
	bytes int64
	until time.Time
}

// Run runs the request's pieces and returns one result a piece. When ctx ends, pieces that wait are dropped.
func (b *Batcher) Run(ctx context.Context, req *Request) ([]radish.PieceResult, error) {
	j := &job{
		results: make([]radish.PieceResult, len(req.Pieces)), left: len(req.Pieces), done: make(chan struct{}),
		index: make(map[*radishbatch.Item]int, len(req.Pieces)),
	}
	b.mu.Lock()
	for n, piece := range req.Pieces {
		item := &radishbatch.Item{Piece: piece, Due: req.Due, Deadline: req.Deadline, Bytes: req.ResultBytes, Near: req.Near}
		j.index[item] = n
		b.addJob(item, j)
		b.queue.Add(item)
	}
	b.dispatch(time.Now())
	b.mu.Unlock()
	select {
	case <-j.done:
		return j.results, nil
	case <-ctx.Done():
		b.drop(j)
		return nil, ctx.Err()
	}
}

func (b *Batcher) addJob(item *radishbatch.Item, j *job) {
	if b.jobs == nil {
		b.jobs = make(map[*radishbatch.Item]*job)
		b.targets = make(map[string]*slot)
	}
	b.jobs[item] = j
}

// drop forgets a job whose caller has left and gives up the results that it has.
func (b *Batcher) drop(j *job) {
	b.mu.Lock()
	b.queue.Remove(func(i *radishbatch.Item) bool { return b.jobs[i] == j })
	for item := range j.index {
		delete(b.jobs, item)
	}
	b.mu.Unlock()
	b.Free(Handles(j.results))
}

// Handles returns the handles of the results that there are.
func Handles(results []radish.PieceResult) []string {
	var handles []string
	for _, r := range results {
		if r.Handle != "" {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// Waiting returns how many pieces wait.
func (b *Batcher) Waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Len()
}

// Wake looks at the waiting pieces again, as when targets have changed.
func (b *Batcher) Wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dispatch(time.Now())
}

// finish records a piece's result; the first one counts.
func (b *Batcher) finish(item *radishbatch.Item, r radish.PieceResult) bool {
	j := b.jobs[item]
	if j == nil {
		return false
	}
	delete(b.jobs, item)
	j.results[j.index[item]] = r
	j.left--
	if j.left == 0 {
		close(j.done)
	}
	return true
}

// dispatch starts calls at targets with room for one.
func (b *Batcher) dispatch(now time.Time) {
	batch := b.Batch()
	if batch == nil {
		b.expire(now, 0)
		b.scheduleRecheck()
		return
	}
	b.expire(now, batch.CallTime+batch.PieceTime)
	usable := b.Fleet.Usable(b.Service, now)
	idle := b.idle(usable, batch, now)
	for n, target := range idle {
		call := radishbatch.Call{
			Target: target.Name, DataCentre: target.DataCentre, MaxPieces: batch.MaxPieces, RoomBytes: b.room(target.Name, batch, now),
			CallTime: batch.CallTime, PieceTime: batch.PieceTime, IdleTargets: len(idle) - n, UsableTargets: len(usable),
		}
		if items := b.queue.Take(call, now); len(items) > 0 {
			b.start(target, batch, items, now)
		}
	}
	b.scheduleRecheck()
}

func (b *Batcher) expire(now time.Time, least time.Duration) {
	for _, item := range b.queue.Expire(now, least) {
		b.finish(item, radish.PieceResult{Outcome: radish.PieceLate})
	}
}

// idle returns the targets that can take a call now, those that have been fast first.
func (b *Batcher) idle(usable []radish.Target, batch *radishroute.Batch, now time.Time) []radish.Target {
	var idle []radish.Target
	for _, t := range usable {
		s := b.slotOf(t.Name)
		if s.calls < batch.Slots && !now.Before(s.blocked) {
			idle = append(idle, t)
		}
	}
	sortBySlowness(idle, func(t radish.Target) float64 { return b.slotOf(t.Name).slowness })
	return idle
}

func (b *Batcher) slotOf(name string) *slot {
	if b.targets == nil {
		b.targets = make(map[string]*slot)
	}
	s := b.targets[name]
	if s == nil {
		s = &slot{results: make(map[string]held), slowness: 1}
		b.targets[name] = s
	}
	return s
}

// room is how much of the target's room for results is not taken by results that are known here.
func (b *Batcher) room(name string, batch *radishroute.Batch, now time.Time) int64 {
	s := b.slotOf(name)
	room := batch.RoomBytes
	for handle, h := range s.results {
		if now.After(h.until) {
			delete(s.results, handle)
			continue
		}
		room -= h.bytes
	}
	return room
}

func (b *Batcher) scheduleRecheck() {
	if b.queue.Len() == 0 {
		return
	}
	if b.recheck == nil {
		b.recheck = time.AfterFunc(recheckInterval, b.Wake)
		return
	}
	b.recheck.Reset(recheckInterval)
}

func (b *Batcher) start(t radish.Target, batch *radishroute.Batch, items []*radishbatch.Item, now time.Time) {
	s := b.slotOf(t.Name)
	s.calls++
	expected := batch.CallTime + time.Duration(len(items))*batch.PieceTime
	pieces := make([]radish.Piece, len(items))
	for i, item := range items {
		item.Tries++
		item.Avoid = t.Name
		pieces[i] = item.Piece
		pieces[i].Left = item.Deadline.Sub(now)
	}
	slow := time.AfterFunc(time.Duration(slowFactor*float64(expected))+slowSlack, func() { b.sendElsewhere(t, items) })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), giveUpFactor*expected)
		defer cancel()
		results, err := b.Client.RunPieces(ctx, t, pieces)
		slow.Stop()
		b.end(t, batch, items, results, err, now, expected)
	}()
}

// sendElsewhere queues the pieces of a slow call again: a piece may be made twice, and the first result counts.
func (b *Batcher) sendElsewhere(t radish.Target, items []*radishbatch.Item) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slotOf(t.Name).slowness++
	b.Log.Warn("stage call is slow, sending its pieces elsewhere too", "target", t.Name, "service", b.Service, "pieces", len(items))
	b.requeue(items)
	b.dispatch(time.Now())
}

func (b *Batcher) requeue(items []*radishbatch.Item) {
	for _, item := range items {
		if b.jobs[item] == nil {
			continue
		}
		if item.Tries >= maxTries {
			b.finish(item, radish.PieceResult{Outcome: radish.PieceFailed})
			continue
		}
		// A piece may be queued already, as when its call was slow and then failed.
		b.queue.Remove(func(other *radishbatch.Item) bool { return other == item })
		b.queue.Add(item)
	}
}

// slownessWeight is the weight of the newest call in the average of a target's slowness.
const slownessWeight = 0.5

func (b *Batcher) end(t radish.Target, batch *radishroute.Batch, items []*radishbatch.Item, results []radish.PieceResult, err error, began time.Time, expected time.Duration) {
	now := time.Now()
	took := now.Sub(began)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slotOf(t.Name)
	s.calls--
	b.Log.Debug("stage call ended", "target", t.Name, "service", b.Service, "pieces", len(items), "took_ms", took.Milliseconds(),
		"expected_ms", expected.Milliseconds(), "waiting", b.queue.Len(), "error", errorText(err))
	if err != nil {
		b.endFailed(t, s, items, err, now)
		return
	}
	s.slowness += slownessWeight * (float64(took)/float64(expected) - s.slowness)
	b.Fleet.Report(t.Name, false, now)
	for i, item := range items {
		b.endPiece(t, s, batch, item, results[i], now)
	}
	b.dispatch(now)
}

func (b *Batcher) endFailed(t radish.Target, s *slot, items []*radishbatch.Item, err error, now time.Time) {
	if errors.Is(err, radish.ErrRejected) {
		s.blocked = now.Add(fullPause)
		for _, item := range items {
			item.Tries--
			item.Avoid = ""
		}
	} else {
		b.Fleet.Report(t.Name, true, now)
		s.blocked = now.Add(fullPause)
		b.Log.Warn("stage call failed", "target", t.Name, "service", b.Service, "pieces", len(items), "error", err.Error())
	}
	b.requeue(items)
	b.dispatch(now)
}

func (b *Batcher) endPiece(t radish.Target, s *slot, batch *radishroute.Batch, item *radishbatch.Item, r radish.PieceResult, now time.Time) {
	if r.Outcome == radish.PieceDone {
		s.results[r.Handle] = held{bytes: item.Bytes, until: now.Add(batch.ResultLife)}
		if !b.finish(item, r) {
			b.giveUp(t.Address, s, r.Handle)
		}
		return
	}
	b.Log.Info("piece not made", "id", item.Piece.CallID, "target", t.Name, "service", b.Service, "stage", item.Piece.Stage, "outcome", string(r.Outcome))
	switch r.Outcome {
	case radish.PieceNoRoom:
		s.blocked = now.Add(fullPause)
		b.requeue([]*radishbatch.Item{item})
	case radish.PieceFailed:
		b.requeue([]*radishbatch.Item{item})
	default:
		b.finish(item, r)
	}
}

// Free gives up results, which make room at their makers.
func (b *Batcher) Free(handles []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		t, ok := b.Fleet.TargetAt(b.Service, address)
		if !ok {
			continue
		}
		b.giveUp(address, b.slotOf(t.Name), handle)
	}
}

func (b *Batcher) giveUp(address string, s *slot, handle string) {
	delete(s.results, handle)
	s.freeing = append(s.freeing, handle)
	if s.freeSoon {
		return
	}
	s.freeSoon = true
	time.AfterFunc(freeDelay, func() { b.sendFree(address, s) })
}

func (b *Batcher) sendFree(address string, s *slot) {
	b.mu.Lock()
	handles := s.freeing
	s.freeing, s.freeSoon = nil, false
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	// A result that is not given up ends by itself after its lifetime.
	if err := b.Client.FreePieces(ctx, address, handles); err != nil {
		b.Log.Info("results not given up", "address", address, "results", len(handles), "error", err.Error())
	}
	b.Wake()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
