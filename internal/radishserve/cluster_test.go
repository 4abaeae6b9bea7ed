package radishserve

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishsetting"
	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishrule"
)

const (
	testToken     = "test-token"
	greedyToken   = "greedy-token"
	testDeadline  = 3 * time.Second
	testNotice    = 4 * time.Second
	coldBears     = 2
	testEntries   = 3
	testLLMs      = 2
	settlingTime  = 15 * time.Second
	drainDeadline = 5 * time.Second
)

const testRules = `
service name=encoder cold_capacity=2 # test
service name=llm cold_capacity=2 # test
service name=booking idempotent=false cold_capacity=2 # test
pipeline name=digest stages=encode/encoder,generate/llm deadline=3s # test
pipeline name=seat stages=call/booking deadline=3s # test
team name=congress token_sha256=%s # test
team name=greedy token_sha256=%s # test
`

func rulesText(extra string) string {
	sum := sha256.Sum256([]byte(testToken))
	greedy := sha256.Sum256([]byte(greedyToken))
	return fmt.Sprintf(testRules, hex.EncodeToString(sum[:]), hex.EncodeToString(greedy[:])) + extra
}

// vm is one entry VM of a test cluster.
type vm struct {
	name   string
	server *Server
	view   *radishstandin.View
	log    hclog.Logger
	stop   context.CancelFunc
	done   chan struct{}
	err    error
}

// cluster is a set of entry VMs and targets in one bubble.
type cluster struct {
	t        *testing.T
	picker   string
	slots    int
	platform *radishstandin.Platform
	fleet    *radishstandin.Fleet
	network  *radishstandin.Network
	vms      []*vm
	targets  []*radishstandin.Target
	stores   *radishconfig.Store
	calls    sync.WaitGroup
	log      logBuffer

	mu       sync.Mutex
	answers  []answer
	answered int
}

// answer is what a caller got.
type answer struct {
	status  int
	id      string
	body    string
	ran     radishentry.Ran
	effect  radishentry.Effect
	key     string
	took    time.Duration
	entered time.Time
	// isGreedy tells that the greedy team sent the request.
	isGreedy bool
}

func newCluster(t *testing.T, dataCentres ...string) *cluster {
	return newClusterWith(t, "power_of_two", 0, dataCentres...)
}

func newClusterWith(t *testing.T, picker string, slots int, dataCentres ...string) *cluster {
	c := &cluster{
		t: t, picker: picker, slots: slots, platform: radishstandin.NewPlatform(), fleet: &radishstandin.Fleet{Latency: time.Millisecond},
		network: &radishstandin.Network{},
	}
	c.stores = &radishconfig.Store{Platform: c.platform}
	c.apply(0, rulesText(""))
	for _, dc := range dataCentres {
		c.addTarget(dc, "encoder-"+dc, "encoder", 20*time.Millisecond)
		c.addTarget(dc, "booking-"+dc, "booking", 30*time.Millisecond)
		for i := range testLLMs {
			c.addTarget(dc, fmt.Sprintf("llm-%s-%d", dc, i), "llm", 100*time.Millisecond)
		}
	}
	for _, dc := range dataCentres {
		for i := range testEntries {
			c.addVM(fmt.Sprintf("%s-%d", dc, i), dc, nil)
		}
	}
	return c
}

func (c *cluster) apply(base uint64, text string) {
	c.t.Helper()
	if err := c.tryApply(base, text); err != nil {
		c.t.Error(err)
	}
}

func (c *cluster) tryApply(base uint64, text string) error {
	_, err := c.stores.Apply(context.Background(), radishconfig.Change{Base: base, By: "tester", Lines: radishrule.SplitLines(text)})
	return err
}

func (c *cluster) addTarget(dc, name, service string, work time.Duration) {
	t := &radishstandin.Target{
		Name: name, Work: work, ColdFactor: 4, ColdCapacity: coldBears, Notice: testNotice, Tokens: 4, RecordBegun: true,
		ReportLag: 200 * time.Millisecond, Slots: c.slots,
	}
	c.fleet.Add(t)
	c.targets = append(c.targets, t)
	c.platform.SetVM(radish.VM{Name: name, Address: name, DataCentre: dc, Service: service, State: radish.VMLive})
}

func (c *cluster) addVM(name, dc string, seeds []string) *vm {
	c.platform.SetVM(radish.VM{Name: name, Address: name + ":3", DataCentre: dc, Service: radish.EntryService, State: radish.VMLive})
	cfg := radishsetting.Default()
	cfg.VM = radishsetting.VM{Name: name, DataCentre: dc}
	cfg.Caller.Listen, cfg.Operator.Listen, cfg.Peer.Listen = name+":1", name+":2", name+":3"
	cfg.Peer.Seeds = seeds
	cfg.Routing.Picker = c.picker
	cfg.Shutdown.BalancerWait = 500 * time.Millisecond
	log := hclog.New(&hclog.LoggerOptions{Output: &c.log, JSONFormat: true, Level: hclog.Off}).With("vm", name)
	v := &vm{name: name, log: log, view: &radishstandin.View{Platform: c.platform}, done: make(chan struct{})}
	v.server = &Server{
		Settings: cfg, Log: log, Platform: v.view,
		Targets: &radishstandin.Reach{Fleet: c.fleet, Network: c.network, From: name + ":3"},
		Listen:  func(address string) (net.Listener, error) { return c.network.Listen(address) },
		Dial:    c.network.Dialer(name + ":3"),
	}
	if err := v.server.Build(); err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() {
		v.err = v.server.Run(ctx)
		close(v.done)
	}()
	c.vms = append(c.vms, v)
	return v
}

