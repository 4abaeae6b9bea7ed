package radishserve

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishstandin"
)

var (
	measureOnly  = flag.String("measure.only", "", "measure only this scenario")
	measureSeeds = flag.Int("measure.seeds", 0, "measure the policies with so many seeds; 0 skips the measurement")
)

// Sizes of a measurement: four targets of 8 slots with 100 ms of work answer 320 requests a second.
const (
	measureTime  = 20 * time.Second
	measureSlots = 8
	// usualGap is the mean gap between requests at 70 % of the capacity, movingGap at 70 % of what one data centre can
	// do, overloadGap at twice the capacity.
	usualGap    = time.Second / 224
	movingGap   = time.Second / 112
	overloadGap = time.Second / 640
	// modestGap is the mean gap at 30 % of the capacity, greedyGap at 170 %.
	modestGap = time.Second / 96
	greedyGap = time.Second / 544
	// burstGap adds requests at the whole capacity for burstTime: 70 % more than the capacity in all.
	burstGap  = time.Second / 320
	burstTime = time.Second
	burstSeed = 1000
	// slowStage brings two encoders of 8 slots with 20 ms of work to 246 requests a second, collapsedStage to 16.
	slowStage      = 45 * time.Millisecond
	collapsedStage = time.Second
)

// measurement is one line of make measure.
type measurement struct {
	Scenario      string             `json:"scenario"`
	Policy        string             `json:"policy"`
	Seed          int                `json:"seed"`
	Sent          int                `json:"sent"`
	Whole         int                `json:"whole_in_deadline"`
	Attainment    float64            `json:"attainment"`
	RefusedNotRun int                `json:"refused_not_run"`
	Unknown       int                `json:"unknown"`
	CostByStage   map[string]float64 `json:"cost_by_stage"`
	P50           float64            `json:"p50_ms"`
	P99           float64            `json:"p99_ms"`
	WastedShare   float64            `json:"wasted_share"`
}

// scenario causes its trouble a quarter into the measurement.
type scenario struct {
	name  string
	gap   time.Duration
	cause func(c *cluster)
	// greedyGap is the mean gap between requests of a greedy team, which is not counted; 0 for none.
	greedyGap time.Duration
}

var scenarios = []scenario{
	{name: "steady", gap: usualGap, cause: func(*cluster) {}},
	{name: "one_slow_target", gap: usualGap, cause: func(c *cluster) {
		c.targets[2].SetFaults(radishstandin.TargetFaults{SlowByMS: 1500})
	}},
	{name: "failing_target", gap: usualGap, cause: func(c *cluster) {
		c.targets[2].SetFaults(radishstandin.TargetFaults{FailEvery: 1})
	}},
	{name: "cold_target", gap: usualGap, cause: func(c *cluster) { c.targets[2].TurnCold(8 * time.Second) }},
	{name: "platform_outage", gap: usualGap, cause: func(c *cluster) {
		c.platform.SetFaults(radishstandin.Faults{Outage: true})
	}},
	{name: "data_centre_leaves_and_returns", gap: movingGap, cause: func(c *cluster) {
		_ = c.tryApply(1, rulesText("drain data_centre=semarang # test\n"))
		time.Sleep(7 * time.Second)
		_ = c.tryApply(2, rulesText(""))
	}},
	{name: "greedy_team", gap: modestGap, greedyGap: greedyGap, cause: func(*cluster) {}},
	{name: "slow_stage", gap: usualGap, cause: func(c *cluster) { c.slowEncoders(slowStage) }},
	{name: "collapsed_stage", gap: usualGap, cause: func(c *cluster) { c.slowEncoders(collapsedStage) }},
	{name: "burst", gap: usualGap, cause: func(c *cluster) {
		c.arriveFor(burstTime, testToken, burstSeed, burstGap)
	}},
	{name: "overload", gap: overloadGap, cause: func(*cluster) {}},
}

