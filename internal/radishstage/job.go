package radishstage

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// job is an admitted plan with the state of its execution. The coordinator's mutex guards it.
type job struct {
	plan   *Plan
	stages []stageState
	// dueTimes is when the results of each stage are needed for the request to be in time.
	dueTimes []time.Time
	// items are the queued and running pieces.
	items map[*radishbatch.Item]bool
	// dataCentre is where data-heavy pieces are executed; "" until the first of them is placed.
	dataCentre string
	// admittedAt is when the plan was admitted, expected the time that it was estimated to take then.
	admittedAt time.Time
	expected   time.Duration
	// class is the class of the job's pieces, density the value of the plan for each second of a target's time.
	class   int
	density float64
	// kinds are the groups of plans that the job belongs to, each of which keeps a floor of the capacity.
	kinds         []radishadmission.Kind
	isUseRecorded bool
	// begun is whether a piece of the job has been part of a call.
	begun bool
	// isHeld is whether the job waits for capacity before its first pieces are queued.
	isHeld bool
	// typicalDuration is the typical time of all stages if nothing else is queued.
	typicalDuration time.Duration
	recomputes      int
	// retainsInputs is set once a target had no space for the result of a piece. From then on the inputs of a stage are
	// released only when the stage is complete.
	retainsInputs bool
	err           error
	ended         bool
	done          chan struct{}
}

// stageState is the progress of one stage of a job.
type stageState struct {
	queued bool
	// incomplete counts the pieces without a result.
	incomplete int
	// handles are the results by piece number; "" until the piece is complete.
	handles  []string
	released bool
	// started holds the numbers of the pieces that calls execute or have completed.
	started map[int]bool
	// runsUntil is the latest expected end of the first calls with its pieces.
	runsUntil time.Time
	// expires is when the first of the results expires.
	expires time.Time
}

func newJob(p *Plan, stageTime func(service string) time.Duration) *job {
	j := &job{
		plan: p, dataCentre: p.Near, stages: make([]stageState, len(p.Stages)), dueTimes: p.dueTimes(stageTime),
		items: make(map[*radishbatch.Item]bool), done: make(chan struct{}),
	}
	for i, s := range p.Stages {
		j.stages[i] = stageState{incomplete: s.Pieces, handles: make([]string, s.Pieces), started: make(map[int]bool)}
	}
	return j
}

// dependsOn reports whether the stage has pieces and reads the results of stage dep.
func (j *job) dependsOn(stage, dep int) bool { return j.plan.dependsOn(stage, dep) }

// readyStages returns the stages that can be queued now.
func (j *job) readyStages() []int {
	var ready []int
	for i := range j.stages {
		if j.stages[i].queued || j.stages[i].incomplete == 0 {
			continue
		}
		isReady := true
		for _, dep := range j.plan.Stages[i].After {
			isReady = isReady && j.stages[dep].incomplete == 0
		}
		if isReady {
			ready = append(ready, i)
		}
	}
	return ready
}

// queueStage marks the stage, whose inputs are complete, as queued and returns the pieces to queue.
func (j *job) queueStage(i int, now time.Time) []*radishbatch.Item {
	stage := j.plan.Stages[i]
	j.stages[i].queued = true
	var inputs []string
	var expires time.Time
	for _, dep := range stage.After {
		inputs = append(inputs, j.stages[dep].handles...)
		if e := j.stages[dep].expires; !e.IsZero() && (expires.IsZero() || e.Before(expires)) {
			expires = e
		}
	}
	var items []*radishbatch.Item
	for n := range stage.Pieces {
		if j.stages[i].handles[n] != "" {
			continue
		}
		piece := radish.Piece{CallID: j.plan.CallID, Stage: i, Number: n, Inputs: inputs}
		if len(stage.After) == 0 {
			piece.Key = j.plan.Key
		}
		item := &radishbatch.Item{
			Piece: piece, Due: j.dueTimes[i], Deadline: j.plan.Deadline, InputsExpireAt: expires, ResultBytes: stage.ResultBytes,
			PreferredDataCentre: j.dataCentre, IsDataHeavy: j.isDataHeavy(i), Worth: j.plan.Worth, Class: j.class,
			HasBegun: j.begun && j.plan.Urgency != nil, QueuedAt: now,
		}
		items = append(items, item)
		j.items[item] = true
	}
	return items
}

// isDataHeavy reports whether much data is transferred if a piece of the stage runs in another data centre than its inputs or
// its readers. Each piece of a stage reads all results of the stages before it.
func (j *job) isDataHeavy(i int) bool {
	inputBytes, readers := int64(0), 0
	for _, dep := range j.plan.Stages[i].After {
		inputBytes += int64(j.plan.Stages[dep].Pieces) * j.plan.Stages[dep].ResultBytes
	}
	for k := range j.stages {
		if j.dependsOn(k, i) {
			readers += j.plan.Stages[k].Pieces
		}
	}
	outputBytes := int64(max(1, readers)) * j.plan.Stages[i].ResultBytes
	return inputBytes >= radishbatch.LargeResultBytes || outputBytes >= radishbatch.LargeResultBytes
}

