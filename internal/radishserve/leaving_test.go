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

// begunLate returns the first target with the substring in its name that began work after the time.
func (c *cluster) begunLate(name string, limit time.Time) string {
	for _, target := range c.targets {
		if n := target.Begun(limit); strings.Contains(target.Name, name) && n > 0 {
			return fmt.Sprintf("%s began %d attempts after it should have got no more", target.Name, n)
		}
	}
	return ""
}

// refusals returns the first answer since the time that was not whole.
func (c *cluster) refusals(since time.Time) string {
	for _, a := range c.answers {
		if a.status != http.StatusOK && a.entered.After(since) {
			return fmt.Sprintf("a request got %d: %s", a.status, a.body)
		}
	}
	return ""
}

// TestDrainByEachRoute takes a data centre or a target out by every way that the news can come, and checks that it
// gets nothing new after five seconds while all requests are still answered.
func TestDrainByEachRoute(t *testing.T) {
	for _, route := range []struct {
		name string
		take func(c *cluster)
		out  string
	}{
		{"rule for a data centre", func(c *cluster) { c.apply(1, rulesText("drain data_centre=semarang # test\n")) }, "semarang"},
		{"rule for a target", func(c *cluster) { c.apply(1, rulesText("drain target=llm-semarang-0 # test\n")) }, "llm-semarang-0"},
		{"order to one VM in a platform outage", func(c *cluster) {
			c.platform.SetFaults(radishstandin.Faults{Outage: true})
			c.vms[0].server.mergeDrain(&radishpeerpb.LocalDrain{Id: "1", DataCentre: "semarang", By: "tester", Comment: "test"})
		}, "semarang"},
		{"order to one VM of a cut data centre", func(c *cluster) {
			c.cutDataCentre("semarang")
			c.vms[3].server.mergeDrain(&radishpeerpb.LocalDrain{Id: "1", Target: "llm-semarang-0", By: "tester", Comment: "test"})
		}, "llm-semarang-0"},
		{"platform's list says leaving", func(c *cluster) {
			c.platform.SetVM(radish.VM{Name: "llm-semarang-0", Address: "llm-semarang-0", DataCentre: "semarang", Service: "llm", State: radish.VMLeaving})
		}, "llm-semarang-0"},
		{"target says leaving", func(c *cluster) { c.fleet.Target("llm-semarang-0").SetLeaving(true) }, "llm-semarang-0"},
	} {
		t.Run(route.name, func(t *testing.T) {
			prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
				taken := time.Now()
				go route.take(c)
				c.load(rand.New(rand.NewPCG(2, 1)), 10*time.Second, 25*time.Millisecond)
				c.calls.Wait()
				if fault := c.begunLate(route.out, taken.Add(drainDeadline)); fault != "" {
					return fault
				}
				return c.check()
			})
		})
	}
}

// cutDataCentre cuts a data centre, its targets included, off from the others and from the platform.
func (c *cluster) cutDataCentre(dc string) {
	c.network.SetBlocked(func(from, to string) bool { return strings.HasPrefix(from, dc) != strings.HasPrefix(to, dc) })
	for _, v := range c.vms {
		v.view.SetCut(strings.HasPrefix(v.name, dc))
	}
}

// TestGracefulStopCutsNothing stops every VM in turn under load: no accepted request is cut.
func TestGracefulStopCutsNothing(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		since := time.Now()
		rng := rand.New(rand.NewPCG(5, 5))
		for _, v := range c.vms[:5] {
			v.stop()
			c.load(rng, 3*time.Second, 25*time.Millisecond)
		}
		c.calls.Wait()
		if fault := c.refusals(since); fault != "" {
			return fault
		}
		return c.check()
	})
}

// TestLeavingRecordsTheLastOutcome stops a VM whose booking outlasts its listener: the VM waits for the booking and
// records its outcome, so that a retry elsewhere gets it, and admits nothing more.
func TestLeavingRecordsTheLastOutcome(t *testing.T) {
	prove(t, []string{"bandung"}, func(c *cluster) string {
		c.fleet.Target("booking-bandung").SetFaults(radishstandin.TargetFaults{SlowByMS: 2000})
		leaving := c.vms[0]
		key := radishstandin.KeyAt(time.Now()).String()
		began := time.Now()
		var first answer
		c.calls.Go(func() { first = c.send(leaving, "seat", key) })
		time.Sleep(100 * time.Millisecond)
		leaving.stop()
		time.Sleep(time.Second)
		if late := c.send(leaving, "digest", ""); late.status != http.StatusServiceUnavailable || late.ran != radishentry.RanNot {
			return fmt.Sprintf("a request after the listener closed: %d ran %s", late.status, late.ran)
		}
		<-leaving.done
		if time.Since(began) < 2*time.Second {
			return "the VM left before its last booking was answered"
		}
		c.calls.Wait()
		if retry := c.send(c.vms[1], "seat", key); first.status != http.StatusOK || retry.status != http.StatusOK {
			return fmt.Sprintf("the booking: %d, its retry: %d", first.status, retry.status)
		}
		return c.check()
	})
}

// TestDataCentreReturns drains a data centre, turns its targets cold meanwhile and brings it back under load.
func TestDataCentreReturns(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
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
		back := time.Now()
		c.load(rng, 15*time.Second, 25*time.Millisecond)
		c.calls.Wait()
		if fault := c.refusals(since); fault != "" {
			return fault
		}
		if c.coldBegun(back.Add(10*time.Second)) == 0 {
			return "the data centre got no work after its return"
		}
		return c.check()
	})
}
