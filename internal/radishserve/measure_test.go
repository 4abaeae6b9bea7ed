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
	measureOnly  = flag.String("measure.only", "", "name of the only scenario to measure")
	measureSeeds = flag.Int("measure.seeds", 0, "number of seeds to measure each policy with; 0 skips the measurement")
)

// Parameters of a measurement. The four LLM targets with 8 slots each and 100 ms per attempt have a capacity of 320
// requests per second.
const (
	measureTime  = 20 * time.Second
	measureSlots = 8
	// normalGap is the mean time between requests at 70 % of the capacity, oneDataCentreGap at 70 % of the capacity of
	// one data centre, and overloadGap at twice the capacity.
	normalGap        = time.Second / 224
	oneDataCentreGap = time.Second / 112
	overloadGap      = time.Second / 640
	// lightGap is the mean time between requests at 30 % of the capacity, greedyGap at 170 %.
	lightGap  = time.Second / 96
	greedyGap = time.Second / 544
	// burstGap is the mean time between additional requests at 100 % of the capacity. They are sent for burstTime,
	// during which the total load is 170 % of the capacity.
	burstGap  = time.Second / 320
	burstTime = time.Second
	burstSeed = 1000
	// slowStage is a delay per attempt that reduces the capacity of the two encoders, with 8 slots each and 20 ms per
	// attempt, to 246 requests per second; collapsedStage reduces it to 16.
	slowStage      = 45 * time.Millisecond
	collapsedStage = time.Second
)

// measurement is the result of one scenario with one policy and seed; make measure prints it as a line of JSON.
type measurement struct {
	Scenario      string             `json:"scenario"`
	Policy        string             `json:"policy"`
	Seed          int                `json:"seed"`
	Sent          int                `json:"sent"`
	Succeeded     int                `json:"whole_in_deadline"`
	Attainment    float64            `json:"attainment"`
	RefusedNotRun int                `json:"refused_not_run"`
	Unknown       int                `json:"unknown"`
	CostByStage   map[string]float64 `json:"cost_by_stage"`
	P50           float64            `json:"p50_ms"`
	P99           float64            `json:"p99_ms"`
	WastedShare   float64            `json:"wasted_share"`
}

// scenario is a load and a fault that is injected after a quarter of the measurement.
type scenario struct {
	name   string
	gap    time.Duration
	inject func(c *cluster)
	// greedyGap is the mean time between the requests of a greedy team, which are not counted in the result; 0 for
	// none.
	greedyGap time.Duration
}

var scenarios = []scenario{
	{name: "steady", gap: normalGap, inject: func(*cluster) {}},
	{name: "one_slow_target", gap: normalGap, inject: func(c *cluster) {
		c.targets[2].SetFaults(radishstandin.TargetFaults{ExtraProcessingMS: 1500})
	}},
	{name: "failing_target", gap: normalGap, inject: func(c *cluster) {
		c.targets[2].SetFaults(radishstandin.TargetFaults{FailEvery: 1})
	}},
	{name: "cold_target", gap: normalGap, inject: func(c *cluster) { c.targets[2].TurnCold(8 * time.Second) }},
	{name: "platform_outage", gap: normalGap, inject: func(c *cluster) {
		c.platform.SetFaults(radishstandin.Faults{Outage: true})
	}},
	{name: "data_centre_leaves_and_returns", gap: oneDataCentreGap, inject: func(c *cluster) {
		_ = c.tryApply(1, rulesText("drain data_centre=semarang # test\n"))
		time.Sleep(7 * time.Second)
		_ = c.tryApply(2, rulesText(""))
	}},
	{name: "greedy_team", gap: lightGap, greedyGap: greedyGap, inject: func(*cluster) {}},
	{name: "slow_stage", gap: normalGap, inject: func(c *cluster) { c.slowEncoders(slowStage) }},
	{name: "collapsed_stage", gap: normalGap, inject: func(c *cluster) { c.slowEncoders(collapsedStage) }},
	{name: "burst", gap: normalGap, inject: func(c *cluster) {
		c.sendPoissonFor(burstTime, testToken, burstSeed, burstGap)
	}},
	{name: "overload", gap: overloadGap, inject: func(*cluster) {}},
}

func (c *cluster) slowEncoders(by time.Duration) {
	for _, target := range c.targets {
		if strings.HasPrefix(target.Name, "encoder-") {
			target.SetFaults(radishstandin.TargetFaults{ExtraProcessingMS: int(by.Milliseconds())})
		}
	}
}

// TestMeasure measures every scenario with every policy and seed and prints the results.
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

// summarise prints the means over a policy's measurements to standard error.
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
			target.Update(func(t *radishstandin.Target) { t.RecordStarts = false })
		}
		time.Sleep(settlingTime)
		c.calls.Go(func() {
			time.Sleep(measureTime / 4)
			s.inject(c)
		})
		if s.greedyGap > 0 {
			c.calls.Go(func() { c.sendPoisson(greedyToken, uint64(seed)+100, s.greedyGap) })
		}
		c.sendPoisson(testToken, uint64(seed), s.gap)
		c.calls.Wait()
		m = c.evaluate()
		return ""
	})
	m.Scenario, m.Policy, m.Seed = s.name, policy, seed
	return m
}

// sendPoisson sends a team's requests to random VMs for measureTime. The times between requests are exponentially
// distributed with the mean gap.
func (c *cluster) sendPoisson(token string, seed uint64, gap time.Duration) {
	c.sendPoissonFor(measureTime, token, seed, gap)
}

// sendPoissonFor is like sendPoisson for the duration d.
func (c *cluster) sendPoissonFor(d time.Duration, token string, seed uint64, gap time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(rng.ExpFloat64() * float64(gap))) {
		v := c.vms[rng.IntN(len(c.vms))]
		c.calls.Go(func() { c.sendAs(token, v, "digest", "") })
	}
}

// evaluate computes the result from the responses and the statistics of the targets. A run of a stage is wasted if its
// request did not succeed.
func (c *cluster) evaluate() measurement {
	m := measurement{CostByStage: make(map[string]float64)}
	succeeded := make(map[string]bool)
	var durations []float64
	for _, res := range c.responses {
		if res.isGreedy {
			succeeded[res.id] = res.status == http.StatusOK
			continue
		}
		m.Sent++
		switch {
		case res.status == http.StatusOK:
			m.Succeeded++
			succeeded[res.id] = true
			durations = append(durations, res.duration.Seconds()*1e3)
		case res.ran == radishentry.ExecutionNone:
			m.RefusedNotRun++
		default:
			m.Unknown++
		}
	}
	m.Attainment = float64(m.Succeeded) / float64(m.Sent)
	slices.Sort(durations)
	if len(durations) > 0 {
		m.P50, m.P99 = durations[len(durations)/2], durations[len(durations)*99/100]
	}
	for _, v := range c.vms {
		for service, cost := range v.server.costs.Snapshot() {
			m.CostByStage[service] += cost.Time.Seconds()
		}
	}
	runs, wasted := 0, 0
	for _, t := range c.targets {
		for id, n := range t.Stats().RunsByRequestID {
			runs += n
			if !succeeded[id] {
				wasted += n
			}
		}
	}
	m.WastedShare = float64(wasted) / float64(max(1, runs))
	return m
}
