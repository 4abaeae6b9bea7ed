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
	testToken    = "test-token"
	greedyToken  = "greedy-token"
	testDeadline = 3 * time.Second
	// testDetectionTime is how long the entry VMs may take to detect that a target turned cold.
	testDetectionTime = 4 * time.Second
	testColdCapacity  = 2
	testEntryVMs      = 3
	testLLMs          = 2
	settlingTime      = 15 * time.Second
	drainDeadline     = 5 * time.Second
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
	view   *radishstandin.PlatformClient
	log    hclog.Logger
	stop   context.CancelFunc
	done   chan struct{}
	err    error
}

// cluster is a set of entry VMs and targets that run in one synctest bubble.
type cluster struct {
	t           *testing.T
	picker      string
	slots       int // number of attempts that each target processes at a time; 0 for no limit
	platform    *radishstandin.Platform
	fleet       *radishstandin.Fleet
	network     *radishstandin.Network
	vms         []*vm
	targets     []*radishstandin.Target
	configStore *radishconfig.Store
	calls       sync.WaitGroup
	log         logBuffer

	mu        sync.Mutex
	responses []response
	successes int
}

// response is the response that a caller received.
type response struct {
	status   int
	id       string
	body     string
	ran      radishentry.Execution
	effect   radishentry.Effect
	key      string
	duration time.Duration
	sentAt   time.Time
	// isGreedy is whether the greedy team sent the request.
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
	c.configStore = &radishconfig.Store{Platform: c.platform}
	c.apply(0, rulesText(""))
	for _, dc := range dataCentres {
		c.addTarget(dc, "encoder-"+dc, "encoder", 20*time.Millisecond)
		c.addTarget(dc, "booking-"+dc, "booking", 30*time.Millisecond)
		for i := range testLLMs {
			c.addTarget(dc, fmt.Sprintf("llm-%s-%d", dc, i), "llm", 100*time.Millisecond)
		}
	}
	for _, dc := range dataCentres {
		for i := range testEntryVMs {
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
	_, err := c.configStore.Apply(context.Background(), radishconfig.Change{Base: base, By: "tester", Lines: radishrule.SplitLines(text)})
	return err
}

func (c *cluster) addTarget(dc, name, service string, work time.Duration) {
	t := &radishstandin.Target{
		Name: name, ProcessingTime: work, ColdFactor: 4, ColdCapacity: testColdCapacity,
		ViolationGrace: testDetectionTime, Tokens: 4, RecordStarts: true, ReportLag: 200 * time.Millisecond, Slots: c.slots,
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
	v := &vm{name: name, log: log, view: &radishstandin.PlatformClient{Platform: c.platform}, done: make(chan struct{})}
	v.server = &Server{
		Settings: cfg, Log: log, Platform: v.view,
		Targets: &radishstandin.FleetClient{Fleet: c.fleet, Network: c.network, VMAddress: name + ":3"},
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

// startLog enables logging on all VMs.
func (c *cluster) startLog() {
	for _, v := range c.vms {
		v.log.SetLevel(hclog.Info)
	}
}

// close ends all faults, stops every VM and waits for pending requests and background work.
func (c *cluster) close() {
	c.platform.SetFaults(radishstandin.Faults{})
	c.network.SetPartition(nil)
	for _, v := range c.vms {
		v.view.SetDisconnected(false)
		v.view.SetDelay(0)
		v.stop()
	}
	c.calls.Wait()
	for _, v := range c.vms {
		<-v.done
	}
	time.Sleep(time.Minute)
}

// send sends one request of the default team to the VM and records the response.
func (c *cluster) send(v *vm, pipeline, key string) response {
	return c.sendAs(testToken, v, pipeline, key)
}

// sendAs sends one request with the token to the VM and records the response.
func (c *cluster) sendAs(token string, v *vm, pipeline, key string) response {
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/pipelines/"+pipeline, strings.NewReader(`{"q":1}`))
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set(radishentry.HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	sentAt := time.Now()
	v.server.CallerHandler().ServeHTTP(w, r)
	res := response{
		status: w.Code, id: w.Header().Get(radishentry.HeaderRequestID), body: w.Body.String(), key: key,
		duration: time.Since(sentAt), sentAt: sentAt, isGreedy: token == greedyToken,
	}
	var problem radishentry.Problem
	if w.Code != http.StatusOK {
		_ = json.Unmarshal(w.Body.Bytes(), &problem)
		res.ran, res.effect = problem.Execution, problem.Effect
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses = append(c.responses, res)
	if res.status == http.StatusOK {
		c.successes++
	}
	return res
}

// load sends requests to random VMs that are ready until the duration has passed. Some bookings are sent to two VMs.
func (c *cluster) load(rng *rand.Rand, d, gap time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		v := c.vms[rng.IntN(len(c.vms))]
		if !v.server.isReady() {
			continue
		}
		if rng.IntN(3) == 0 {
			key := radishstandin.UUIDv7At(time.Now()).String()
			c.calls.Go(func() { c.send(v, "seat", key) })
			if rng.IntN(2) == 0 {
				other := c.vms[rng.IntN(len(c.vms))]
				// A VM that is shutting down has closed its listener, so a real caller could not connect to it.
				if !other.server.shuttingDown.Load() {
					c.calls.Go(func() { c.send(other, "seat", key) })
				}
			}
			continue
		}
		c.calls.Go(func() { c.send(v, "digest", "") })
	}
}

// check returns a description of the first violation of a guarantee that the responses and the targets' statistics
// show, or "" if there is none.
func (c *cluster) check() string {
	ran := make(map[string]int)
	runsOf := make(map[string]map[string]int)
	for _, t := range c.targets {
		stats := t.Stats()
		if stats.ColdViolations > 0 {
			return fmt.Sprintf("cold target %s began %d attempts above its capacity of %d", t.Name, stats.ColdViolations, testColdCapacity)
		}
		runsOf[t.Name] = stats.RunsByRequestID
		for id, n := range stats.RunsByRequestID {
			ran[id] += n
		}
	}
	return c.checkResponses(ran, runsOf)
}

func (c *cluster) checkResponses(ran map[string]int, runsOf map[string]map[string]int) string {
	bookings := make(map[string]int)
	keyByID := make(map[string]string)
	for _, res := range c.responses {
		if res.key != "" {
			keyByID[res.id] = res.key
		}
		if res.status != http.StatusOK && res.ran == radishentry.ExecutionNone && ran[res.id] > 0 {
			return fmt.Sprintf("request %s was refused as not_run, but ran %d times", res.id, ran[res.id])
		}
		if res.status == http.StatusOK && res.key == "" && !strings.Contains(res.body, res.id) {
			return fmt.Sprintf("request %s got the response to another request: %s", res.id, res.body)
		}
		if res.status == http.StatusOK && res.duration > testDeadline+time.Second {
			return fmt.Sprintf("request %s got its response after %v, past its deadline", res.id, res.duration)
		}
	}
	for name, runs := range runsOf {
		if !strings.HasPrefix(name, "booking-") {
			continue
		}
		for id, n := range runs {
			bookings[keyByID[id]] += n
		}
	}
	for key, n := range bookings {
		if n > 1 {
			return fmt.Sprintf("booking %s ran %d times", key, n)
		}
	}
	return ""
}

// runClusterTest starts a cluster in a synctest bubble, waits until its VMs are linked and runs the test. It fails if
// the test returns a description of a failure.
func runClusterTest(t *testing.T, dataCentres []string, test func(c *cluster) string) {
	t.Helper()
	failure := inBubble(t, func(t *testing.T) string {
		c := newCluster(t, dataCentres...)
		defer c.close()
		time.Sleep(settlingTime)
		return test(c)
	})
	if failure != "" {
		t.Fatal(failure)
	}
}

// inBubble runs the test in a synctest bubble and returns its result.
func inBubble(t *testing.T, test func(t *testing.T) string) (failure string) {
	t.Helper()
	// yamux keeps timers in a global pool, and a timer from an earlier bubble must not be used in this one. Two garbage
	// collections empty the pool.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) { failure = test(t) })
	return failure
}
