package radishstage

import (
	"context"
	"errors"
	"time"

	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// A call that takes longer than hedgeFactor times its expected time plus hedgeSlack is hedged: its pieces are queued for
	// other targets as well.
	hedgeFactor = 1.5
	hedgeSlack  = 150 * time.Millisecond
	// avoidDuration is how long after the expected end of a call other targets are preferred for the pieces that the call did
	// not complete.
	avoidDuration = 500 * time.Millisecond
	// callTimeoutFactor is the timeout of a call as a multiple of its expected time.
	callTimeoutFactor = 6
	// targetBackoff is how long a target gets no calls after it failed or rejected one, or had no space for its results.
	targetBackoff = 100 * time.Millisecond
	// slownessWeight is the weight of the newest call in the moving average of a target's slowness.
	slownessWeight = 0.5
)

// startCall sends the items to the target in one call and handles its outcome in the background.
func (c *Coordinator) startCall(t radish.Target, d *serviceDispatch, items []*radishbatch.Item) {
	service, batch, now := d.service, d.batch, d.now
	c.stateOf(t).activeCalls++
	c.Fleet.RecordVersionSend(t, versionRoute, len(items), now)
	expected := batch.CallTime + time.Duration(len(items))*batch.PieceTime
	// A slow target is given the time that it takes.
	expectedHere := scale(expected, max(1, d.timeFactor(t)))
	expectedEnd := now.Add(scale(expected, d.timeFactor(t)))
	c.stateOf(t).expectedEnds = append(c.stateOf(t).expectedEnds, expectedEnd)
	tracked := c.stateOf(t).space.TrackedBytes(now)
	pieces := make([]radish.Piece, len(items))
	for i, item := range items {
		if j := c.owners[item]; j != nil {
			c.begin(j)
			if stage := &j.stages[item.Piece.Stage]; item.Attempts == 0 && expectedEnd.After(stage.runsUntil) {
				stage.runsUntil = expectedEnd
			}
			if item.IsDataHeavy {
				j.pinDataCentre(t.DataCentre)
			}
		}
		item.Attempts++
		item.AvoidTarget, item.AvoidUntil = t.Name, now.Add(expectedHere+avoidDuration)
		pieces[i] = item.Piece
		pieces[i].Timeout = item.Deadline.Sub(now)
	}
	reservation := c.reserveSpace(t, batch, items, now)
	hedgeTimer := time.AfterFunc(time.Duration(hedgeFactor*float64(expectedHere))+hedgeSlack, func() { c.hedge(t, service, items) })
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeoutFactor*expectedHere)
		defer cancel()
		results, err := c.Client.RunPieces(ctx, t, pieces)
		hedgeTimer.Stop()
		call := &finishedCall{
			target: t, service: service, batch: batch, items: items, results: results, err: err, took: time.Since(now), expected: expected,
			expectedEnd: expectedEnd, trackedBytes: tracked, reservation: reservation,
		}
		c.finishCall(call)
	}()
}

// finishedCall is a call to a target that has ended, with its outcome.
type finishedCall struct {
	target   radish.Target
	service  string
	batch    *radishroute.BatchSettings
	items    []*radishbatch.Item
	results  []radish.PieceResult
	err      error
	took     time.Duration
	expected time.Duration
	// expectedEnd is when the call was expected to end at a target of this speed.
	expectedEnd time.Time
	// trackedBytes is the size of the results that this coordinator had recorded at the target when the call started.
	trackedBytes int64
	// reservation is the record of the space that the results may take; empty if there is none.
	reservation string
}

// resultBytes returns the size of the results that the call produced, and whether the target lacked space for others.
func (f *finishedCall) resultBytes() (produced int64, isShort bool) {
	for i, r := range f.results {
		switch r.Outcome {
		case radish.PieceDone:
			produced += f.items[i].ResultBytes
		case radish.PieceNoSpace:
			isShort = true
		}
	}
	return produced, isShort
}

// hedge queues the pieces of a slow call a second time. A piece may then be executed twice; the first result is used.
func (c *Coordinator) hedge(t radish.Target, service string, items []*radishbatch.Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stateOf(t).slowness++
	c.Log.Warn("stage call is slow, sending its pieces elsewhere too", "target", t.Name, "service", service, "pieces", len(items))
	c.requeue(service, items)
	c.dispatch(time.Now())
}

// requeue queues the pieces again; a piece that has used up its attempts fails its plan.
func (c *Coordinator) requeue(service string, items []*radishbatch.Item) {
	for _, item := range items {
		j := c.owners[item]
		if j == nil {
			continue
		}
		delete(j.stages[item.Piece.Stage].started, item.Piece.Number)
		if item.Attempts >= maxAttempts {
			c.failItem(item, radish.PieceFailed)
			continue
		}
		q := c.queueOf(service)
		// The piece is already queued if its call was hedged and then failed.
		q.RemoveItem(item)
		q.Add(item)
	}
}

