package radishserve

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishstandin"
)

// isolationTime is how long the data centre is cut off: longer than the steward's lease and the belief in states.
const isolationTime = 30 * time.Second

// TestIsolatedDataCentreServesWhatItCan cuts a data centre off from the other and from the platform: it answers what
// needs no claim, refuses orders truly, and takes both up again afterwards.
func TestIsolatedDataCentreServesWhatItCan(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		isolated := c.vms[testEntries:]
		c.cutDataCentre("semarang")
		for end := time.Now().Add(isolationTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
			for _, v := range isolated {
				if a := c.send(v, "digest", ""); a.status != http.StatusOK {
					return fmt.Sprintf("cut off, %s answered %d: %s", v.name, a.status, a.body)
				}
			}
		}
		key := radishstandin.KeyAt(time.Now()).String()
		if a := c.send(isolated[0], "seat", key); a.ran != radishentry.RanNot {
			return fmt.Sprintf("cut off, an order got %d, ran %s", a.status, a.ran)
		}
		c.network.SetBlocked(nil)
		for _, v := range c.vms {
			v.view.SetCut(false)
		}
		time.Sleep(settlingTime)
		key = radishstandin.KeyAt(time.Now()).String()
		for _, v := range c.vms {
			if a := c.send(v, "seat", key); a.status != http.StatusOK {
				return fmt.Sprintf("reunited, %s answered %d: %s", v.name, a.status, a.body)
			}
		}
		return c.check()
	})
}
