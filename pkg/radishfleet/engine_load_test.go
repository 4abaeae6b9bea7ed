package radishfleet

import (
	"fmt"
	"math"
	"testing"

	"radishramp.example/radishramp/pkg/radish"
)

// newUnevenEngineFleet returns engines of which the first quarter was learned to take twice the time of the others.
func newUnevenEngineFleet(n int) *Fleet {
	f := newEngineFleet(n)
	slow := make(map[string]bool)
	for i := range n / 4 {
		slow[fmt.Sprintf("e%d", i)] = true
	}
	tellSpeeds(f, WorkPrompt, 50, func(name string) float64 {
		if slow[name] {
			return 2
		}
		return 1
	})
	return f
}

// TestSlowEnginesGetHalfOfThePrompts checks that an engine of half the speed is assigned about half as many prompts, and that an
// engine keeps its prompts when it is not known to be slow.
func TestSlowEnginesGetHalfOfThePrompts(t *testing.T) {
	const engines, prompts = 40, 20_000
	even, uneven := newEngineFleet(engines), newUnevenEngineFleet(engines)
	slow, moved := 0, 0
	for n := range prompts {
		q := Query{AffinityKey: fmt.Sprint(n)}
		before, after := pickName(t, even, q, testStart), pickName(t, uneven, q, testStart)
		var i int
		_, _ = fmt.Sscanf(after, "e%d", &i)
		if i < engines/4 {
			slow++
		} else if before != after {
			moved++
		}
		even.Done(before, Outcome{}, testStart)
		uneven.Done(after, Outcome{}, testStart)
	}
	perSlow, perFast := float64(slow)/(engines/4), float64(prompts-slow)/(engines*3/4)
	if ratio := perSlow / perFast; ratio < 0.4 || ratio > 0.65 {
		t.Errorf("an engine of half the speed gets %.2f times the prompts of another one", ratio)
	}
	if share := float64(moved) / prompts; share > 0.15 {
		t.Errorf("%.3f of the prompts moved to other engines", share)
	}
}

// TestUnreadPromptsCountAsLoad checks that calls with the prompt of an engine that reads a very long one go to another engine until it
// has been read, since they would wait for it.
func TestUnreadPromptsCountAsLoad(t *testing.T) {
	f := newUnevenEngineFleet(9)
	q := Query{AffinityKey: "p", PromptTokens: 1000}
	assigned := pickName(t, f, q, testStart)
	f.PromptRead(assigned, 1000)
	f.Done(assigned, Outcome{}, testStart)
	long := q
	long.PromptTokens = 30_000
	if got := pickName(t, f, long, testStart); got != assigned {
		t.Fatalf("picked %s, the prompt is assigned to %s", got, assigned)
	}
	other := pickName(t, f, q, testStart)
	if other == assigned {
		t.Errorf("picked %s, which is reading 30,000 tokens", other)
	}
	f.PromptRead(assigned, long.PromptTokens)
	if got := pickName(t, f, q, testStart); got != assigned {
		t.Errorf("picked %s, but %s has read the long prompt", got, assigned)
	}
}

// TestLoadOfUnknownEnginesIsTheMean checks that an engine whose load is not known is not taken to be idle.
func TestLoadOfUnknownEnginesIsTheMean(t *testing.T) {
	f := newEngineFleet(3)
	f.Observe(radish.Target{Name: "e0", StartedUnixMilli: 1}, radish.TargetNotice{
		Load: radish.TargetLoad{Running: 9, Slots: 64, Pace: 1, Reported: true},
	}, testStart)
	loads := f.engineLoadsOf(f.byService["s"], testStart)
	if known, unknown := loads.of(f.targets["e0"]), loads.of(f.targets["e1"]); known != 10 || unknown != known {
		t.Errorf("load %.1f, and %.1f of an engine whose load is not known; want 10 for both", known, unknown)
	}
}

// TestSlackFollowsSlots checks the load up to which an engine is picked by affinity. An engine with many slots must not lose its
// prompts for a few calls, and one with few slots must not get so many that they wait.
func TestSlackFollowsSlots(t *testing.T) {
	for slots, want := range map[int]float64{0: 3.6, 1: 3.6, 4: 3.6, 8: 4.6, 24: 8.6, 64: 8.6} {
		s := &targetState{target: radish.Target{Slots: slots}}
		if got := s.maxEngineLoad(2); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d slots: load up to %.2f at a mean of 2, want %.2f", slots, got, want)
		}
	}
}
