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

// TestCallersGetCompleteResponsesToTheirOwnRequests checks that callers get complete responses to their own requests
// while half of the targets truncate some responses and return some that belong to another attempt, at a rate within
// the retry budget. Attempts have IDs, by which responses to other attempts are detected and discarded.
func TestCallersGetCompleteResponsesToTheirOwnRequests(t *testing.T) {
	runClusterTest(t, []string{"bandung"}, func(c *cluster) string {
		since := time.Now()
		for i, target := range c.targets {
			if i%2 == 1 {
				target.SetFaults(radishstandin.TargetFaults{MismatchEvery: 31, TruncateEvery: 37})
			}
		}
		rng := rand.New(rand.NewPCG(8, 8))
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
			v := c.vms[rng.IntN(len(c.vms))]
			c.calls.Go(func() { c.send(v, "digest", "") })
		}
		c.calls.Wait()
		if failure := c.failureSince(since); failure != "" {
			return failure
		}
		return c.check()
	})
}

// TestNotRunIsReportedOnlyIfNothingRan checks that a refusal reports "not_run" only if no stage can have run: with the
// platform unreachable, with the target unreachable, and with a response that the target truncates.
func TestNotRunIsReportedOnlyIfNothingRan(t *testing.T) {
	runClusterTest(t, []string{"bandung"}, func(c *cluster) string {
		sendBooking := func() response { return c.send(c.vms[0], "seat", radishstandin.UUIDv7At(time.Now()).String()) }
		c.platform.SetFaults(radishstandin.Faults{Outage: true})
		if res := sendBooking(); res.ran != radishentry.ExecutionNone {
			return fmt.Sprintf("during a platform outage: status %d, ran %q", res.status, res.ran)
		}
		c.platform.SetFaults(radishstandin.Faults{})
		c.fleet.SetUnreachable("booking-bandung", true)
		if res := sendBooking(); res.ran != radishentry.ExecutionNone || res.effect != radishentry.EffectNone {
			return fmt.Sprintf("with the target unreachable: status %d, ran %q", res.status, res.ran)
		}
		c.fleet.SetUnreachable("booking-bandung", false)
		time.Sleep(settlingTime)
		c.fleet.Target("booking-bandung").SetFaults(radishstandin.TargetFaults{TruncateEvery: 1})
		key := radishstandin.UUIDv7At(time.Now()).String()
		if res := c.send(c.vms[0], "seat", key); res.ran != radishentry.ExecutionUnknown || res.effect != radishentry.EffectPossible {
			return fmt.Sprintf("with a truncated response: status %d, ran %q", res.status, res.ran)
		}
		c.fleet.Target("booking-bandung").SetFaults(radishstandin.TargetFaults{})
		if res := c.send(c.vms[1], "seat", key); res.status == http.StatusOK {
			return "a retry of a booking that may have run succeeded, so the booking was run again"
		}
		return c.check()
	})
}

// TestRetryGetsRecordedResponse sends a booking to one VM, then repeats it at every VM with the same idempotency key.
// Each one must return the recorded response of the first request.
func TestRetryGetsRecordedResponse(t *testing.T) {
	runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		key := radishstandin.UUIDv7At(time.Now()).String()
		first := c.send(c.vms[0], "seat", key)
		for _, v := range c.vms {
			if res := c.send(v, "seat", key); res.status != http.StatusOK || res.body != first.body {
				return fmt.Sprintf("%s responded with status %d and %s, want status 200 and %s", v.name, res.status, res.body, first.body)
			}
		}
		return c.check()
	})
}
