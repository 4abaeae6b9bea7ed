package radishstage

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// slowFactor and slowSlack are after how much more than the expected time of a call its pieces are also sent elsewhere.
	slowFactor = 1.5
	slowSlack  = 150 * time.Millisecond
	// avoidTime is how long after a call a piece that it did not make goes to other targets first.
	avoidTime = 500 * time.Millisecond
	// giveUpFactor is after how many times the expected time a call is given up.
	giveUpFactor = 6
	// fullPause is how long a target that turned a call away is left alone.
	fullPause = 100 * time.Millisecond
	// slownessWeight is the weight of the newest call in the average of a target's slowness.
	slownessWeight = 0.5
	// slownessStep is the difference in slowness below which targets count as alike.
	slownessStep = 0.5
)

// slot is what the coordinator knows of one target's calls and results.
type slot struct {
	target  radish.Target
	calls   int
	blocked time.Time
	room    radishbatch.Room
	// slowness is the moving average of the time of calls in parts of the expected time.
	slowness float64
	freeing  []string
	freeSoon bool
}

func (c *Coordinator) slotOf(t radish.Target) *slot {
	s := c.slots[t.Address]
	if s == nil || s.target.Name != t.Name || s.target.StartedUnixMilli != t.StartedUnixMilli {
		s = &slot{target: t, slowness: 1}
		c.slots[t.Address] = s
	}
	return s
}

// usable returns the targets of the service in the coordinator's shard that may take work.
func (c *Coordinator) usable(service string, now time.Time) []radish.Target {
	if c.Shards <= 1 {
		return c.Fleet.Usable(service, now)
	}
	return c.Fleet.UsableShard(service, c.Shard, c.Shards, now)
}

// shardOf returns the shard of a call by its id.
func shardOf(name string, shards int) int {
	if shards <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return int(h.Sum32() % uint32(shards))
}

// idle returns the targets that can take a call now, those that have been fast first.
func (c *Coordinator) idle(usable []radish.Target, batch *radishroute.Batch, now time.Time) []radish.Target {
	var idle []radish.Target
	for _, t := range usable {
		if s := c.slotOf(t); s.calls < batch.Slots && !now.Before(s.blocked) {
			idle = append(idle, t)
		}
	}
	slices.SortStableFunc(idle, func(a, b radish.Target) int {
		return cmp.Compare(int(c.slotOf(a).slowness/slownessStep), int(c.slotOf(b).slowness/slownessStep))
	})
	return idle
}

func (c *Coordinator) start(t radish.Target, service string, batch *radishroute.Batch, items []*radishbatch.Item, now time.Time) {
	c.slotOf(t).calls++
	expected := batch.CallTime + time.Duration(len(items))*batch.PieceTime
	known := c.slotOf(t).room.Known(now)
	pieces := make([]radish.Piece, len(items))
	for i, item := range items {
		if j := c.owners[item]; j != nil && item.IsHeavy {
			j.settle(t.DataCentre)
		}
		item.Tries++
		item.Avoid, item.AvoidUntil = t.Name, now.Add(expected+avoidTime)
		pieces[i] = item.Piece
		pieces[i].Timeout = item.Deadline.Sub(now)
	}
	slow := time.AfterFunc(time.Duration(slowFactor*float64(expected))+slowSlack, func() { c.sendElsewhere(t, service, items) })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), giveUpFactor*expected)
		defer cancel()
		results, err := c.Client.RunPieces(ctx, t, pieces)
		slow.Stop()
		call := &finished{target: t, service: service, batch: batch, items: items, results: results, err: err, took: time.Since(now), expected: expected, known: known}
		c.finish(call)
	}()
}

// finished is a call that has ended.
type finished struct {
	target   radish.Target
	service  string
	batch    *radishroute.Batch
	items    []*radishbatch.Item
	results  []radish.PieceResult
	err      error
	took     time.Duration
	expected time.Duration
	// known is how many bytes of the target's room were taken at the call's begin, as far as was known here.
	known int64
}

// bytes returns the size of the results that the call made, and whether the target was short of room for others.
func (f *finished) bytes() (made int64, isShort bool) {
	for i, r := range f.results {
		switch r.Outcome {
		case radish.PieceDone:
			made += f.items[i].Bytes
		case radish.PieceNoSpace:
			isShort = true
		}
	}
	return made, isShort
}

// sendElsewhere queues the pieces of a slow call again: a piece may be made twice, and the first result counts.
func (c *Coordinator) sendElsewhere(t radish.Target, service string, items []*radishbatch.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slotOf(t).slowness++
	c.Log.Warn("stage call is slow, sending its pieces elsewhere too", "target", t.Name, "service", service, "pieces", len(items))
	c.requeue(service, items)
	c.dispatch(time.Now())
}

func (c *Coordinator) requeue(service string, items []*radishbatch.Item) {
	for _, item := range items {
		j := c.owners[item]
		if j == nil {
			continue
		}
		delete(j.stages[item.Piece.Stage].running, item.Piece.Number)
		if item.Tries >= maxTries {
			c.failItem(item, radish.PieceFailed)
			continue
		}
		q := c.queueOf(service)
		// A piece may be queued already, as when its call was slow and then failed.
		q.Remove(func(other *radishbatch.Item) bool { return other == item })
		q.Add(item)
	}
}

