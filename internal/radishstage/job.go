package radishstage

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
)

// job is a plan whose pieces wait or run; the coordinator's mutex guards it.
type job struct {
	plan   *Plan
	stages []stageState
	// dueOf is when the results of each stage are needed for the call to be in time.
	dueOf []time.Time
	items map[*radishbatch.Item]bool
	// place is the data centre in which heavy pieces are made; "" until the first one is.
	place string
	// began and expected are when the plan was let in and how long it was expected to take then.
	began    time.Time
	expected time.Duration
	remakes  int
	// keepsInputs is set once a piece found no room: its inputs are kept until it is made.
	keepsInputs bool
	err         error
	ended       bool
	done        chan struct{}
}

// stageState is how far one stage of a job is.
type stageState struct {
	queued bool
	left   int
	// handles are by piece; "" until it is made.
	handles []string
	freed   bool
	// running holds the pieces that calls work on or have made.
	running map[int]bool
	// expires is when the first of the results ends.
	expires time.Time
}

func newJob(p *Plan, timeOf func(service string) time.Duration) *job {
	j := &job{
		plan: p, place: p.Near, stages: make([]stageState, len(p.Stages)), dueOf: p.dues(timeOf),
		items: make(map[*radishbatch.Item]bool), done: make(chan struct{}),
	}
	for i, s := range p.Stages {
		j.stages[i] = stageState{left: s.Pieces, handles: make([]string, s.Pieces), running: make(map[int]bool)}
	}
	return j
}

// needs tells whether a stage with pieces needs the results of another one.
func (j *job) needs(stage, before int) bool { return j.plan.needsResults(stage, before) }

// ready returns the stages that can be queued now.
func (j *job) ready() []int {
	var ready []int
	for i := range j.stages {
		if j.stages[i].queued || j.stages[i].left == 0 {
			continue
		}
		isReady := true
		for _, before := range j.plan.Stages[i].After {
			isReady = isReady && j.stages[before].left == 0
		}
		if isReady {
			ready = append(ready, i)
		}
	}
	return ready
}

// enqueue makes the pieces of a stage whose inputs are there.
func (j *job) enqueue(i int, now time.Time) []*radishbatch.Item {
	stage := j.plan.Stages[i]
	j.stages[i].queued = true
	var inputs []string
	var expires time.Time
	for _, before := range stage.After {
		inputs = append(inputs, j.stages[before].handles...)
		if e := j.stages[before].expires; !e.IsZero() && (expires.IsZero() || e.Before(expires)) {
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
			Piece: piece, Due: j.dueOf[i], Deadline: j.plan.Deadline, Expires: expires, Bytes: stage.ResultBytes, Near: j.place, IsHeavy: j.isHeavy(i),
			Worth: j.plan.Worth, Since: now,
		}
		items = append(items, item)
		j.items[item] = true
	}
	return items
}

// isHeavy tells whether many bytes move if a piece of the stage is made away from what it reads or what reads it. Each
// piece of a stage reads all results of those before it.
func (j *job) isHeavy(i int) bool {
	in, readers := int64(0), 0
	for _, before := range j.plan.Stages[i].After {
		in += int64(j.plan.Stages[before].Pieces) * j.plan.Stages[before].ResultBytes
	}
	for k := range j.stages {
		if j.needs(k, i) {
			readers += j.plan.Stages[k].Pieces
		}
	}
	out := int64(max(1, readers)) * j.plan.Stages[i].ResultBytes
	return in >= radishbatch.LargeResult || out >= radishbatch.LargeResult
}

// settle binds the job to the data centre in which its first heavy piece is made.
func (j *job) settle(dataCentre string) {
	if j.place != "" {
		return
	}
	j.place = dataCentre
	for item := range j.items {
		item.Near = dataCentre
	}
}

// take records a piece's result and returns handles that are of no more use.
func (j *job) take(item *radishbatch.Item, handle string, expires time.Time) []string {
	i := item.Piece.Stage
	s := &j.stages[i]
	s.handles[item.Piece.Number] = handle
	if s.expires.IsZero() || expires.Before(s.expires) {
		s.expires = expires
	}
	delete(j.items, item)
	s.left--
	if s.left > 0 {
		return nil
	}
	var free []string
	for _, before := range j.plan.Stages[i].After {
		free = append(free, j.freeIfUsed(before)...)
	}
	return free
}

// freeIfUsed returns a stage's handles once all stages that need them are done.
func (j *job) freeIfUsed(before int) []string {
	if j.stages[before].freed {
		return nil
	}
	for k := range j.stages {
		if j.needs(k, before) && j.stages[k].left > 0 {
			return nil
		}
	}
	j.stages[before].freed = true
	return made(j.stages[before].handles)
}

// freeIfRead returns a stage's handles once all stages that need them have begun, so that their inputs were read.
func (j *job) freeIfRead(before int) []string {
	if j.stages[before].freed {
		return nil
	}
	for k := range j.stages {
		if j.needs(k, before) && len(j.stages[k].running) < j.plan.Stages[k].Pieces {
			return nil
		}
	}
	j.stages[before].freed = true
	return made(j.stages[before].handles)
}

// isFollowed tells whether another stage needs the stage's results.
func (j *job) isFollowed(stage int) bool {
	for k := range j.stages {
		if j.needs(k, stage) {
			return true
		}
	}
	return false
}

// maxRemakes is how often a plan's stages are made again for lost results.
const maxRemakes = 2

// remake prepares a stage whose inputs are lost, and those before it, to be made again; pieces of the stage that were made
// stay. It returns the pieces that are of no more use and the handles that are left of what is made again; ok is false
// when it has been tried too often.
func (j *job) remake(i int) (dropped []*radishbatch.Item, free []string, ok bool) {
	if j.remakes >= maxRemakes {
		return nil, nil, false
	}
	j.remakes++
	again := make(map[int]bool)
	j.collectBefore(i, again)
	for before := range again {
		if !j.stages[before].freed {
			free = append(free, made(j.stages[before].handles)...)
		}
		pieces := j.plan.Stages[before].Pieces
		j.stages[before] = stageState{left: pieces, handles: make([]string, pieces), running: make(map[int]bool)}
	}
	j.stages[i].queued = false
	clear(j.stages[i].running)
	again[i] = true
	for item := range j.items {
		if again[item.Piece.Stage] {
			dropped = append(dropped, item)
			delete(j.items, item)
		}
	}
	return dropped, free, true
}

// collectBefore adds all stages that the stage needs, directly or not.
func (j *job) collectBefore(i int, into map[int]bool) {
	for _, before := range j.plan.Stages[i].After {
		into[before] = true
		j.collectBefore(before, into)
	}
}

// hasBegun tells whether any piece of the plan was part of a call.
func (j *job) hasBegun() bool {
	for i := range j.stages {
		if len(j.stages[i].running) > 0 || j.stages[i].left < j.plan.Stages[i].Pieces {
			return true
		}
	}
	for item := range j.items {
		if item.Tries > 0 {
			return true
		}
	}
	return false
}

// isDone tells whether all pieces are made.
func (j *job) isDone() bool {
	for i := range j.stages {
		if j.stages[i].left > 0 {
			return false
		}
	}
	return true
}

// remaining returns the handles of all results that were not given up, by stage.
func (j *job) remaining() [][]string {
	handles := make([][]string, len(j.stages))
	for i := range j.stages {
		if !j.stages[i].freed {
			handles[i] = made(j.stages[i].handles)
		}
	}
	return handles
}

func made(handles []string) []string {
	var list []string
	for _, h := range handles {
		if h != "" {
			list = append(list, h)
		}
	}
	return list
}
