package radishstage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// shareGate admits pieces to the version v2 as long as it has got less than a share of all of them.
type shareGate struct {
	mu              sync.Mutex
	share           float64
	only            bool
	sent, candidate int
	ended           int
	results         []radishfleet.VersionResult
}

func (g *shareGate) Versions(_, _ string, calls int, _ time.Time) radishfleet.VersionRule {
	g.mu.Lock()
	defer g.mu.Unlock()
	rule := radishfleet.VersionRule{Candidate: "v2", Share: g.share}
	switch {
	case g.only:
		rule.Use = radishfleet.CandidateOnly
	case calls > 0 && float64(g.candidate+calls) <= g.share*float64(g.sent):
		rule.Use = radishfleet.CandidateAdmitted
	}
	return rule
}

func (g *shareGate) RecordSend(t radish.Target, _ string, calls int, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent += calls
	if t.Version == "v2" {
		g.candidate += calls
	}
}

func (g *shareGate) RecordResult(_ radish.Target, r radishfleet.VersionResult, _ time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended += r.Calls
	g.results = append(g.results, r)
}

// newVersionedCoordinator returns a coordinator with targets of the versions v1 and v2.
func newVersionedCoordinator(gate radishfleet.VersionGate, targets int) (*Coordinator, *fakeTargets) {
	c, fake := newCoordinator(0)
	c.Fleet.Versions = gate
	for _, version := range []string{"v1", "v2"} {
		for _, service := range []string{"enc", "rank"} {
			for i := range targets {
				name := fmt.Sprint(service, "-", version, "-", i)
				c.Fleet.Set(radish.Target{Name: name, Address: name + ":1", DataCentre: "a", Service: service, Slots: 1, Version: version}, time.Now())
			}
		}
	}
	return c, fake
}

// runPlans runs n plans, one after the other at an interval.
func runPlans(t *testing.T, c *Coordinator, n int) {
	t.Helper()
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			now := time.Now()
			p := &Plan{
				CallID: fmt.Sprint("call-", i), Key: "k", Due: now.Add(3 * time.Second), Deadline: now.Add(5 * time.Second),
				Stages: []Stage{{Service: "enc", Pieces: 4, ResultBytes: 100}},
			}
			if _, err := c.Run(t.Context(), p); err != nil {
				t.Error(err)
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	running.Wait()
}

// TestPiecesOfNewVersionStayWithinTheirShare guards against batches whose pieces exceed what the new version may get, and against pieces
// that are counted when they are sent and never again.
func TestPiecesOfNewVersionStayWithinTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &shareGate{share: 0.1}
		c, _ := newVersionedCoordinator(gate, 4)
		runPlans(t, c, 100)
		if gate.sent < 400 || gate.ended != gate.sent {
			t.Errorf("%d pieces were sent and %d ended", gate.sent, gate.ended)
		}
		if limit := 0.1 * float64(gate.sent); float64(gate.candidate) > limit || float64(gate.candidate) < limit/2 {
			t.Errorf("the new version got %d of %d pieces, want up to %.0f", gate.candidate, gate.sent, limit)
		}
	})
}

// TestResultsOfOthersAreCounted guards against results that are lost since the targets that store them end.
func TestResultsOfOthersAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newVersionedCoordinator(&shareGate{}, 2)
		p := &Plan{
			CallID: "call", Key: "k", Due: time.Now().Add(3 * time.Second), Deadline: time.Now().Add(5 * time.Second),
			Stages: []Stage{{Service: "enc", Pieces: 4, ResultBytes: 100}},
		}
		result, err := c.Run(t.Context(), p)
		if err != nil {
			t.Fatal(err)
		}
		if got := [3]int{c.ResultsOfOthers("enc", "v2"), c.ResultsOfOthers("enc", "v1"), c.ResultsOfOthers("rank", "v2")}; got != [3]int{4, 0, 0} {
			t.Errorf("got %v results at old and new targets and at those of another service, want 4, 0 and 0", got)
		}
		c.Free(result.Handles[0])
		time.Sleep(time.Second)
		if got := c.ResultsOfOthers("enc", "v2"); got != 0 {
			t.Errorf("got %d results after their release", got)
		}
	})
}

// TestOnlyNewVersionGetsPieces guards against pieces at old targets once all traffic has moved.
func TestOnlyNewVersionGetsPieces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := &shareGate{only: true}
		c, _ := newVersionedCoordinator(gate, 4)
		runPlans(t, c, 20)
		if gate.sent == 0 || gate.candidate != gate.sent {
			t.Errorf("the new version got %d of %d pieces, want all", gate.candidate, gate.sent)
		}
	})
}

// TestResultsOfBatches guards against evidence against a version from batches that say nothing about it, and against times that differ
// only because batches differ in size.
func TestResultsOfBatches(t *testing.T) {
	c, _ := newCoordinator(1)
	batch := c.Batch("enc")
	call := func(pieces int, err error, outcomes ...radish.PieceOutcome) *finishedCall {
		f := &finishedCall{batch: batch, err: err, expected: batch.CallTime + time.Duration(pieces)*batch.PieceTime}
		f.took = f.expected
		for range pieces {
			f.items = append(f.items, nil)
		}
		for _, outcome := range outcomes {
			f.results = append(f.results, radish.PieceResult{Outcome: outcome})
		}
		return f
	}
	usual := typicalCallTime(batch)
	for name, test := range map[string]struct {
		call *finishedCall
		want radishfleet.VersionResult
	}{
		"one piece":  {call(1, nil, radish.PieceDone), radishfleet.VersionResult{Calls: 1, Took: usual}},
		"two pieces": {call(2, nil, radish.PieceDone, radish.PieceDone), radishfleet.VersionResult{Calls: 2, Took: usual}},
		"one failed": {call(2, nil, radish.PieceDone, radish.PieceFailed), radishfleet.VersionResult{Calls: 2, Failed: 1, Took: usual}},
		"no space":   {call(1, nil, radish.PieceNoSpace), radishfleet.VersionResult{Calls: 1, Took: usual}},
		"malformed":  {call(2, radish.ErrMalformedResponse), radishfleet.VersionResult{Calls: 2, Failed: 2, Took: usual}},
		"time is up": {call(2, context.DeadlineExceeded), radishfleet.VersionResult{Calls: 2, Took: usual}},
		"rejected":   {call(2, radish.ErrRejected), radishfleet.VersionResult{Calls: 2, Took: usual, Inconclusive: true}},
		"not sent": {call(2, fmt.Errorf("%w: %w", radish.ErrNotSent, context.DeadlineExceeded)),
			radishfleet.VersionResult{Calls: 2, Took: usual, Inconclusive: true}},
		"cut": {call(2, errors.New("connection reset")), radishfleet.VersionResult{Calls: 2, Took: usual, Inconclusive: true}},
	} {
		test.want.Route = versionRoute
		got := test.call.versionResult()
		if difference := (got.Took - test.want.Took).Abs(); difference > time.Millisecond {
			t.Errorf("%s: took %v, want %v", name, got.Took, test.want.Took)
		}
		got.Took = test.want.Took
		if got != test.want {
			t.Errorf("%s: got %+v, want %+v", name, got, test.want)
		}
	}
}
