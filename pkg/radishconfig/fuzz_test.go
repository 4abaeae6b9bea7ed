package radishconfig_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishrule"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
}

// configSimulation simulates a platform, operators that submit changes concurrently, and VMs that receive them. VM 0
// watches the platform, the other VMs poll it.
type configSimulation struct {
	platform *radishstandin.Platform
	holders  []*radishconfig.Holder

	mu        sync.Mutex
	violation string
	accepted  map[uint64]string
	conflicts map[string]bool
	// generations are the last seen generations of the VMs.
	generations [3]uint64
	history     []changeEvent
}

func (sim *configSimulation) recordViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// applyChange reads the configuration, waits, and then submits it with a drain rule added.
func (sim *configSimulation) applyChange(operator int, wait time.Duration) {
	store := &radishconfig.Store{Platform: sim.platform}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	snapshot, err := store.Load(ctx)
	if errors.Is(err, radish.ErrNotFound) {
		snapshot, err = &radishconfig.Snapshot{}, nil
	}
	if err != nil {
		return
	}
	time.Sleep(wait)
	lines := append(snapshot.Lines[:len(snapshot.Lines):len(snapshot.Lines)], radishrule.Line{
		Text: fmt.Sprintf("drain target=t-%d-%d", operator, time.Now().UnixNano()), Comment: "asked by a test",
	})
	event := changeEvent{base: snapshot.Head.Generation, start: time.Now()}
	head, err := store.Apply(ctx, radishconfig.Change{Base: snapshot.Head.Generation, By: fmt.Sprint(operator), Lines: lines})
	event.end, event.generation, event.outcome = time.Now(), head.Generation, outcomeOf(err)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.history = append(sim.history, event)
	if err == nil {
		if other, exists := sim.accepted[head.Generation]; exists && sim.violation == "" {
			sim.violation = fmt.Sprintf("generation %d was accepted twice: %s and %s", head.Generation, other, head.ChangeID)
		}
		sim.accepted[head.Generation] = head.ChangeID
	}
	if errors.Is(err, radish.ErrConflict) && head.ChangeID != "" {
		sim.conflicts[head.ChangeID] = true
	}
}

// runWatcher runs the Watcher of VM i until ctx is done and records a violation if the VM's generation decreases.
func (sim *configSimulation) runWatcher(ctx context.Context, i int) {
	watcher := &radishconfig.Watcher{
		Store: &radishconfig.Store{Platform: sim.platform}, Holder: sim.holders[i], Log: hclog.NewNullLogger(),
		ShouldWatch: func() bool { return i == 0 }, PollInterval: time.Second,
	}
	sim.holders[i].OnChange = func(next *radishconfig.ActiveConfig) {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		generation := next.Snapshot.Head.Generation
		if generation < sim.generations[i] && sim.violation == "" {
			sim.violation = fmt.Sprintf("VM %d reverted from generation %d to %d", i, sim.generations[i], generation)
		}
		sim.generations[i] = generation
	}
	_ = watcher.Run(ctx)
}

// exchange updates one VM from another, as peers do.
func (sim *configSimulation) exchange(from, to int) {
	encoded, err := sim.holders[from].EncodeSince(sim.holders[to].Generation())
	if err != nil || encoded == nil {
		return
	}
	if _, err := sim.holders[to].UpdateFromPeer(encoded); err != nil {
		sim.recordViolation("VM %d rejected the configuration from VM %d: %v", to, from, err)
	}
}

