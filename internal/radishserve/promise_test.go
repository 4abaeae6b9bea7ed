package radishserve

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

func TestClusterServesAllRequests(t *testing.T) {
	runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		c.load(rand.New(rand.NewPCG(1, 1)), 10*time.Second, 20*time.Millisecond)
		c.calls.Wait()
		for _, res := range c.responses {
			if res.status != 200 {
				return fmt.Sprintf("without faults a request got status %d: %s", res.status, res.body)
			}
		}
		t.Logf("%d requests succeeded", c.successes)
		return c.check()
	})
}

func TestDrainedDataCentreGetsNoNewWork(t *testing.T) {
	runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		go c.apply(1, rulesText("drain data_centre=semarang # test\n"))
		c.load(rand.New(rand.NewPCG(2, 1)), 10*time.Second, 20*time.Millisecond)
		c.calls.Wait()
		limit := time.Now().Add(-10*time.Second + drainDeadline)
		for _, target := range c.targets {
			if n := target.StartedAfter(limit); strings.Contains(target.Name, "semarang") && n > 0 {
				return fmt.Sprintf("%s began %d attempts more than %v after the drain", target.Name, n, drainDeadline)
			}
		}
		return c.check()
	})
}
