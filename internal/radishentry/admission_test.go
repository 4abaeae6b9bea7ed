package radishentry

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrule"
)

func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline = 5 * time.Second
		l := &concurrencyLimiter{}
		team := &radishrule.Team{Name: "roads", Share: 1}
		rules := &radishrule.RuleSet{Teams: map[string]*radishrule.Team{"roads": team}}
		// A pipeline that takes most of its deadline at any load is not congested.
		for range 100 {
			l.admit(rules, team)
			l.release(team.Name, 4*time.Second, deadline)
			time.Sleep(time.Second)
		}
		if l.limit < initialConcurrencyLimit {
			t.Errorf("limit of a slow pipeline without congestion fell to %.1f requests", l.limit)
		}
		for range 100 {
			l.admit(rules, team)
			l.release(team.Name, deadline, deadline)
			time.Sleep(time.Second)
		}
		if l.limit != minConcurrencyLimit {
			t.Errorf("limit after 100 missed deadlines is %.1f, want %d", l.limit, minConcurrencyLimit)
		}
		for range 200 {
			for l.admit(rules, team) {
				continue
			}
			for l.inFlight > 0 {
				l.release(team.Name, time.Second, deadline)
			}
		}
		if l.limit < initialConcurrencyLimit/4 {
			t.Errorf("limit after 200 rounds without congestion is %.1f", l.limit)
		}
	})
}

// TestMixedLatenciesDoNotReduceLimit guards against reading varied latencies as congestion: one response in ten is
// much slower than the others, or much faster, for example because its prompt prefix is cached.
func TestMixedLatenciesDoNotReduceLimit(t *testing.T) {
	const deadline = 5 * time.Second
	for _, test := range []struct{ usual, everyTenth time.Duration }{
		{500 * time.Millisecond, 4 * time.Second},
		{2 * time.Second, 100 * time.Millisecond},
		{2600 * time.Millisecond, 500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			l := &concurrencyLimiter{}
			team := &radishrule.Team{Name: "roads", Share: 1}
			rules := &radishrule.RuleSet{Teams: map[string]*radishrule.Team{"roads": team}}
			for i := range 1000 {
				l.admit(rules, team)
				latency := test.usual
				if i%10 == 0 {
					latency = test.everyTenth
				}
				l.release(team.Name, latency, deadline)
				time.Sleep(time.Second)
			}
			if l.limit < initialConcurrencyLimit {
				t.Errorf("latency %v, every tenth %v: limit fell to %.1f requests", test.usual, test.everyTenth, l.limit)
			}
		})
	}
}

// TestBacklogOfOneTeamDoesNotBlockAnother guards against rejecting a team because of another team's backlog, which
// makes all responses slow. The small team sends a third of the requests that complete, which is less than its fair
// share of one half: it must never be rejected, and the backlog must shrink.
func TestBacklogOfOneTeamDoesNotBlockAnother(t *testing.T) {
	const backlog, reducedLimit, completions = 200, 10, 400
	greedy, small := &radishrule.Team{Name: "greedy", Share: 1}, &radishrule.Team{Name: "small", Share: 1}
	rules := &radishrule.RuleSet{Teams: map[string]*radishrule.Team{"greedy": greedy, "small": small}}
	l := &concurrencyLimiter{limit: backlog, inFlightByTeam: make(map[string]int), credits: make(map[string]*credit)}
	var queue []*radishrule.Team
	admit := func(team *radishrule.Team) bool {
		isAdmitted := l.admit(rules, team)
		if isAdmitted {
			queue = append(queue, team)
		}
		return isAdmitted
	}
	for admit(greedy) {
	}
	for i := range completions {
		l.limit = reducedLimit
		l.release(queue[0].Name, time.Second, 5*time.Second)
		queue = queue[1:]
		if i%3 == 0 && !admit(small) {
			t.Fatalf("small team rejected after %d completed requests, with %d of %d in flight", i, l.inFlightByTeam["small"], l.inFlight)
		}
		admit(greedy)
	}
	if maxInFlight := backlog - (1-creditFraction)*completions; float64(l.inFlight) > maxInFlight {
		t.Errorf("%d requests in flight after %d completed requests, want at most %.0f", l.inFlight, completions, maxInFlight)
	}
}

// TestSlowResponsesInFlightDoNotReduceLimit keeps about ten requests in flight, most of which are the slow ones, and
// then ends the load, so that only slow requests complete at the end. Neither is congestion.
func TestSlowResponsesInFlightDoNotReduceLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const interval = 85 * time.Millisecond
		team := &radishrule.Team{Name: "roads", Share: 1}
		pipeline := &radishrule.Pipeline{Name: "p", Deadline: 5 * time.Second}
		rules := &radishrule.RuleSet{Teams: map[string]*radishrule.Team{"roads": team}}
		a := &Admission{MaxInFlight: 1000, EntryVMs: func() int { return 1 }}
		var rejected atomic.Int32
		for i := range 2000 {
			latency := 500 * time.Millisecond
			if i%10 == 0 {
				latency = 4 * time.Second
			}
			go func() {
				if a.Admit(rules, team, "p") != nil {
					rejected.Add(1)
					return
				}
				time.Sleep(latency)
				a.Release(team, pipeline, latency)
			}()
			time.Sleep(interval)
		}
		time.Sleep(pipeline.Deadline)
		a.mu.Lock()
		defer a.mu.Unlock()
		if limit := a.concurrencyLimiterOf("p").limit; rejected.Load() > 0 || limit < initialConcurrencyLimit {
			t.Errorf("%d requests were rejected and the limit is %.1f", rejected.Load(), limit)
		}
	})
}

func TestTeamsAreLimitedToFairShare(t *testing.T) {
	rules := &radishrule.RuleSet{Teams: map[string]*radishrule.Team{"greedy": {Name: "greedy", Share: 1}, "small": {Name: "small", Share: 1}}}
	a := &Admission{MaxInFlight: 40, EntryVMs: func() int { return 1 }}
	if err := a.Admit(rules, rules.Teams["small"], "p"); err != nil {
		t.Fatal(err)
	}
	admitted := 0
	for range 100 {
		if a.Admit(rules, rules.Teams["greedy"], "p") == nil {
			admitted++
		}
	}
	if admitted > 32 {
		t.Errorf("greedy team has %d of 40 requests in flight, want at most 32", admitted)
	}
	if err := a.Admit(rules, rules.Teams["small"], "p"); err != nil {
		t.Errorf("small team was rejected: %v", err)
	}
}

func TestRateLimitIsDividedAmongEntryVMs(t *testing.T) {
	team := &radishrule.Team{Name: "roads", Share: 1}
	rules := &radishrule.RuleSet{
		Teams:  map[string]*radishrule.Team{"roads": team},
		Limits: map[radishrule.TeamPipelineKey]*radishrule.Limit{{Team: "roads"}: {Team: "roads", RequestsPerSec: 40}},
	}
	synctest.Test(t, func(t *testing.T) {
		a := &Admission{MaxInFlight: 1000, EntryVMs: func() int { return 4 }}
		admitted := 0
		for range 1000 {
			err := a.Admit(rules, team, "p")
			if err == nil {
				admitted++
				a.Release(team, &radishrule.Pipeline{Name: "p", Deadline: time.Second}, time.Millisecond)
			} else if !errors.Is(err, radish.ErrShed) {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if admitted < 100 || admitted > 110 {
			t.Errorf("one of four VMs admitted %d requests in 10 s under a limit of 40/s, want 100 to 110", admitted)
		}
	})
}
