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

// configWorld is a platform with operators that race and VMs that follow, one as the platform's watcher.
type configWorld struct {
	platform *radishstandin.Platform
	holders  []*radishconfig.Holder

	mu        sync.Mutex
	violation string
	accepted  map[uint64]string
	refused   map[string]bool
	newest    [3]uint64
	history   []changeEvent
}

func (w *configWorld) failf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// change has an operator add a limit to what it last read.
func (w *configWorld) change(operator int, wait time.Duration) {
	store := &radishconfig.Store{Platform: w.platform}
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
	event := changeEvent{base: snapshot.Head.Generation, began: time.Now()}
	head, err := store.Apply(ctx, radishconfig.Change{Base: snapshot.Head.Generation, By: fmt.Sprint(operator), Lines: lines})
	event.ended, event.generation, event.verdict = time.Now(), head.Generation, verdictOf(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, event)
	if err == nil {
		if other, taken := w.accepted[head.Generation]; taken && w.violation == "" {
			w.violation = fmt.Sprintf("generation %d was accepted twice: %s and %s", head.Generation, other, head.ChangeID)
		}
		w.accepted[head.Generation] = head.ChangeID
	}
	if errors.Is(err, radish.ErrConflict) && head.ChangeID != "" {
		w.refused[head.ChangeID] = true
	}
}

// follow moves VM i forward from the platform and VM i+1 from VM i, and notes one that goes back.
func (w *configWorld) follow(ctx context.Context, i int) {
	watcher := &radishconfig.Watcher{
		Store: &radishconfig.Store{Platform: w.platform}, Holder: w.holders[i], Log: hclog.NewNullLogger(),
		IsWatcher: func() bool { return i == 0 }, Backstop: time.Second,
	}
	w.holders[i].OnChange = func(next *radishconfig.InForce) {
		w.mu.Lock()
		defer w.mu.Unlock()
		g := next.Snapshot.Head.Generation
		if g < w.newest[i] && w.violation == "" {
			w.violation = fmt.Sprintf("VM %d went back from generation %d to %d", i, w.newest[i], g)
		}
		w.newest[i] = g
	}
	_ = watcher.Run(ctx)
}

func (w *configWorld) exchange(from, to int) {
	raw, err := w.holders[from].EncodeFor(w.holders[to].Generation())
	if err != nil || raw == nil {
		return
	}
	if _, err := w.holders[to].OfferEncoded(raw); err != nil {
		w.failf("VM %d refused what VM %d gave it: %v", to, from, err)
	}
}

func (w *configWorld) check(store *radishconfig.Store) string {
	if w.violation != "" {
		return w.violation
	}
	if !isLinearizable(w.history) {
		return fmt.Sprintf("the accepted changes are not linearizable: %+v", w.history)
	}
	final, err := store.Load(context.Background())
	if errors.Is(err, radish.ErrNotFound) {
		return ""
	}
	if err != nil {
		return err.Error()
	}
	ids := make(map[string]bool)
	for _, d := range final.Head.Recent {
		ids[d.ChangeID] = true
	}
	for generation, id := range w.accepted {
		if !ids[id] && final.Head.Generation-generation < 20 {
			return fmt.Sprintf("change %s was accepted as generation %d and is gone", id, generation)
		}
	}
	for id := range w.refused {
		if ids[id] {
			return fmt.Sprintf("change %s was refused as a conflict and is in force", id)
		}
	}
	for i, h := range w.holders {
		if h.Generation() != final.Head.Generation || len(h.Snapshot().Lines) != len(final.Lines) {
			return fmt.Sprintf("VM %d has generation %d with %d lines, want %d with %d", i, h.Generation(), len(h.Snapshot().Lines), final.Head.Generation, len(final.Lines))
		}
	}
	return ""
}

type configStep struct {
	Kind   string
	A, B   int
	Wait   time.Duration
	Faults radishstandin.Faults
}

func playConfig(script []configStep) (violation string, accepted int) {
	w := &configWorld{platform: radishstandin.NewPlatform(), accepted: make(map[uint64]string), refused: make(map[string]bool)}
	ctx, cancel := context.WithCancel(context.Background())
	var vms, operators sync.WaitGroup
	for range 3 {
		w.holders = append(w.holders, &radishconfig.Holder{})
	}
	for i := range w.holders {
		vms.Go(func() { w.follow(ctx, i) })
	}
	for _, s := range script {
		switch s.Kind {
		case "change":
			operators.Go(func() { w.change(s.A, s.Wait) })
		case "exchange":
			w.exchange(s.A, s.B)
		case "fault":
			w.platform.SetFaults(s.Faults)
		}
		time.Sleep(s.Wait)
	}
	operators.Wait()
	w.platform.SetFaults(radishstandin.Faults{})
	time.Sleep(30 * time.Second)
	violation = w.check(&radishconfig.Store{Platform: w.platform})
	cancel()
	vms.Wait()
	return violation, len(w.accepted)
}

// TestConfigurationUnderFaults is the proof of "an accepted configuration is in force everywhere and never reverts".
func TestConfigurationUnderFaults(t *testing.T) {
	cases, accepted := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) configStep {
			return configStep{
				Kind: rapid.SampledFrom([]string{"change", "change", "change", "exchange", "exchange", "fault"}).Draw(rt, "kind"),
				A:    rapid.IntRange(0, 2).Draw(rt, "a"),
				B:    rapid.IntRange(0, 2).Draw(rt, "b"),
				Wait: time.Duration(rapid.IntRange(0, 3000).Draw(rt, "wait_ms")) * time.Millisecond,
				Faults: radishstandin.Faults{
					Outage:      rapid.IntRange(0, 5).Draw(rt, "outage") == 0,
					DelayMS:     rapid.SampledFrom([]int{0, 0, 200}).Draw(rt, "delay"),
					LoseAnswers: rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(rt, "lose"),
					LateUpdates: rapid.SampledFrom([]int{0, 0, 2, 3}).Draw(rt, "late"),
					LateByMS:    rapid.SampledFrom([]int{50, 2000}).Draw(rt, "late_by"),
					StaleReads:  rapid.SampledFrom([]int{0, 2}).Draw(rt, "stale"),
				},
			}
		}), 1, 25).Draw(rt, "script")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			v, n := playConfig(script)
			violation = v
			accepted += n
		})
		cases++
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("played %d cases with %d accepted changes", cases, accepted)
	if cases < 2 || accepted == 0 {
		t.Fatalf("too few cases or changes: %d, %d", cases, accepted)
	}
}
