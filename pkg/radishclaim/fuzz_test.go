package radishclaim_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishclaim"
)

// The run in make test is the same every time; flags on the command line go first.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

const (
	fuzzVMs    = 3
	fuzzKeys   = 3
	fuzzWindow = 2 * time.Minute
)

// step is one operation or fault of a drawn script.
type step struct {
	After time.Duration
	Kind  string
	VM    int
	Key   int
	// Pause is how long the VM is frozen between its claim and its dispatch.
	Pause time.Duration
	// Dies tells that the VM dies at the end of the pause.
	Dies   bool
	Faults radishstandin.Faults
}

func drawScript(rt *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			After: time.Duration(rapid.IntRange(0, 400).Draw(rt, "after_ms")) * time.Millisecond,
			Kind:  rapid.SampledFrom([]string{"call", "call", "call", "call", "fault", "cut", "freeze", "heal", "skip"}).Draw(rt, "kind"),
			VM:    rapid.IntRange(0, fuzzVMs-1).Draw(rt, "vm"),
			Key:   rapid.IntRange(0, fuzzKeys-1).Draw(rt, "key"),
			Pause: rapid.SampledFrom([]time.Duration{0, 0, 0, time.Second, time.Minute, 2 * time.Hour}).Draw(rt, "pause"),
			Dies:  rapid.IntRange(0, 9).Draw(rt, "dies") == 0,
			Faults: radishstandin.Faults{
				Outage:      rapid.IntRange(0, 9).Draw(rt, "outage") == 0,
				DelayMS:     rapid.SampledFrom([]int{0, 0, 3, 50}).Draw(rt, "delay"),
				LoseAnswers: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "lose"),
				LateUpdates: rapid.SampledFrom([]int{0, 0, 2, 3}).Draw(rt, "late"),
				LateByMS:    rapid.SampledFrom([]int{10, 500, 5000}).Draw(rt, "late_by"),
				StaleReads:  rapid.SampledFrom([]int{0, 0, 2}).Draw(rt, "stale"),
			},
		}
	}), 1, 30).Draw(rt, "script")
}

// oracle counts the runs of each key and remembers what callers were told.
type oracle struct {
	mu       sync.Mutex
	runs     map[int][]string
	fault    string
	answered int
	history  []claimEvent
}

func (o *oracle) failf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fault == "" {
		o.fault = fmt.Sprintf(format, args...)
	}
}

func (o *oracle) run(key int, call string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[key] = append(o.runs[key], call)
	if len(o.runs[key]) > 1 && o.fault == "" {
		o.fault = fmt.Sprintf("key %d ran %d times: %v", key, len(o.runs[key]), o.runs[key])
	}
}

func (o *oracle) hasRun(key int, call string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range o.runs[key] {
		if id == call {
			return true
		}
	}
	return false
}

// world is the system under test: several VMs' ledgers before one platform.
type world struct {
	platform *radishstandin.Platform
	views    []*radishstandin.View
	ledgers  []*radishclaim.Ledger
	writers  []*radishclaim.BatchWriter
	keys     []uuid.UUID
	oracle   oracle
	calls    sync.WaitGroup
}

func newWorld(wrap func(radish.Platform) radish.Platform) *world {
	w := &world{platform: radishstandin.NewPlatform()}
	w.oracle.runs = make(map[int][]string)
	for i := range fuzzVMs {
		view := &radishstandin.View{Platform: wrap(w.platform)}
		w.views = append(w.views, view)
		writer := &radishclaim.BatchWriter{Platform: view, Interval: 10 * time.Millisecond}
		w.writers = append(w.writers, writer)
		w.ledgers = append(w.ledgers, &radishclaim.Ledger{
			Platform: view, VM: fmt.Sprintf("vm-%d", i), Window: fuzzWindow, Log: hclog.NewNullLogger(),
			Writer: writer,
		})
	}
	for range fuzzKeys {
		w.keys = append(w.keys, radishstandin.KeyAt(time.Now()))
	}
	return w
}

