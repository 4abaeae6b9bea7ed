package radishfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// reportPace lets the fleet hear a report of the engine.
func reportPace(f *Fleet, engine string, pace float64, now time.Time) {
	f.Observe(f.targets[engine].target, radish.TargetNotice{Load: radish.TargetLoad{Pace: pace, Slots: 8, Reported: true}}, now)
}

// newPacedEngineFleet returns engines of which the first quarter is about twice as fast as the others by its own report.
func newPacedEngineFleet(n int) *Fleet {
	f := newEngineFleet(n)
	for i := range n {
		pace := 1.2
		if i < n/4 {
			pace = 0.55
		}
		reportPace(f, fmt.Sprintf("e%d", i), pace, testStart)
	}
	return f
}

// TestReplayLongPromptsGoToFastEngines guards against streams with gaps that callers do not accept: a slow engine that reads a long
// prompt produces the events of its other calls too slowly. Long prompts must mostly go to the fast engines, also long after the latest
// report, and short ones to all.
func TestReplayLongPromptsGoToFastEngines(t *testing.T) {
	const engines, calls = 40, 4_000
	now := testStart.Add(5 * time.Second)
	f := newPacedEngineFleet(engines)
	fastLong, fastShort := 0, 0
	for n := range calls {
		tokens := 12_000
		if n%2 == 0 {
			tokens = 800
		}
		name := pickName(t, f, Query{AffinityKey: fmt.Sprint(n), PromptTokens: tokens}, now)
		var i int
		_, _ = fmt.Sscanf(name, "e%d", &i)
		switch {
		case i < engines/4 && tokens == 12_000:
			fastLong++
		case i < engines/4:
			fastShort++
		}
		f.PromptRead(name, tokens)
		f.Done(name, Outcome{}, now)
	}
	if share := 2 * float64(fastLong) / calls; share < 0.8 {
		t.Errorf("%.2f of the long prompts went to the fast quarter of the engines", share)
	}
	if share := 2 * float64(fastShort) / calls; share < 0.15 || share > 0.5 {
		t.Errorf("%.2f of the short prompts went to the fast quarter of the engines", share)
	}
}

// TestEqualPacesChangeNoChoice guards against other choices where all engines report the same pace.
func TestEqualPacesChangeNoChoice(t *testing.T) {
	plain, paced := newEngineFleet(12), newEngineFleet(12)
	for i := range 12 {
		reportPace(paced, fmt.Sprintf("e%d", i), 1, testStart)
	}
	now := testStart.Add(2 * unevenHold)
	for n := range 2_000 {
		q := Query{AffinityKey: fmt.Sprint(n), PromptTokens: 100 + 20_000*(n%2)}
		a, b := pickName(t, plain, q, now), pickName(t, paced, q, now)
		if a != b {
			t.Fatalf("prompt %d goes to %s instead of %s", n, b, a)
		}
		for _, f := range []*Fleet{plain, paced} {
			f.PromptRead(a, q.PromptTokens)
			f.Done(a, Outcome{}, now)
		}
	}
}

// TestUsualPacesConverge guards against VMs that keep different usual paces, and so send the same prompt to different engines: whatever
// the order in which they hear reports and each other, they end with the same paces and digest.
func TestUsualPacesConverge(t *testing.T) {
	const engines, vms = 20, 6
	var fleets []*Fleet
	for range vms {
		fleets = append(fleets, newEngineFleet(engines))
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		engine := random.IntN(engines)
		pace := []float64{0.55, 1.2}[engine%2]
		if random.Float64() < 0.15 {
			pace *= 2.5
		}
		reportPace(fleets[random.IntN(vms)], fmt.Sprintf("e%d", engine), pace, testStart)
	}
	for range 3 {
		for _, from := range random.Perm(vms) {
			for _, to := range random.Perm(vms) {
				fleets[to].MergePaces(fleets[from].Paces())
			}
		}
	}
	for _, f := range fleets {
		if f.PaceDigest() != fleets[0].PaceDigest() || f.PaceDigest() == 0 {
			t.Fatal("the digests differ after all have heard of each other")
		}
	}
	for i := range engines {
		if got, want := fleets[0].targets[fmt.Sprintf("e%d", i)].usualPace, []float64{0.55, 1.2}[i%2]; got < want-0.01 || got > want+0.01 {
			t.Errorf("engine %d: usual pace %.2f, want %.2f", i, got, want)
		}
	}
	fleets[1].MergePaces([]TargetPace{{Key: paceKey(fleets[1].targets["e1"].target), Pace: 0}})
	if fleets[1].PaceDigest() != fleets[0].PaceDigest() {
		t.Error("a pace of zero was taken over")
	}
	fleets[0].Remove("e0")
	if len(fleets[0].Paces()) != engines-1 || fleets[0].PaceDigest() == fleets[1].PaceDigest() {
		t.Error("the pace of a removed engine is kept")
	}
}