func (c *cluster) slowEncoders(by time.Duration) {
	for _, target := range c.targets {
		if strings.HasPrefix(target.Name, "encoder-") {
			target.SetFaults(radishstandin.TargetFaults{SlowByMS: int(by.Milliseconds())})
		}
	}
}

// TestMeasure prints the measurements of every scenario, policy and seed.
func TestMeasure(t *testing.T) {
	if *measureSeeds == 0 {
		t.Skip("run make measure")
	}
	for _, s := range scenarios {
		if *measureOnly != "" && *measureOnly != s.name {
			continue
		}
		for _, policy := range []string{"random", "round_robin", "least_in_flight", "power_of_two"} {
			var all []measurement
			for seed := range *measureSeeds {
				m := measure(t, s, policy, seed+1)
				line, err := json.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Println(string(line))
				all = append(all, m)
			}
			summarise(s.name, policy, all)
		}
	}
}

func summarise(name, policy string, all []measurement) {
	var attainment, p99, wasted float64
	for _, m := range all {
		attainment += m.Attainment
		p99 += m.P99
		wasted += m.WastedShare
	}
	n := float64(len(all))
	fmt.Fprintf(os.Stderr, "%-32s %-16s attainment %.4f p99 %6.0f ms wasted %.4f\n", name, policy, attainment/n, p99/n, wasted/n)
}

func measure(t *testing.T, s scenario, policy string, seed int) (m measurement) {
	inBubble(t, func(t *testing.T) string {
		c := newClusterWith(t, policy, measureSlots, "bandung", "semarang")
		defer c.close()
		for _, target := range c.targets {
			target.Change(func(t *radishstandin.Target) { t.RecordBegun = false })
		}
		time.Sleep(settlingTime)
		c.calls.Go(func() {
			time.Sleep(measureTime / 4)
			s.cause(c)
		})
		if s.greedyGap > 0 {
			c.calls.Go(func() { c.arrive(greedyToken, uint64(seed)+100, s.greedyGap) })
		}
		c.arrive(testToken, uint64(seed), s.gap)
		c.calls.Wait()
		m = c.evaluate()
		return ""
	})
	m.Scenario, m.Policy, m.Seed = s.name, policy, seed
	return m
}

// arrive sends a team's requests to random VMs at random times with the mean gap.
func (c *cluster) arrive(token string, seed uint64, gap time.Duration) {
	c.arriveFor(measureTime, token, seed, gap)
}

func (c *cluster) arriveFor(d time.Duration, token string, seed uint64, gap time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(rng.ExpFloat64() * float64(gap))) {
		v := c.vms[rng.IntN(len(c.vms))]
		c.calls.Go(func() { c.sendAs(token, v, "digest", "") })
	}
}

// evaluate counts the answers; a stage is wasted when its request was not answered whole.
func (c *cluster) evaluate() measurement {
	m := measurement{CostByStage: make(map[string]float64)}
	whole := make(map[string]bool)
	var took []float64
	for _, a := range c.answers {
		if a.isGreedy {
			whole[a.id] = a.status == http.StatusOK
			continue
		}
		m.Sent++
		switch {
		case a.status == http.StatusOK:
			m.Whole++
			whole[a.id] = true
			took = append(took, a.took.Seconds()*1e3)
		case a.ran == radishentry.RanNot:
			m.RefusedNotRun++
		default:
			m.Unknown++
		}
	}
	m.Attainment = float64(m.Whole) / float64(m.Sent)
	slices.Sort(took)
	if len(took) > 0 {
		m.P50, m.P99 = took[len(took)/2], took[len(took)*99/100]
	}
	for _, v := range c.vms {
		for service, cost := range v.server.costs.Snapshot() {
			m.CostByStage[service] += cost.Time.Seconds()
		}
	}
	runs, wasted := 0, 0
	for _, t := range c.targets {
		for id, n := range t.Stats().Ran {
			runs += n
			if !whole[id] {
				wasted += n
			}
		}
	}
	m.WastedShare = float64(wasted) / float64(max(1, runs))
	return m
}