// checkFinal returns the first violation of the run, or one in the final configuration of the platform and the VMs.
func (sim *configSimulation) checkFinal(store *radishconfig.Store) string {
	if sim.violation != "" {
		return sim.violation
	}
	if !isLinearizable(sim.history) {
		return fmt.Sprintf("changes are not linearizable: %+v", sim.history)
	}
	final, err := store.Load(context.Background())
	if errors.Is(err, radish.ErrNotFound) {
		return ""
	}
	if err != nil {
		return err.Error()
	}
	recentIDs := make(map[string]bool)
	for _, d := range final.Head.Recent {
		recentIDs[d.ChangeID] = true
	}
	for generation, id := range sim.accepted {
		if !recentIDs[id] && final.Head.Generation-generation < 20 {
			return fmt.Sprintf("change %s was accepted as generation %d but is missing from the recent changes", id, generation)
		}
	}
	for id := range sim.conflicts {
		if recentIDs[id] {
			return fmt.Sprintf("change %s was rejected with a conflict but is among the recent changes", id)
		}
	}
	for i, h := range sim.holders {
		if h.Generation() != final.Head.Generation || len(h.Snapshot().Lines) != len(final.Lines) {
			return fmt.Sprintf("VM %d has generation %d with %d lines, want %d with %d", i, h.Generation(), len(h.Snapshot().Lines), final.Head.Generation, len(final.Lines))
		}
	}
	return ""
}

// configStep is one step of a simulation, followed by a wait. Actor is the operator of a change or the VM that sends in
// an exchange, Receiver is the VM that receives in an exchange.
type configStep struct {
	Kind            string
	Actor, Receiver int
	Wait            time.Duration
	Faults          radishstandin.Faults
}

// runScript runs the steps and checks the result 30 s after the faults end.
func runScript(script []configStep) (violation string, accepted int) {
	sim := &configSimulation{platform: radishstandin.NewPlatform(), accepted: make(map[uint64]string), conflicts: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	var vms, operators sync.WaitGroup
	for range 3 {
		sim.holders = append(sim.holders, &radishconfig.Holder{})
	}
	for i := range sim.holders {
		vms.Go(func() { sim.runWatcher(ctx, i) })
	}
	for _, s := range script {
		switch s.Kind {
		case "change":
			operators.Go(func() { sim.applyChange(s.Actor, s.Wait) })
		case "exchange":
			sim.exchange(s.Actor, s.Receiver)
		case "fault":
			sim.platform.SetFaults(s.Faults)
		}
		time.Sleep(s.Wait)
	}
	operators.Wait()
	sim.platform.SetFaults(radishstandin.Faults{})
	time.Sleep(30 * time.Second)
	violation = sim.checkFinal(&radishconfig.Store{Platform: sim.platform})
	cancel()
	vms.Wait()
	return violation, len(sim.accepted)
}

// TestConfigurationUnderFaults checks that an accepted configuration becomes active on all VMs and never reverts, with
// concurrent changes, updates between peers, and outages, lost responses, late updates and stale reads of the platform.
func TestConfigurationUnderFaults(t *testing.T) {
	cases, accepted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) configStep {
			return configStep{
				Kind:     rapid.SampledFrom([]string{"change", "change", "change", "exchange", "exchange", "fault"}).Draw(rt, "kind"),
				Actor:    rapid.IntRange(0, 2).Draw(rt, "a"),
				Receiver: rapid.IntRange(0, 2).Draw(rt, "b"),
				Wait:     time.Duration(rapid.IntRange(0, 3000).Draw(rt, "wait_ms")) * time.Millisecond,
				Faults: radishstandin.Faults{
					Outage:            rapid.IntRange(0, 5).Draw(rt, "outage") == 0,
					DelayMS:           rapid.SampledFrom([]int{0, 0, 200}).Draw(rt, "delay"),
					LoseResponseEvery: rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(rt, "lose"),
					LateUpdateEvery:   rapid.SampledFrom([]int{0, 0, 2, 3}).Draw(rt, "late"),
					LateUpdateDelayMS: rapid.SampledFrom([]int{50, 2000}).Draw(rt, "late_by"),
					StaleReadEvery:    rapid.SampledFrom([]int{0, 2}).Draw(rt, "stale"),
				},
			}
		}), 1, 25).Draw(rt, "script")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			v, n := runScript(script)
			violation = v
			accepted += n
		})
		cases++
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("ran %d cases with %d accepted changes", cases, accepted)
	if cases < 2 || accepted == 0 {
		t.Fatalf("too few cases or accepted changes: %d, %d", cases, accepted)
	}
}
