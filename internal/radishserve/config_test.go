package radishserve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishstandin"
)

// inForceTime is how long an accepted configuration may take to be in force on every VM that can be reached.
const inForceTime = 5 * time.Second

func (c *cluster) behind(generation uint64) string {
	for _, v := range c.vms {
		if g := v.server.holder.Generation(); g != generation {
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
		{name: "slow platform with stale reads", faults: radishstandin.Faults{DelayMS: 300, StaleReads: 2}},
		{name: "one data centre cut off from the platform", before: func(c *cluster) {
			for _, v := range c.vms[3:] {
				v.view.SetCut(true)
			}
		}},
		{name: "outage right after the acceptance", before: func(c *cluster) {
			time.AfterFunc(300*time.Millisecond, func() { c.platform.SetFaults(radishstandin.Faults{Outage: true}) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			prove(t, []string{"bandung", "semarang"}, func(cl *cluster) string {
				cl.platform.SetFaults(c.faults)
				if c.before != nil {
					c.before(cl)
				}
				cl.apply(1, rulesText("limit team=congress requests_per_s=100 # test\n"))
				time.Sleep(inForceTime)
				return cl.behind(2)
			})
		})
	}
}

// TestNewVMLearnsFromPeers starts a replacement VM during an outage of the platform: its peers give it the rules.
func TestNewVMLearnsFromPeers(t *testing.T) {
	prove(t, []string{"bandung"}, func(c *cluster) string {
		c.platform.SetFaults(radishstandin.Faults{Outage: true})
		c.vms[1].stop()
		c.addVM("bandung-9", "bandung", []string{"bandung-0:3", "bandung-2:3"})
		time.Sleep(inForceTime)
		if fault := c.behind(1); fault != "" {
			return fault
		}
		if a := c.send(c.vms[3], "digest", ""); a.status != http.StatusOK {
			return fmt.Sprintf("the new VM answered %d: %s", a.status, a.body)
		}
		return ""
	})
}
