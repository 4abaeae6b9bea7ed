package radishstage

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
)

// callKind is a kind of calls of a replayed load.
type callKind struct {
	name string
	// perSecond is the rate of the calls between the times from and until.
	perSecond   float64
	from, until time.Duration
	due         time.Duration
	stages      []Stage
	near        string
	urgency     *radishadmission.Urgency
	// readTime is the time after which the results of a plan have been read.
	readTime time.Duration
}

// tally counts the outcomes of a kind's calls.
type tally struct {
	asked, refused, gaveWay, inTime, late, failed int
}

// share returns the share of the calls that are in time.
func (t *tally) share() float64 { return float64(t.inTime) / float64(max(1, t.asked)) }

// replay sends the calls of all kinds to the coordinator and returns the outcomes by kind. Refused calls do not return. Each result is
// read some time after the plan has ended and then released.
func replay(t *testing.T, c *Coordinator, kinds []callKind) map[string]*tally {
	t.Helper()
	const defaultReadTime = 200 * time.Millisecond
	var mu sync.Mutex
	var wg sync.WaitGroup
	tallies := make(map[string]*tally)
	run := func(kind callKind, n int) {
		p := &Plan{
			CallID: fmt.Sprintf("%s-%d", kind.name, n), Key: "k", Due: time.Now().Add(kind.due), Deadline: time.Now().Add(2 * kind.due),
			Stages: kind.stages, Near: kind.near, Urgency: kind.urgency, Worth: 1,
		}
		began := time.Now()
		result, err := c.Run(context.Background(), p)
		took := time.Since(began)
		mu.Lock()
		counts := tallies[kind.name]
		counts.asked++
		var refused *RefusedError
		switch {
		case errors.As(err, &refused) && took == 0:
			counts.refused++
		case errors.As(err, &refused):
			counts.gaveWay++
		case err != nil:
			counts.failed++
		case took > kind.due:
			counts.late++
		default:
			counts.inTime++
		}
		mu.Unlock()
		if err == nil {
			time.Sleep(cmp.Or(kind.readTime, defaultReadTime))
			for _, handles := range result.Handles {
				c.Free(handles)
			}
		}
	}
	for _, kind := range kinds {
		tallies[kind.name] = &tally{}
	}
	for _, kind := range kinds {
		wg.Go(func() {
			time.Sleep(kind.from)
			for n := range int(kind.perSecond * (kind.until - kind.from).Seconds()) {
				wg.Go(func() { run(kind, n) })
				time.Sleep(time.Duration(float64(time.Second) / kind.perSecond))
			}
		})
	}
	wg.Wait()
	for _, kind := range kinds {
		t.Logf("%s: %+v", kind.name, *tallies[kind.name])
	}
	return tallies
}

// urgency returns the urgency of a call without a team.
func urgency(priority int) *radishadmission.Urgency {
	return &radishadmission.Urgency{Priority: priority, Value: 1000}
}

// chain returns the stages of one enc piece and rank pieces that read its result.
func chain(rankPieces int) []Stage {
	return []Stage{{Service: "enc", Pieces: 1, ResultBytes: 100}, {Service: "rank", After: []int{0}, Pieces: rankPieces, ResultBytes: 100}}
}