// startLog has all VMs write their log from now on.
func (c *cluster) startLog() {
	for _, v := range c.vms {
		v.log.SetLevel(hclog.Info)
	}
}

// close stops every VM and waits for all that is under way.
func (c *cluster) close() {
	c.platform.SetFaults(radishstandin.Faults{})
	c.network.SetBlocked(nil)
	for _, v := range c.vms {
		v.view.SetCut(false)
		v.view.SetDelay(0)
		v.stop()
	}
	c.calls.Wait()
	for _, v := range c.vms {
		<-v.done
	}
	time.Sleep(time.Minute)
}

// send sends one request to the VM and records the answer.
func (c *cluster) send(v *vm, pipeline, key string) answer {
	return c.sendAs(testToken, v, pipeline, key)
}

func (c *cluster) sendAs(token string, v *vm, pipeline, key string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/pipelines/"+pipeline, strings.NewReader(`{"q":1}`))
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set(radishentry.HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	began := time.Now()
	v.server.CallerHandler().ServeHTTP(w, r)
	a := answer{
		status: w.Code, id: w.Header().Get(radishentry.HeaderRequestID), body: w.Body.String(), key: key,
		took: time.Since(began), entered: began, isGreedy: token == greedyToken,
	}
	var problem radishentry.Problem
	if w.Code != http.StatusOK {
		_ = json.Unmarshal(w.Body.Bytes(), &problem)
		a.ran, a.effect = problem.Ran, problem.Effect
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	if a.status == http.StatusOK {
		c.answered++
	}
	return a
}

// load sends requests to random running VMs until the duration has passed.
func (c *cluster) load(rng *rand.Rand, d, gap time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		v := c.vms[rng.IntN(len(c.vms))]
		if !v.server.isReady() {
			continue
		}
		if rng.IntN(3) == 0 {
			key := radishstandin.KeyAt(time.Now()).String()
			c.calls.Go(func() { c.send(v, "seat", key) })
			if rng.IntN(2) == 0 {
				other := c.vms[rng.IntN(len(c.vms))]
				// No connection reaches a VM that has closed its listener to leave.
				if !other.server.draining.Load() {
					c.calls.Go(func() { c.send(other, "seat", key) })
				}
			}
			continue
		}
		c.calls.Go(func() { c.send(v, "digest", "") })
	}
}

// check returns the first promise that the answers and the targets show to be broken.
func (c *cluster) check() string {
	ran := make(map[string]int)
	runsOf := make(map[string]map[string]int)
	for _, t := range c.targets {
		stats := t.Stats()
		if stats.Violations > 0 {
			return fmt.Sprintf("cold target %s began %d attempts above the %d it bears", t.Name, stats.Violations, coldBears)
		}
		runsOf[t.Name] = stats.Ran
		for id, n := range stats.Ran {
			ran[id] += n
		}
	}
	return c.checkAnswers(ran, runsOf)
}

func (c *cluster) checkAnswers(ran map[string]int, runsOf map[string]map[string]int) string {
	bookings := make(map[string]int)
	owner := make(map[string]string)
	for _, a := range c.answers {
		if a.key != "" {
			owner[a.id] = a.key
		}
		if a.status != http.StatusOK && a.ran == radishentry.RanNot && ran[a.id] > 0 {
			return fmt.Sprintf("request %s was refused as not run, but ran %d times", a.id, ran[a.id])
		}
		if a.status == http.StatusOK && a.key == "" && !strings.Contains(a.body, a.id) {
			return fmt.Sprintf("request %s got the answer of another: %s", a.id, a.body)
		}
		if a.status == http.StatusOK && a.took > testDeadline+time.Second {
			return fmt.Sprintf("request %s was answered after %v", a.id, a.took)
		}
	}
	for name, runs := range runsOf {
		if !strings.HasPrefix(name, "booking-") {
			continue
		}
		for id, n := range runs {
			bookings[owner[id]] += n
		}
	}
	for key, n := range bookings {
		if n > 1 {
			return fmt.Sprintf("booking %s ran %d times", key, n)
		}
	}
	return ""
}

// prove runs a test against a settled cluster on a paused clock and fails with the broken promise that it returns.
func prove(t *testing.T, dataCentres []string, test func(c *cluster) string) {
	t.Helper()
	fault := inBubble(t, func(t *testing.T) string {
		c := newCluster(t, dataCentres...)
		defer c.close()
		time.Sleep(settlingTime)
		return test(c)
	})
	if fault != "" {
		t.Fatal(fault)
	}
}

// inBubble runs the test on a paused clock and reports what it returns.
func inBubble(t *testing.T, test func(t *testing.T) string) (fault string) {
	t.Helper()
	// yamux keeps timers in a global pool; one made in an earlier bubble may not be used in this one, and two
	// collections empty the pool.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) { fault = test(t) })
	return fault
}
