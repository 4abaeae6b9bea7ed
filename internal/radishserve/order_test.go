package radishserve

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
)

const (
	// loadTime is how long a target of these tests loads a model.
	loadTime = 2 * time.Second
	// placementTime is what the targets of a service in a data centre may take, one after the other, with the
	// configuration in force in 17 s.
	placementTime = 17*time.Second + 3*(5*time.Second+loadTime)
	// reassertTime bounds how long a target that checks no fencing number stays with a late order.
	reassertTime = 10 * time.Second
)

func (c *cluster) placementText(model string) string {
	rules := rulesText(fmt.Sprintf("placement service=llm model=%s version=1 adapters=b,a role=decode # test\n", model))
	if !c.checksFencing {
		return rules
	}
	return strings.Replace(rules, "service name=llm", "service name=llm checks_fencing=true", 1)
}

func (c *cluster) llms() []*radishstandin.Target {
	var llms []*radishstandin.Target
	for _, target := range c.targets {
		if strings.HasPrefix(target.Name, "llm-") {
			llms = append(llms, target)
		}
	}
	return llms
}

func (c *cluster) setEngines(checksFencing bool) {
	c.checksFencing = checksFencing
	for _, target := range c.llms() {
		target.Change(func(t *radishstandin.Target) { t.ChecksFencing, t.LoadFor = checksFencing, loadTime })
	}
}

// notPlaced returns the first model engine that does not have the model as the rules want it.
func (c *cluster) notPlaced(model string) string {
	want := radish.Engine{Model: model, Version: "1", Adapters: []string{"a", "b"}, Role: "decode"}
	for _, target := range c.llms() {
		if engine := target.Engine(); !engine.IsEqual(want) {
			return fmt.Sprintf("%s has %+v, want model %s", target.Name, engine, model)
		}
	}
	return ""
}

// loadedTogether returns two targets of a data centre that loaded at the same time.
func (c *cluster) loadedTogether() string {
	for _, a := range c.llms() {
		for _, b := range c.llms() {
			if a == b || a.Name[:len(a.Name)-1] != b.Name[:len(b.Name)-1] {
				continue
			}
			for _, orderA := range a.Orders() {
				for _, orderB := range b.Orders() {
					if gap := orderB.At.Sub(orderA.At); gap >= 0 && gap < loadTime {
						return fmt.Sprintf("%s and %s loaded at the same time", a.Name, b.Name)
					}
				}
			}
		}
	}
	return ""
}

// TestOrdersReachTheWantedState places a model under load, then resets one target's engine behind the system's back.
func TestOrdersReachTheWantedState(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		c.setEngines(true)
		since := time.Now()
		c.apply(1, c.placementText("first"))
		c.load(rand.New(rand.NewPCG(9, 9)), placementTime, 50*time.Millisecond)
		c.calls.Wait()
		if fault := c.notPlaced("first"); fault != "" {
			return fault
		}
		if fault := c.loadedTogether(); fault != "" {
			return fault
		}
		if fault := c.refusals(since); fault != "" {
			return fault
		}
		if err := c.llms()[0].TakeOrder(radish.Engine{Model: "wrong"}, 99); err != nil {
			return err.Error()
		}
		c.llms()[0].Change(func(t *radishstandin.Target) { t.ChecksFencing = false })
		time.Sleep(reassertTime)
		if fault := c.notPlaced("first"); fault != "" {
			return fault
		}
		return c.check()
	})
}

// lateOrder freezes the steward between its last test and the send of an order, until another VM is steward and has
// ordered a newer state, and returns when the late order arrived.
func (c *cluster) lateOrder() (time.Time, string) {
	const freeze = time.Minute
	old := c.stewardVM()
	if old == nil {
		return time.Time{}, "no VM holds the lease"
	}
	dc := old.server.Settings.VM.DataCentre
	old.orders.SetDelay(freeze)
	c.apply(1, c.placementText("first"))
	sent := time.Now()
	time.Sleep(8 * time.Second)
	old.view.SetCut(true)
	c.network.SetBlocked(func(from, to string) bool {
		return strings.HasPrefix(from, old.name) || strings.HasPrefix(to, old.name)
	})
	c.apply(2, c.placementText("second"))
	time.Sleep(time.Until(sent.Add(freeze - time.Second)))
	for _, target := range c.llms() {
		if strings.Contains(target.Name, dc) && target.Engine().Model != "second" {
			return time.Time{}, "the next steward placed nothing: " + target.Name
		}
	}
	old.orders.Wait()
	return time.Now(), ""
}

// TestLateOrderIsFenced lets an order of a frozen steward arrive after a newer one, at targets that check fencing
// numbers: none of them goes back.
func TestLateOrderIsFenced(t *testing.T) {
	prove(t, []string{"bandung"}, func(c *cluster) string {
		c.setEngines(true)
		if _, fault := c.lateOrder(); fault != "" {
			return fault
		}
		for _, target := range c.llms() {
			last := uint64(0)
			for _, order := range target.Orders() {
				if order.Fence < last {
					return fmt.Sprintf("%s went back from order %d to %d", target.Name, last, order.Fence)
				}
				last = order.Fence
			}
		}
		return c.notPlaced("second")
	})
}

// TestLateOrderIsReasserted lets the same happen at targets that check nothing: the wanted state comes back.
func TestLateOrderIsReasserted(t *testing.T) {
	prove(t, []string{"bandung"}, func(c *cluster) string {
		c.setEngines(false)
		arrived, fault := c.lateOrder()
		if fault != "" {
			return fault
		}
		time.Sleep(time.Until(arrived.Add(reassertTime)))
		return c.notPlaced("second")
	})
}

// TestRacingOperatorsPlaceOneState lets two operators place different models from the same generation, with lost
// answers of the platform: one wins and every target ends with its model.
func TestRacingOperatorsPlaceOneState(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		c.setEngines(true)
		c.platform.SetFaults(radishstandin.Faults{LoseAnswers: 3})
		models := []string{"first", "second"}
		errs := make([]error, len(models))
		var operators sync.WaitGroup
		for i, model := range models {
			operators.Go(func() { errs[i] = c.tryApply(1, c.placementText(model)) })
		}
		operators.Wait()
		if (errs[0] == nil) == (errs[1] == nil) {
			return fmt.Sprintf("the operators got %v and %v", errs[0], errs[1])
		}
		winner := models[0]
		if errs[0] != nil {
			winner = models[1]
		}
		time.Sleep(placementTime)
		return c.notPlaced(winner)
	})
}

// TestOrdersStopInOutage cuts a data centre off: its targets keep what they have, and get the newest state after.
func TestOrdersStopInOutage(t *testing.T) {
	prove(t, []string{"bandung", "semarang"}, func(c *cluster) string {
		c.setEngines(true)
		c.apply(1, c.placementText("first"))
		time.Sleep(placementTime)
		c.cutDataCentre("semarang")
		c.apply(2, c.placementText("second"))
		time.Sleep(placementTime)
		for _, target := range c.llms() {
			if model := target.Engine().Model; strings.Contains(target.Name, "semarang") && model != "first" {
				return fmt.Sprintf("%s got %s while its data centre was cut off", target.Name, model)
			}
		}
		c.cutDataCentre("none")
		time.Sleep(placementTime)
		return c.notPlaced("second")
	})
}
