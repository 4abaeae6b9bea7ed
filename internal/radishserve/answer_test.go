package radishserve

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishstandin"
)

// TestAnswersAreWholeAndOwn lets half of the targets cross and cut answers, within the retry budget: callers get whole answers to their own
// requests all the same, since attempts carry ids and others' answers are dropped.
func TestAnswersAreWholeAndOwn(t *testing.T) {
	prove(t, []string{"bandung"}, func(c *cluster) string {
		since := time.Now()
		for i, target := range c.targets {
			if i%2 == 1 {
				target.SetFaults(radishstandin.TargetFaults{CrossEvery: 31, CutEvery: 37})
			}
		}
		rng := rand.New(rand.NewPCG(8, 8))
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			v := c.vms[rng.IntN(len(c.vms))]
			c.calls.Go(func() { c.send(v, "digest", "") })
		}
		c.calls.Wait()
		if fault := c.refusals(since); fault != "" {
			return fault
		}
		return c.check()
	})
}

// TestNotRunIsTrue brings about each kind of refusal and compares it with what ran.
func TestNotRunIsTrue(t *testing.T) {
	prove(t, []string{"bandung"}, func(c *cluster) string {
		seat := func() answer { return c.send(c.vms[0], "seat", radishstandin.KeyAt(time.Now()).String()) }
		c.platform.SetFaults(radishstandin.Faults{Outage: true})
		if a := seat(); a.ran != radishentry.RanNot {
			return fmt.Sprintf("in a platform outage: %d ran %s", a.status, a.ran)
		}
		c.platform.SetFaults(radishstandin.Faults{})
		c.fleet.SetCut("booking-bandung", true)
		if a := seat(); a.ran != radishentry.RanNot || a.effect != radishentry.EffectNone {
			return fmt.Sprintf("with the target cut off: %d ran %s", a.status, a.ran)
		}
		c.fleet.SetCut("booking-bandung", false)
		time.Sleep(settlingTime)
		c.fleet.Target("booking-bandung").SetFaults(radishstandin.TargetFaults{CutEvery: 1})
		key := radishstandin.KeyAt(time.Now()).String()
		if a := c.send(c.vms[0], "seat", key); a.ran != radishentry.RanUnknown || a.effect != radishentry.EffectPossible {
			return fmt.Sprintf("with the answer cut: %d ran %s", a.status, a.ran)
		}
		c.fleet.Target("booking-bandung").SetFaults(radishstandin.TargetFaults{})
		if a := c.send(c.vms[1], "seat", key); a.status == http.StatusOK {
			return "a retry of a booking that may have run was run again"
		}
		return c.check()
	})
}

// TestRetryGetsTheRecordedAnswer sends a booking to one VM and its retries to all others.
func TestRetryGetsTheRecordedAnswer(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		key := radishstandin.KeyAt(time.Now()).String()
		first := c.send(c.vms[0], "seat", key)
		for _, v := range c.vms {
			if a := c.send(v, "seat", key); a.status != http.StatusOK || a.body != first.body {
				return fmt.Sprintf("%s answered %d %s, want %s", v.name, a.status, a.body, first.body)
			}
		}
		return c.check()
	})
}
