package radishserve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishstandin"
)

// inForceTime is how long an accepted configuration may take to be in force on every VM that is reachable.
const inForceTime = 5 * time.Second

// checkGeneration returns an error message if any VM has another generation of the configuration in force.
func (c *cluster) checkGeneration(generation uint64) string {
	for _, v := range c.vms {
		if g := v.server.configHolder.Generation(); g != generation {
			return fmt.Sprintf("%s has generation %d in force, want %d", v.name, g, generation)
		}
	}
	return ""
}

func TestConfigurationIsInForceWithinSeconds(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults radishstandin.Faults
		before func(c *cluster)
	}{
		{name: "without faults"},
		{name: "slow platform with stale reads", faults: radishstandin.Faults{DelayMS: 300, StaleReadEvery: 2}},
		{name: "one data centre without access to the platform", before: func(c *cluster) {
			for _, v := range c.vms[3:] {
				v.view.SetDisconnected(true)
			}
		}},
		{name: "platform outage right after the configuration was accepted", before: func(c *cluster) {
			time.AfterFunc(300*time.Millisecond, func() { c.platform.SetFaults(radishstandin.Faults{Outage: true}) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runClusterTest(t, []string{"bandung", "semarang"}, func(cl *cluster) string {
				cl.platform.SetFaults(c.faults)
				if c.before != nil {
					c.before(cl)
				}
				cl.apply(1, rulesText("limit team=congress requests_per_s=100 # test\n"))
				time.Sleep(inForceTime)
				return cl.checkGeneration(2)
			})
		})
	}
}

// TestNewVMGetsConfigurationFromPeers starts a replacement VM during an outage of the platform. It must get the
// configuration from its peers and serve requests.
func TestNewVMGetsConfigurationFromPeers(t *testing.T) {
	runClusterTest(t, []string{"bandung"}, func(c *cluster) string {
		c.platform.SetFaults(radishstandin.Faults{Outage: true})
		c.vms[1].stop()
		c.addVM("bandung-9", "bandung", []string{"bandung-0:3", "bandung-2:3"})
		time.Sleep(inForceTime)
		if failure := c.checkGeneration(1); failure != "" {
			return failure
		}
		if res := c.send(c.vms[3], "digest", ""); res.status != http.StatusOK {
			return fmt.Sprintf("the new VM responded with status %d: %s", res.status, res.body)
		}
		return ""
	})
}
