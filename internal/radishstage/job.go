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
	err      error
	ended    bool
	done     chan struct{}
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
		plan: p, place: p.Near, stages: make([]stageState, len(p.Stages)), dueOf: make([]time.Time, len(p.Stages)),
		items: make(map[*radishbatch.Item]bool), done: make(chan struct{}),
	}
	for i, s := range p.Stages {
		j.stages[i] = stageState{left: s.Pieces, handles: make([]string, s.Pieces), running: make(map[int]bool)}
	}
	for i := len(p.Stages) - 1; i >= 0; i-- {
		j.dueOf[i] = p.Due
		for k := i + 1; k < len(p.Stages); k++ {
			if j.needs(k, i) {
				j.dueOf[i] = earlier(j.dueOf[i], j.dueOf[k].Add(-timeOf(p.Stages[k].Service)))
			}
		}
	}
	return j
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// needs tells whether a stage with pieces needs the results of another one.
func (j *job) needs(stage, before int) bool {
	if j.plan.Stages[stage].Pieces == 0 {
		return false
	}
	for _, b := range j.plan.Stages[stage].After {
		if b == before {
			return true
		}
	}
	return false
}

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
	items := make([]*radishbatch.Item, stage.Pieces)
	for n := range items {
		piece := radish.Piece{CallID: j.plan.CallID, Stage: i, Number: n, Inputs: inputs}
		if len(stage.After) == 0 {
			piece.Key = j.plan.Key
		}
		items[n] = &radishbatch.Item{
			Piece: piece, Due: j.dueOf[i], Deadline: j.plan.Deadline, Expires: expires, Bytes: stage.ResultBytes, Near: j.place, IsHeavy: j.isHeavy(i),
			Worth: j.plan.Worth, Since: now,
		}
		j.items[items[n]] = true
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