// call is what an entry VM does with one request of a caller.
func (w *world) call(n int, s step) {
	id := fmt.Sprintf("call-%d", n)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	key := radishclaim.Key{Team: "roads", Pipeline: "work_order", ID: w.keys[s.Key]}
	began := time.Now()
	claim, err := w.ledgers[s.VM].Claim(ctx, key, "same-body")
	if err != nil {
		if errors.Is(err, radish.ErrUnavailable) && w.oracle.hasRun(s.Key, id) {
			w.oracle.failf("%s was refused as not run, but ran", id)
		}
		return
	}
	if !claim.IsOwner {
		w.oracle.mu.Lock()
		w.oracle.answered++
		w.oracle.mu.Unlock()
		w.oracle.record(claimEvent{key: s.Key, call: id, outcome: string(claim.Outcome), began: began, ended: time.Now()})
		if !w.oracle.hasRun(s.Key, string(claim.Outcome)) {
			w.oracle.failf("%s got the outcome %q of no run of key %d", id, claim.Outcome, s.Key)
		}
		return
	}
	time.Sleep(s.Pause)
	if s.Dies {
		return
	}
	w.oracle.run(s.Key, id)
	time.Sleep(20 * time.Millisecond)
	w.ledgers[s.VM].Finish(claim, []byte(id))
	w.oracle.record(claimEvent{key: s.Key, call: id, outcome: id, began: began, ended: time.Now()})
}

func (w *world) play(script []step) string {
	ctx, cancel := context.WithCancel(context.Background())
	sweeper := &radishclaim.Sweeper{Platform: w.platform, Window: fuzzWindow, IsChosen: func() bool { return true }}
	var sweeping sync.WaitGroup
	sweeping.Go(func() { _ = sweeper.Run(ctx) })
	for i, s := range script {
		time.Sleep(s.After)
		switch s.Kind {
		case "call":
			w.calls.Go(func() { w.call(i, s) })
		case "fault":
			w.platform.SetFaults(s.Faults)
		case "cut":
			w.views[s.VM].SetCut(true)
		case "freeze":
			w.views[s.VM].SetDelay(s.Pause)
		case "heal":
			w.views[s.VM].SetCut(false)
			w.views[s.VM].SetDelay(0)
			w.platform.SetFaults(radishstandin.Faults{})
		case "skip":
			time.Sleep(s.Pause)
		}
	}
	w.calls.Wait()
	w.wait()
	cancel()
	sweeping.Wait()
	// Late updates of the platform may still be under way.
	time.Sleep(10 * time.Second)
	return w.oracle.fault
}

// wait returns once no ledger and no writer has anything under way.
func (w *world) wait() {
	for i := range w.ledgers {
		w.ledgers[i].Wait()
		w.writers[i].Wait()
	}
}

func playScript(t *testing.T, script []step, wrap func(radish.Platform) radish.Platform) (fault string, o *oracle) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(wrap)
		fault = w.play(script)
		o = &w.oracle
	})
	return fault, o
}

func asIs(p radish.Platform) radish.Platform { return p }

// TestAtMostOnceUnderFaults is the proof of "a non-idempotent request runs at most once" and, for claims, of "a
// refusal that says not run is true".
func TestAtMostOnceUnderFaults(t *testing.T) {
	cases, steps, runs := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		fault, o := playScript(t, script, asIs)
		cases++
		steps += len(script)
		for _, r := range o.runs {
			runs += len(r)
		}
		if fault != "" {
			rt.Fatal(fault)
		}
		checkLinearizable(rt, o)
	})
	t.Logf("played %d cases with %d steps and %d runs", cases, steps, runs)
	if cases < 2 || runs == 0 {
		t.Fatalf("too few cases or runs: %d, %d", cases, runs)
	}
}

// unconditional is a platform whose updates ignore the expected version: the mechanism of claims is taken away.
type unconditional struct{ radish.Platform }

// Put implements radish.Platform.
func (u unconditional) Put(ctx context.Context, key string, value []byte, _ uint64) (uint64, error) {
	current, err := u.Get(ctx, key)
	if err != nil && !errors.Is(err, radish.ErrNotFound) {
		return 0, radish.ErrAmbiguous
	}
	return u.Platform.Put(ctx, key, value, current.Version)
}

// TestAtMostOnceFailsWithoutCondition shows that the proof sees a second run when updates are not conditional.
func TestAtMostOnceFailsWithoutCondition(t *testing.T) {
	script := []step{
		{Kind: "call", VM: 0}, {Kind: "call", VM: 1}, {Kind: "call", VM: 2},
	}
	fault, _ := playScript(t, script, func(p radish.Platform) radish.Platform { return unconditional{p} })
	if fault == "" {
		t.Fatal("three VMs that update without a condition ran the key once; the proof proves nothing")
	}
}
