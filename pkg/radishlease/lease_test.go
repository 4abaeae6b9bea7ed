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

// The run in make test is the same every time; flags on the command line go first.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
}

const leaseTime = 4 * time.Second

type contender struct {
	view  *radishstandin.View
	lease *radishlease.Lease
	stop  context.CancelFunc
}

func newContender(p *radishstandin.Platform, name string, wg *sync.WaitGroup) *contender {
	c := &contender{view: &radishstandin.View{Platform: p}}
	c.lease = &radishlease.Lease{
		Platform: c.view, Key: "steward-test", Name: name, Duration: leaseTime,
		IsCandidate: func() bool { return true }, Log: hclog.NewNullLogger(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	wg.Go(func() { _ = c.lease.Run(ctx) })
	return c
}

func holders(contenders []*contender) int {
	n := 0
	for _, c := range contenders {
		if c.lease.IsHeld() {
			n++
		}
	}
	return n
}

// TestOneHolderUnderFaults checks at every 50 ms that at most one VM believes that it holds the lease.
func TestOneHolderUnderFaults(t *testing.T) {
	cases, held := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		type fault struct {
			VM     int
			Cut    bool
			Delay  time.Duration
			Stop   bool
			Faults radishstandin.Faults
			For    time.Duration
		}
		script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
			return fault{
				VM:    rapid.IntRange(0, 2).Draw(rt, "vm"),
				Cut:   rapid.Bool().Draw(rt, "cut"),
				Delay: rapid.SampledFrom([]time.Duration{0, 0, time.Second, 10 * time.Second}).Draw(rt, "delay"),
				Stop:  rapid.IntRange(0, 19).Draw(rt, "stop") == 0,
				Faults: radishstandin.Faults{
					Outage:      rapid.IntRange(0, 9).Draw(rt, "outage") == 0,
					LoseAnswers: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "lose"),
					LateUpdates: rapid.SampledFrom([]int{0, 2, 3}).Draw(rt, "late"),
					LateByMS:    rapid.SampledFrom([]int{100, 2000, 6000}).Draw(rt, "late_by"),
					StaleReads:  rapid.SampledFrom([]int{0, 2}).Draw(rt, "stale"),
				},
				For: time.Duration(rapid.IntRange(1, 12).Draw(rt, "for_s")) * time.Second,
			}
		}), 1, 8).Draw(rt, "script")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			platform := radishstandin.NewPlatform()
			var wg sync.WaitGroup
			var contenders []*contender
			for i := range 3 {
				contenders = append(contenders, newContender(platform, fmt.Sprintf("vm-%d", i), &wg))
			}
			for _, f := range script {
				contenders[f.VM].view.SetCut(f.Cut)
				contenders[f.VM].view.SetDelay(f.Delay)
				platform.SetFaults(f.Faults)
				if f.Stop {
					contenders[f.VM].stop()
				}
				for end := time.Now().Add(f.For); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					n := holders(contenders)
					held += n
					if n > 1 && violation == "" {
						violation = fmt.Sprintf("%d VMs hold the lease at the same time", n)
					}
				}
			}
			for _, c := range contenders {
				c.stop()
			}
			wg.Wait()
			time.Sleep(10 * time.Second)
		})
		cases++
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("played %d cases; the lease was held at %d checks", cases, held)
	if cases < 2 || held == 0 {
		t.Fatalf("too few cases or the lease was never held: %d, %d", cases, held)
	}
}

func TestReleasedLeaseIsTakenAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := radishstandin.NewPlatform()
		var wg sync.WaitGroup
		first := newContender(platform, "vm-0", &wg)
		synctest.Wait()
		if !first.lease.IsHeld() {
			t.Fatal("a lone candidate did not take the lease")
		}
		second := newContender(platform, "vm-1", &wg)
		first.stop()
		time.Sleep(leaseTime / 2)
		if !second.lease.IsHeld() {
			t.Error("the lease that was given up is still free after half its duration")
		}
		if got := second.lease.Current().Term; got != 2 {
			t.Errorf("got term %d, want 2", got)
		}
		second.stop()
		wg.Wait()
	})
}