func (c *Coordinator) finish(call *finished) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.slotOf(call.target)
	s.calls = max(0, s.calls-1)
	c.Metrics.StageCall(call.service, call.took, len(call.items), call.err == nil)
	c.Log.Debug("stage call ended", "target", call.target.Name, "service", call.service, "pieces", len(call.items),
		"took_ms", call.took.Milliseconds(), "expected_ms", call.expected.Milliseconds(), "waiting", c.queueOf(call.service).Len(), "error", radishlog.ErrorText(call.err))
	if call.err != nil {
		c.finishFailed(call, s, now)
	} else {
		s.slowness += slownessWeight * (float64(call.took)/float64(call.expected) - s.slowness)
		c.Fleet.Report(call.target.Name, radishfleet.Outcome{}, now)
		made, isShort := call.bytes()
		c.noteRivals(call, isShort, now)
		s.room.Learn(call.batch.RoomBytes-call.known-made, isShort, now)
		if isFull(call.results) {
			// Results that this VM does not know of take up the room, and end within their lifetime.
			s.blocked = now.Add(fullPause)
		}
		c.logNotMade(call)
		for i, item := range call.items {
			c.finishPiece(call, s, item, call.results[i], now)
		}
	}
	c.dispatch(now)
}

// remake has the inputs of a piece made again that were lost with their maker or given up too early.
func (c *Coordinator) remake(j *job, item *radishbatch.Item) {
	if j == nil || !j.items[item] {
		return
	}
	stage := item.Piece.Stage
	// A call that would be late anyhow goes back to its VM, and is let in again only if there is room for it.
	if time.Now().Add(c.timeUpTo(j, stage)).After(j.plan.Due) {
		c.failItem(item, radish.PieceInputMissing)
		return
	}
	dropped, free, ok := j.remake(stage)
	if !ok {
		c.failItem(item, radish.PieceInputMissing)
		return
	}
	c.Log.Info("inputs are made again", "id", j.plan.CallID, "stage", stage, "pieces", len(dropped))
	for _, d := range dropped {
		delete(c.owners, d)
		c.queueOf(j.plan.Stages[d.Piece.Stage].Service).Remove(func(other *radishbatch.Item) bool { return other == d })
	}
	c.giveUp(free)
	c.advance(j)
}

// timeUpTo is about how long it takes to make the stage and all that it needs.
func (c *Coordinator) timeUpTo(j *job, stage int) time.Duration {
	longest := time.Duration(0)
	for _, before := range j.plan.Stages[stage].After {
		longest = max(longest, c.timeUpTo(j, before))
	}
	return longest + c.usualTime(j.plan.Stages[stage].Service)
}

// isFull tells whether the target had no room for most of a call's results.
func isFull(results []radish.PieceResult) bool {
	n := 0
	for _, r := range results {
		if r.Outcome == radish.PieceNoSpace {
			n++
		}
	}
	return 2*n > len(results)
}

func (c *Coordinator) finishFailed(call *finished, s *slot, now time.Time) {
	s.blocked = now.Add(fullPause)
	if errors.Is(call.err, radish.ErrRejected) {
		for _, item := range call.items {
			item.Tries--
			item.Avoid = ""
		}
	} else {
		c.Fleet.Report(call.target.Name, radishfleet.Outcome{Failed: true, Unreached: errors.Is(call.err, radish.ErrNotSent)}, now)
	}
	c.Log.Warn("stage call failed", "target", call.target.Name, "service", call.service, "pieces", len(call.items), "error", call.err.Error())
	c.requeue(call.service, call.items)
}

// logNotMade writes a line for each call and stage of which pieces were not made, and for each outcome.
func (c *Coordinator) logNotMade(call *finished) {
	type group struct {
		id      string
		stage   int
		outcome radish.PieceOutcome
	}
	counts := make(map[group]int)
	for i, item := range call.items {
		if r := call.results[i]; r.Outcome != radish.PieceDone {
			counts[group{item.Piece.CallID, item.Piece.Stage, r.Outcome}]++
		}
	}
	for g, n := range counts {
		c.Log.Info("pieces not made", "id", g.id, "target", call.target.Name, "service", call.service, "stage", g.stage, "outcome", string(g.outcome), "pieces", n)
	}
}

func (c *Coordinator) finishPiece(call *finished, s *slot, item *radishbatch.Item, r radish.PieceResult, now time.Time) {
	j := c.owners[item]
	if r.Outcome == radish.PieceDone {
		s.room.Add(r.Handle, item.Bytes, now, now.Add(call.batch.ResultLife))
		if j == nil {
			c.giveUp([]string{r.Handle})
			return
		}
		delete(c.owners, item)
		// A piece that was also sent elsewhere need not wait any more.
		c.queueOf(call.service).Remove(func(other *radishbatch.Item) bool { return other == item })
		c.giveUp(j.take(item, r.Handle, now.Add(call.batch.ResultLife)))
		c.advance(j)
		return
	}
	switch r.Outcome {
	case radish.PieceNoSpace:
		item.Tries--
		item.Avoid = ""
		if j != nil {
			j.keepsInputs = true
		}
		c.requeue(call.service, []*radishbatch.Item{item})
	case radish.PieceFailed:
		c.requeue(call.service, []*radishbatch.Item{item})
	case radish.PieceInputMissing:
		c.remake(j, item)
	default:
		c.failItem(item, r.Outcome)
	}
}
