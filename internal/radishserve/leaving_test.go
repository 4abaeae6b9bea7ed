package radishserve

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// checkBegunAfter returns a description of the first target with the substring in its name that began an attempt after
// the limit, or "".
func (c *cluster) checkBegunAfter(name string, limit time.Time) string {
	for _, target := range c.targets {
		if n := target.StartedAfter(limit); strings.Contains(target.Name, name) && n > 0 {
			return fmt.Sprintf("%s began %d attempts after the time limit for the drain", target.Name, n)
		}
	}
	return ""
}

// failureSince returns a description of the first request sent after the time that failed, or "".
func (c *cluster) failureSince(since time.Time) string {
	for _, res := range c.responses {
		if res.status != http.StatusOK && res.sentAt.After(since) {
			return fmt.Sprintf("a request got status %d: %s", res.status, res.body)
		}
	}
	return ""
}

// TestDrainFromEachSource drains a data centre or a target through each source from which the entry VMs get drains, and
// checks that it gets no new attempts after five seconds.
func TestDrainFromEachSource(t *testing.T) {
	for _, source := range []struct {
		name    string
		drain   func(c *cluster)
		drained string // part of the names of the drained targets
	}{
		{"rule for a data centre", func(c *cluster) { c.apply(1, rulesText("drain data_centre=semarang # test\n")) }, "semarang"},
		{"rule for a target", func(c *cluster) { c.apply(1, rulesText("drain target=llm-semarang-0 # test\n")) }, "llm-semarang-0"},
		{"local drain on one VM during a platform outage", func(c *cluster) {
			c.platform.SetFaults(radishstandin.Faults{Outage: true})
			c.vms[0].server.mergeDrain(&radishpeerpb.LocalDrain{Id: "1", DataCentre: "semarang", By: "tester", Comment: "test"})
		}, "semarang"},
		{"local drain on one VM of an isolated data centre", func(c *cluster) {
			c.isolateDataCentre("semarang")
			c.vms[3].server.mergeDrain(&radishpeerpb.LocalDrain{Id: "1", Target: "llm-semarang-0", By: "tester", Comment: "test"})
		}, "llm-semarang-0"},
		{"leaving according to the list of VMs", func(c *cluster) {
			c.platform.SetVM(radish.VM{Name: "llm-semarang-0", Address: "llm-semarang-0", DataCentre: "semarang", Service: "llm", State: radish.VMLeaving})
		}, "llm-semarang-0"},
		{"leaving according to the target", func(c *cluster) { c.fleet.Target("llm-semarang-0").SetLeaving(true) }, "llm-semarang-0"},
	} {
		t.Run(source.name, func(t *testing.T) {
			runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
				drainedAt := time.Now()
				go source.drain(c)
				c.load(rand.New(rand.NewPCG(2, 1)), 10*time.Second, 25*time.Millisecond)
				c.calls.Wait()
				if failure := c.checkBegunAfter(source.drained, drainedAt.Add(drainDeadline)); failure != "" {
					return failure
				}
				return c.check()
			})
		})
	}
}

// isolateDataCentre isolates the VMs and targets of a data centre from the other data centres and from the platform.
func (c *cluster) isolateDataCentre(dc string) {
	c.network.SetPartition(func(from, to string) bool { return strings.HasPrefix(from, dc) != strings.HasPrefix(to, dc) })
	for _, v := range c.vms {
		v.view.SetDisconnected(strings.HasPrefix(v.name, dc))
	}
}

// TestGracefulShutdownCompletesRequests stops five of the six VMs one after the other under load. No accepted request
// may fail.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		since := time.Now()
		rng := rand.New(rand.NewPCG(5, 5))
		for _, v := range c.vms[:5] {
			v.stop()
			c.load(rng, 3*time.Second, 25*time.Millisecond)
		}
		c.calls.Wait()
		if failure := c.failureSince(since); failure != "" {
			return failure
		}
		return c.check()
	})
}

// TestShutdownRecordsLastOutcome stops a VM with a booking in flight that ends after the VM's listener has closed. The
// VM must refuse further requests, wait for the booking and record its outcome, so that a retry on another VM gets it.
func TestShutdownRecordsLastOutcome(t *testing.T) {
	runClusterTest(t, []string{"bandung"}, func(c *cluster) string {
		c.fleet.Target("booking-bandung").SetFaults(radishstandin.TargetFaults{ExtraProcessingMS: 2000})
		leaving := c.vms[0]
		key := radishstandin.UUIDv7At(time.Now()).String()
		began := time.Now()
		var first response
		c.calls.Go(func() { first = c.send(leaving, "seat", key) })
		time.Sleep(100 * time.Millisecond)
		leaving.stop()
		time.Sleep(time.Second)
		if late := c.send(leaving, "digest", ""); late.status != http.StatusServiceUnavailable || late.ran != radishentry.ExecutionNone {
			return fmt.Sprintf("a request after the listener closed: status %d, ran %q", late.status, late.ran)
		}
		<-leaving.done
		if time.Since(began) < 2*time.Second {
			return "the VM shut down before its last booking was completed"
		}
		c.calls.Wait()
		if retry := c.send(c.vms[1], "seat", key); first.status != http.StatusOK || retry.status != http.StatusOK {
			return fmt.Sprintf("the booking got status %d, its retry status %d", first.status, retry.status)
		}
		return c.check()
	})
}

// TestDrainedDataCentreReturns drains a data centre under load, turns its targets cold meanwhile and lifts the drain.
// No request may fail, and the data centre must get work again.
func TestDrainedDataCentreReturns(t *testing.T) {
	runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		rng := rand.New(rand.NewPCG(6, 6))
		since := time.Now()
		c.apply(1, rulesText("drain data_centre=semarang # test\n"))
		c.load(rng, 8*time.Second, 25*time.Millisecond)
		for _, target := range c.targets {
			if strings.Contains(target.Name, "semarang") {
				target.TurnCold(12 * time.Second)
			}
		}
		c.load(rng, 4*time.Second, 25*time.Millisecond)
		c.apply(2, rulesText(""))
		undrainedAt := time.Now()
		c.load(rng, 15*time.Second, 25*time.Millisecond)
		c.calls.Wait()
		if failure := c.failureSince(since); failure != "" {
			return failure
		}
		if c.countBegun(undrainedAt.Add(10*time.Second)) == 0 {
			return "no attempt began in the data centre after its drain was lifted"
		}
		return c.check()
	})
}