// pinDataCentre binds the job to the data centre of its first data-heavy piece, unless it is bound already.
func (j *job) pinDataCentre(dataCentre string) {
	if j.dataCentre != "" {
		return
	}
	j.dataCentre = dataCentre
	for item := range j.items {
		item.PreferredDataCentre = dataCentre
	}
}

// recordResult stores the handle of a piece's result and returns the handles that are no longer needed.
func (j *job) recordResult(item *radishbatch.Item, handle string, expires time.Time) []string {
	i := item.Piece.Stage
	s := &j.stages[i]
	s.handles[item.Piece.Number] = handle
	if s.expires.IsZero() || expires.Before(s.expires) {
		s.expires = expires
	}
	delete(j.items, item)
	s.incomplete--
	if s.incomplete > 0 {
		return nil
	}
	var releasable []string
	for _, dep := range j.plan.Stages[i].After {
		releasable = append(releasable, j.releaseIfConsumed(dep)...)
	}
	return releasable
}

// releaseIfConsumed returns a stage's handles, and marks them as released, once all stages that read them are complete.
func (j *job) releaseIfConsumed(stage int) []string {
	return j.releaseIf(stage, func(reader int) bool { return j.stages[reader].incomplete == 0 })
}

// releaseIfRead returns a stage's handles, and marks them as released, once all pieces that read them have started.
func (j *job) releaseIfRead(stage int) []string {
	return j.releaseIf(stage, func(reader int) bool { return len(j.stages[reader].started) == j.plan.Stages[reader].Pieces })
}

// releaseIf returns a stage's handles, and marks them as released, if all stages that read them no longer need them.
func (j *job) releaseIf(stage int, isDone func(reader int) bool) []string {
	if j.stages[stage].released {
		return nil
	}
	for reader := range j.stages {
		if j.dependsOn(reader, stage) && !isDone(reader) {
			return nil
		}
	}
	j.stages[stage].released = true
	return nonEmpty(j.stages[stage].handles)
}

// hasDependents reports whether another stage reads the stage's results.
func (j *job) hasDependents(stage int) bool {
	for k := range j.stages {
		if j.dependsOn(k, stage) {
			return true
		}
	}
	return false
}

// maxRecomputes limits how often stages of a plan are executed again because results were lost.
const maxRecomputes = 2

// resetForRecompute prepares a stage whose inputs are lost, and all stages before it, for another execution. Results of the
// stage itself are kept. It returns the pieces that are dropped and the remaining handles of the stages before it, which can
// be released; ok is false if the limit is reached.
func (j *job) resetForRecompute(i int) (dropped []*radishbatch.Item, releasable []string, ok bool) {
	if j.recomputes >= maxRecomputes {
		return nil, nil, false
	}
	j.recomputes++
	reset := make(map[int]bool)
	j.collectDependencies(i, reset)
	for dep := range reset {
		if !j.stages[dep].released {
			releasable = append(releasable, nonEmpty(j.stages[dep].handles)...)
		}
		pieces := j.plan.Stages[dep].Pieces
		j.stages[dep] = stageState{incomplete: pieces, handles: make([]string, pieces), started: make(map[int]bool)}
	}
	j.stages[i].queued = false
	clear(j.stages[i].started)
	reset[i] = true
	for item := range j.items {
		if reset[item.Piece.Stage] {
			dropped = append(dropped, item)
			delete(j.items, item)
		}
	}
	return dropped, releasable, true
}

// collectDependencies adds all stages that the stage depends on, directly or indirectly.
func (j *job) collectDependencies(i int, into map[int]bool) {
	for _, dep := range j.plan.Stages[i].After {
		if into[dep] {
			continue
		}
		into[dep] = true
		j.collectDependencies(dep, into)
	}
}

// hasStarted reports whether any piece of the plan has been part of a call.
func (j *job) hasStarted() bool {
	for i := range j.stages {
		if len(j.stages[i].started) > 0 || j.stages[i].incomplete < j.plan.Stages[i].Pieces {
			return true
		}
	}
	for item := range j.items {
		if item.Attempts > 0 {
			return true
		}
	}
	return false
}

// isComplete reports whether all pieces have results.
func (j *job) isComplete() bool {
	for i := range j.stages {
		if j.stages[i].incomplete > 0 {
			return false
		}
	}
	return true
}

// unreleasedHandles returns the handles of all results that were not released, by stage.
func (j *job) unreleasedHandles() [][]string {
	handles := make([][]string, len(j.stages))
	for i := range j.stages {
		if !j.stages[i].released {
			handles[i] = nonEmpty(j.stages[i].handles)
		}
	}
	return handles
}

func nonEmpty(handles []string) []string {
	var list []string
	for _, h := range handles {
		if h != "" {
			list = append(list, h)
		}
	}
	return list
}
