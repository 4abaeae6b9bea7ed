package radishserve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishstandin"
)

// isolationTime is how long the data centre is isolated. It is longer than the steward's lease and than the time for
// which observed target states stay valid.
const isolationTime = 30 * time.Second

// TestIsolatedDataCentreServesRequestsWithoutClaims isolates a data centre from the other one and from the platform.
// Meanwhile it must serve requests that need no claim and refuse bookings as not_run; afterwards it must serve bookings
// again.
func TestIsolatedDataCentreServesRequestsWithoutClaims(t *testing.T) {
	runClusterTest(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		isolated := c.vms[testEntryVMs:]
		c.isolateDataCentre("semarang")
		for end := time.Now().Add(isolationTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			for _, v := range isolated {
				if res := c.send(v, "digest", ""); res.status != http.StatusOK {
					return fmt.Sprintf("while isolated, %s responded with status %d: %s", v.name, res.status, res.body)
				}
			}
		}
		key := radishstandin.UUIDv7At(time.Now()).String()
		if res := c.send(isolated[0], "seat", key); res.ran != radishentry.ExecutionNone {
			return fmt.Sprintf("while isolated, a booking got status %d, ran %q", res.status, res.ran)
		}
		c.network.SetPartition(nil)
		for _, v := range c.vms {
			v.view.SetDisconnected(false)
		}
		time.Sleep(settlingTime)
		key = radishstandin.UUIDv7At(time.Now()).String()
		for _, v := range c.vms {
			if res := c.send(v, "seat", key); res.status != http.StatusOK {
				return fmt.Sprintf("after the isolation, %s responded with status %d: %s", v.name, res.status, res.body)
			}
		}
		return c.check()
	})
}
