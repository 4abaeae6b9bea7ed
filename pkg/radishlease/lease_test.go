package radishlease_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radishlease"
)

// init fixes the seed so that make test is reproducible; flags on the command line take precedence.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

const leaseDuration = 4 * time.Second

type candidate struct {
	view  *radishstandin.PlatformClient
	lease *radishlease.Lease
	stop  context.CancelFunc
}

func newCandidate(p *radishstandin.Platform, name string, wg *sync.WaitGroup) *candidate {
	c := &candidate{view: &radishstandin.PlatformClient{Platform: p}}
	c.lease = &radishlease.Lease{
		Platform: c.view, Key: "steward-test", Name: name, Duration: leaseDuration,
		IsCandidate: func() bool { return true }, Log: hclog.NewNullLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	wg.Go(func() { _ = c.lease.Run(ctx) })
	return c
}

func countHolders(candidates []*candidate) int {
	n := 0
	for _, c := range candidates {
		if c.lease.IsHeld() {
			n++
		}
	}
	return n
}

// TestOneHolderUnderFaults guards against two VMs that consider themselves the holder of the lease at the same time. It
// exposes three VMs to random platform faults, network partitions, delays and shutdowns and checks every 50 ms.
func TestOneHolderUnderFaults(t *testing.T) {
	scripts, heldChecks := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			VM         int
			Disconnect bool
			Delay      time.Duration
			Stop       bool
			Faults     radishstandin.Faults
			Duration   time.Duration
		}
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				VM:         rapid.IntRange(0, 2).Draw(rt, "vm"),
				Disconnect: rapid.Bool().Draw(rt, "cut"),
				Delay:      rapid.SampledFrom([]time.Duration{0, 0, time.Second, 10 * time.Second}).Draw(rt, "delay"),
				Stop:       rapid.IntRange(0, 19).Draw(rt, "stop") == 0,
				Faults: radishstandin.Faults{
					Outage:            rapid.IntRange(0, 9).Draw(rt, "outage") == 0,
					LoseResponseEvery: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "lose"),
					LateUpdateEvery:   rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "late"),
					LateUpdateDelayMS: rapid.SampledFrom([]int{100, 2000, 6000}).Draw(rt, "late_by"),
					StaleReadEvery:    rapid.SampledFrom([]int{0, 2}).Draw(rt, "stale"),
				},
				Duration: time.Duration(rapid.IntRange(1, 12).Draw(rt, "for_s")) * time.Second,
			}
		}), 1, 8).Draw(rt, "script")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			platform := radishstandin.NewPlatform()
			var wg sync.WaitGroup
			var candidates []*candidate
			for i := range 3 {
				candidates = append(candidates, newCandidate(platform, fmt.Sprintf("vm-%d", i), &wg))
			}
			for _, s := range script {
				candidates[s.VM].view.SetDisconnected(s.Disconnect)
				candidates[s.VM].view.SetDelay(s.Delay)
				platform.SetFaults(s.Faults)
				if s.Stop {
					candidates[s.VM].stop()
				}
				for end := time.Now().Add(s.Duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					n := countHolders(candidates)
					heldChecks += n
					if n > 1 && violation == "" {
						violation = fmt.Sprintf("%d VMs hold the lease at the same time", n)
					}
				}
			}
			for _, c := range candidates {
				c.stop()
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
		})
		scripts++
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("ran %d scripts; checks found the lease held %d times", scripts, heldChecks)
	if scripts < 2 || heldChecks == 0 {
		t.Fatalf("ran %d scripts and found the lease held %d times, want at least 2 and 1", scripts, heldChecks)
	}
}

func TestReleasedLeaseIsAcquiredBeforeItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := radishstandin.NewPlatform()
		var wg sync.WaitGroup
		first := newCandidate(platform, "vm-0", &wg)
		synctest.Wait()
		if !first.lease.IsHeld() {
			t.Fatal("the only candidate did not acquire the lease")
		}
		second := newCandidate(platform, "vm-1", &wg)
		first.stop()
		time.Sleep(leaseDuration / 2)
		if !second.lease.IsHeld() {
			t.Error("released lease was not acquired within half its duration")
		}
		if got := second.lease.Current().Term; got != 2 {
			t.Errorf("got term %d, want 2", got)
		}
		second.stop()
		wg.Wait()
	})
}
