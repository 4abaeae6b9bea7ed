package radishrelay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radish"
)

// errPiece reports a piece that could not be made.
var errPiece = errors.New("piece of a stage was not made")

// freeTimeout bounds the call that gives results up.
const freeTimeout = time.Second

// inputs are the results of a call's stages.
type inputs struct {
	// stages holds the handles by stage and piece; nil where the stage is left out.
	stages [][]string
	freed  []bool
}

// pieces returns how many pieces the call has of the stage.
func (e *exchange) pieces(stage int) int {
	if stage < len(e.call.Pieces) {
		return e.call.Pieces[stage]
	}
	return 0
}

// makeInputs runs the stages of the call, each as soon as those before it are done.
func (e *exchange) makeInputs(ctx context.Context) error {
	e.releaseInputs()
	n := len(e.route.Stages)
	if n == 0 {
		return nil
	}
	began := time.Now()
	e.inputs = &inputs{stages: make([][]string, n), freed: make([]bool, n)}
	done := make([]chan struct{}, n)
	for i := range done {
		done[i] = make(chan struct{})
	}
	group, ctx := errgroup.WithContext(ctx)
	for i := range e.route.Stages {
		group.Go(func() error {
			for _, before := range e.route.Stages[i].After {
				select {
				case <-done[before]:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if err := e.runStage(ctx, i); err != nil {
				return err
			}
			close(done[i])
			return nil
		})
	}
	err := group.Wait()
	e.freeFollowed()
	e.relay.Log.Info("stages ended", "id", e.call.ID, "route", e.route.Name, "pieces", e.call.Pieces, "took_ms", time.Since(began).Milliseconds(), "error", errorText(err))
	return err
}

func (e *exchange) runStage(ctx context.Context, i int) error {
	stage := e.route.Stages[i]
	n := e.pieces(i)
	if n == 0 {
		return nil
	}
	var handles []string
	for _, before := range stage.After {
		handles = append(handles, e.inputs.stages[before]...)
	}
	req := &radishstage.Request{
		Service: stage.Service, ResultBytes: stage.ResultBytes, Due: e.due.Add(-modelTime - e.timeAfter(i)), Deadline: e.deadline,
	}
	for number := range n {
		piece := radish.Piece{CallID: e.call.ID, Stage: i, Number: number, Inputs: handles}
		if len(stage.After) == 0 {
			piece.Key = e.call.PieceKey
		}
		req.Pieces = append(req.Pieces, piece)
	}
	results, err := e.relay.Stages.Run(ctx, req)
	if err != nil {
		return err
	}
	e.inputs.stages[i] = radishstage.Handles(results)
	for number, result := range results {
		if result.Outcome != radish.PieceDone {
			return fmt.Errorf("%w: stage %d piece %d: %s", errPiece, i, number, result.Outcome)
		}
	}
	return nil
}

// timeAfter is about the time that the stages after the given one take.
func (e *exchange) timeAfter(stage int) time.Duration {
	longest := time.Duration(0)
	for i := stage + 1; i < len(e.route.Stages); i++ {
		if e.pieces(i) == 0 || !contains(e.route.Stages[i].After, stage) {
			continue
		}
		longest = max(longest, e.stageTime(i)+e.timeAfter(i))
	}
	return longest
}

func (e *exchange) stageTime(stage int) time.Duration {
	service := e.cfg.Services[e.route.Stages[stage].Service]
	if service == nil || service.Batch == nil {
		return 0
	}
	return service.Batch.CallTime + time.Duration(service.Batch.MaxPieces)*service.Batch.PieceTime/2
}

func contains(list []int, n int) bool {
	for _, v := range list {
		if v == n {
			return true
		}
	}
	return false
}

// lastHandles returns what the target reads first: the results of the stages that no other stage follows.
func (e *exchange) lastHandles() []string {
	if e.inputs == nil {
		return nil
	}
	var handles []string
	for _, i := range e.route.LastStages() {
		handles = append(handles, e.inputs.stages[i]...)
	}
	return handles
}

// inputPlace returns the data centre that holds the most bytes of what the target reads first; "" when they are small.
func (e *exchange) inputPlace() string {
	if e.inputs == nil {
		return ""
	}
	bytes := make(map[string]int64)
	best := ""
	for _, i := range e.route.LastStages() {
		for _, handle := range e.inputs.stages[i] {
			place := e.relay.Fleet.DataCentreOf(addressOf(handle))
			bytes[place] += e.route.Stages[i].ResultBytes
			if bytes[place] > bytes[best] {
				best = place
			}
		}
	}
	if bytes[best] < largeInputs {
		return ""
	}
	return best
}

// largeInputs is the size from which a call follows its inputs to their data centre, in bytes.
const largeInputs = 100_000

func addressOf(handle string) string {
	for i := range handle {
		if handle[i] == '/' {
			return handle[:i]
		}
	}
	return handle
}

// freeFollowed gives up the results that only other stages needed.
func (e *exchange) freeFollowed() {
	for i := range e.route.Stages {
		for _, before := range e.route.Stages[i].After {
			e.free(before)
		}
	}
}

// releaseInputs gives up all results that are left.
func (e *exchange) releaseInputs() {
	if e.inputs == nil {
		return
	}
	for i := range e.inputs.stages {
		e.free(i)
	}
}

func (e *exchange) free(stage int) {
	if e.inputs.freed[stage] || len(e.inputs.stages[stage]) == 0 {
		return
	}
	e.inputs.freed[stage] = true
	service, handles := e.route.Stages[stage].Service, e.inputs.stages[stage]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		e.relay.Stages.Free(ctx, service, handles)
	}()
}

// refuseWithoutInputs ends a call whose stages failed: it has not run.
func (e *exchange) refuseWithoutInputs(ctx context.Context, err error) {
	if isGone(ctx) {
		e.outcome = outcomeLeft
		return
	}
	e.refuse(radish.Refusal{Kind: radish.RefusalNotRun, RetryAfter: spread(capacityRetry), Reason: err.Error()})
}

// isGone tells whether the caller has left, rather than that its time is up.
func isGone(ctx context.Context) bool { return errors.Is(context.Cause(ctx), context.Canceled) }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