func (c *Coordinator) finishCall(call *finishedCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.stateOf(call.target)
	s.endOfCall(call.expectedEnd)
	c.endReservation(call, s, now)
	s.activeCalls = max(0, s.activeCalls-1)
	c.Fleet.RecordVersionResult(call.target, call.versionResult(), now)
	c.Metrics.RecordStageCall(call.service, call.took, len(call.items), call.err == nil)
	c.Log.Debug("stage call ended", "target", call.target.Name, "service", call.service, "pieces", len(call.items),
		"took_ms", call.took.Milliseconds(), "expected_ms", call.expected.Milliseconds(),
		"expected_here_ms", (call.took + call.expectedEnd.Sub(now)).Milliseconds(), "waiting", c.queueOf(call.service).Len(), "error", radishlog.ErrorText(call.err))
	if call.err != nil {
		c.handleCallError(call, s, now)
	} else {
		s.slowness += slownessWeight * (float64(call.took)/float64(call.expected) - s.slowness)
		c.Fleet.Report(call.target.Name, radishfleet.Outcome{}, now)
		c.Fleet.RecordBatch(call.target.Name, call.took, call.expected, now)
		produced, isShort := call.resultBytes()
		c.detectContention(call, isShort, now)
		s.space.UpdateUntracked(call.batch.ResultMemoryBytes-call.trackedBytes-produced, isShort, now)
		if lacksSpace(call.results) {
			// Results that this VM does not track occupy the space; they expire at the end of their lifetime.
			s.blockedUntil = now.Add(targetBackoff)
		}
		c.logIncomplete(call)
		for i, item := range call.items {
			c.handleResult(call, s, item, call.results[i], now)
		}
	}
	c.dispatch(now)
}

// lacksSpace reports whether the target had no space for more than half of a call's results.
func lacksSpace(results []radish.PieceResult) bool {
	n := 0
	for _, r := range results {
		if r.Outcome == radish.PieceNoSpace {
			n++
		}
	}
	return 2*n > len(results)
}

// handleCallError blocks the target for a short time and queues the call's pieces again. A rejected call does not count as an
// attempt at its pieces, nor as a failure of the target.
func (c *Coordinator) handleCallError(call *finishedCall, s *targetState, now time.Time) {
	s.blockedUntil = now.Add(targetBackoff)
	if errors.Is(call.err, radish.ErrRejected) {
		for _, item := range call.items {
			item.Attempts--
			item.AvoidTarget = ""
		}
	} else {
		c.Fleet.Report(call.target.Name, radishfleet.Outcome{
			Failed: true, Unreachable: errors.Is(call.err, radish.ErrNotSent), Down: radishfleet.IsRefused(call.err),
		}, now)
	}
	c.Log.Warn("stage call failed", "target", call.target.Name, "service", call.service, "pieces", len(call.items), "error", call.err.Error())
	c.requeue(call.service, call.items)
}

// logIncomplete logs the pieces of the call that were not completed, one line for each request, stage and outcome.
func (c *Coordinator) logIncomplete(call *finishedCall) {
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
		c.Log.Info("pieces not made", "id", g.id, "target", call.target.Name, "service", call.service, "stage", g.stage,
			"outcome", string(g.outcome), "pieces", n)
	}
}

func (c *Coordinator) handleResult(call *finishedCall, s *targetState, item *radishbatch.Item, r radish.PieceResult, now time.Time) {
	j := c.owners[item]
	if r.Outcome == radish.PieceDone {
		s.space.Add(r.Handle, item.ResultBytes, now, now.Add(call.batch.ResultTTL))
		if j == nil {
			c.release([]string{r.Handle})
			return
		}
		delete(c.owners, item)
		// If the call was hedged, the second copy of the piece is no longer needed.
		c.queueOf(call.service).RemoveItem(item)
		c.release(j.recordResult(item, r.Handle, now.Add(call.batch.ResultTTL)))
		c.advance(j)
		return
	}
	switch r.Outcome {
	case radish.PieceNoSpace:
		item.Attempts--
		item.AvoidTarget = ""
		if j != nil {
			j.retainsInputs = true
		}
		c.requeue(call.service, []*radishbatch.Item{item})
	case radish.PieceFailed:
		c.requeue(call.service, []*radishbatch.Item{item})
	case radish.PieceInputMissing:
		c.recomputeInputs(j, item)
	default:
		c.failItem(item, r.Outcome)
	}
}
