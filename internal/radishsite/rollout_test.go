package radishsite

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestRolloutOfGoodVersionCompletes guards against a good version that is not served by its deadline, and against calls to old targets
// after that: they end at once.
func TestRolloutOfGoodVersionCompletes(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := newRolloutCluster(t, 5)
		deadline := time.Now().Add(testDuration)
		c.store.put("s", "v2", testDuration)
		time.Sleep(testDuration + 2*time.Second)
		completedAt := c.checkFinal(radish.RolloutCompleted, "v2", deadline)
		c.checkNoCalls("v1", completedAt)
		if n := c.count(func(call sentCall) bool { return call.version == "v1" && call.endedAt.After(completedAt) }); n > 0 {
			t.Errorf("%d calls were in flight at old targets when the rollout completed", n)
		}
		if c.refused > 0 {
			t.Errorf("%d calls were refused", c.refused)
		}
	})
}

// TestRolloutOfBadVersionIsReverted guards against a bad version that gets more than its part of the calls, or is served.
func TestRolloutOfBadVersionIsReverted(t *testing.T) {
	startedAt := time.Time{}
	for name, fault := range map[string]func(c sentCall, inFlight int) (bool, float64){
		"failing":       func(c sentCall, _ int) (bool, float64) { return c.at.Nanosecond()%4 == 0, 1 },
		"slow":          func(sentCall, int) (bool, float64) { return false, 4 },
		"late":          func(c sentCall, _ int) (bool, float64) { return c.at.Sub(startedAt) > 5*time.Second, 1 },
		"on one route":  func(c sentCall, _ int) (bool, float64) { return c.route == "second", 1 },
		"under load":    func(_ sentCall, inFlight int) (bool, float64) { return inFlight > 2, 1 },
		"slow late":     func(c sentCall, _ int) (bool, float64) { return false, slowIf(c.at.Sub(startedAt) > 5*time.Second) },
		"slow on route": func(c sentCall, _ int) (bool, float64) { return false, slowIf(c.route == "first") },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				c := newRolloutCluster(t, 5)
				startedAt = time.Now()
				c.setFault("v2", fault)
				deadline := time.Now().Add(testDuration)
				c.store.put("s", "v2", testDuration)
				time.Sleep(testDuration + 2*time.Second)
				c.checkExposure("v2", startedAt, deadline)
				revertedAt := c.checkFinal(radish.RolloutReverted, "v2", deadline)
				c.checkNoCalls("v2", revertedAt)
			})
		})
	}
}

func slowIf(isSlow bool) float64 {
	if isSlow {
		return 4
	}
	return 1
}
