package radishserve

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"radishramp.example/radishramp/internal/radishstandin"
)

// Use a fixed seed, so that each run of make test draws the same cases. Flags on the command line take precedence.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

// faultStep injects one fault of a randomly drawn script. The fault lasts until another step replaces or ends it.
type faultStep struct {
	Kind     string
	VM       int
	Target   int
	For      time.Duration // how long load is sent after the injection; also how long a target turns cold
	Delay    time.Duration
	Platform radishstandin.Faults
	Faults   radishstandin.TargetFaults
	Seed     uint64
}

var faultKinds = []string{
	"none", "platform", "disconnect_vm", "delay_vm", "restore_vm", "partition", "restore_network", "stop_vm", "turn_cold",
	"target_faults", "target_leaves", "drain",
}

func drawFaultScript(rt *rapid.T) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) faultStep {
		return faultStep{
			Kind:   rapid.SampledFrom(faultKinds).Draw(rt, "kind"),
			VM:     rapid.IntRange(0, 5).Draw(rt, "vm"),
			Target: rapid.IntRange(0, 7).Draw(rt, "target"),
			For:    time.Duration(rapid.IntRange(500, 8000).Draw(rt, "for_ms")) * time.Millisecond,
			Delay:  rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second}).Draw(rt, "delay"),
			Platform: radishstandin.Faults{
				Outage:            rapid.IntRange(0, 2).Draw(rt, "outage") == 0,
				DelayMS:           rapid.SampledFrom([]int{0, 5, 300}).Draw(rt, "slow"),
				LoseResponseEvery: rapid.SampledFrom([]int{0, 2, 5}).Draw(rt, "lose"),
				LateUpdateEvery:   rapid.SampledFrom([]int{0, 0, 3}).Draw(rt, "late"),
				LateUpdateDelayMS: rapid.SampledFrom([]int{100, 3000}).Draw(rt, "late_by"),
				StaleReadEvery:    rapid.SampledFrom([]int{0, 0, 2}).Draw(rt, "stale"),
			},
			Faults: radishstandin.TargetFaults{
				FailEvery:         rapid.SampledFrom([]int{0, 0, 3}).Draw(rt, "fail"),
				TruncateEvery:     rapid.SampledFrom([]int{0, 0, 3}).Draw(rt, "cut"),
				MismatchEvery:     rapid.SampledFrom([]int{0, 0, 3}).Draw(rt, "cross"),
				ExtraProcessingMS: rapid.SampledFrom([]int{0, 0, 500}).Draw(rt, "slow_by"),
			},
			Seed: rapid.Uint64().Draw(rt, "seed"),
		}
	}), 1, 6).Draw(rt, "script")
}

// inject injects the fault of the step.
func (c *cluster) inject(step faultStep) {
	v := c.vms[step.VM%len(c.vms)]
	target := c.targets[step.Target%len(c.targets)]
	switch step.Kind {
	case "platform":
		c.platform.SetFaults(step.Platform)
	case "disconnect_vm":
		v.view.SetDisconnected(true)
	case "delay_vm":
		v.view.SetDelay(step.Delay)
	case "restore_vm":
		v.view.SetDisconnected(false)
		v.view.SetDelay(0)
	case "partition":
		c.network.SetPartition(func(from, to string) bool {
			return strings.HasPrefix(from, "bandung") != strings.HasPrefix(to, "bandung") || strings.HasPrefix(from, v.name) || strings.HasPrefix(to, v.name)
		})
	case "restore_network":
		c.network.SetPartition(nil)
	case "stop_vm":
		v.stop()
	case "turn_cold":
		target.TurnCold(step.For)
	case "target_faults":
		target.SetFaults(step.Faults)
	case "target_leaves":
		target.SetLeaving(true)
	case "drain":
		// The change is rightly rejected if this VM has a stale generation and another change was accepted first.
		if snapshot := v.server.configHolder.Snapshot(); snapshot != nil && snapshot.Head.Generation == 1 {
			c.calls.Go(func() { _ = c.tryApply(1, rulesText("drain target="+target.Name+" # test\n")) })
		}
	}
}

// watchGenerations watches the VMs until stop is closed. It returns a description of the first VM whose generation
// decreases, or "".
func (c *cluster) watchGenerations(stop chan struct{}) string {
	newest := make(map[string]uint64)
	for {
		for _, v := range c.vms {
			g := v.server.configHolder.Generation()
			if g < newest[v.name] {
				return fmt.Sprintf("%s reverted from generation %d to %d", v.name, newest[v.name], g)
			}
			newest[v.name] = g
		}
		select {
		case <-stop:
			return ""
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// runScript injects the faults of the script one after the other under load and checks the guarantees.
func (c *cluster) runScript(script []faultStep) string {
	time.Sleep(settlingTime)
	stop := make(chan struct{})
	reverted := make(chan string, 1)
	go func() { reverted <- c.watchGenerations(stop) }()
	for _, step := range script {
		c.inject(step)
		c.load(rand.New(rand.NewPCG(step.Seed, 1)), step.For, 25*time.Millisecond)
	}
	close(stop)
	c.calls.Wait()
	if failure := <-reverted; failure != "" {
		return failure
	}
	return c.check()
}

// TestPromisesUnderFaults checks the guarantees while it injects randomly drawn faults into a cluster of six entry VMs
// in two data centres under load.
func TestPromisesUnderFaults(t *testing.T) {
	cases, successes := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		script := drawFaultScript(rt)
		failure := inBubble(t, func(t *testing.T) string {
			c := newCluster(t, "bandung", "semarang")
			defer c.close()
			failure := c.runScript(script)
			successes += c.successes
			return failure
		})
		cases++
		if failure != "" {
			rt.Fatal(failure)
		}
	})
	t.Logf("ran %d cases with %d complete responses", cases, successes)
	if cases < 2 || successes == 0 {
		t.Fatalf("too few cases or complete responses: %d cases, %d responses", cases, successes)
	}
}
