package main

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

// Limits of a cold worker, as in the configuration and in the settings of the VMs.
const (
	coldPerS  = 8.9
	coldLimit = coldPerS*1.5 + 5
	// coldFor is how long a worker is cold.
	coldFor = 3 * time.Second
)

// coldArrival is a request that arrived at the worker while that was cold.
type coldArrival struct {
	id       string
	sent, at time.Time
}

// coldWorld is a service whose only worker turns cold, under the traffic of a burst. The worker crashes, as a cold one may, when it gets more than
// the rules allow.
type coldWorld struct {
	store  *store
	worker *worker

	mu        sync.Mutex
	arrivals  []coldArrival
	coldUntil time.Time
	sentAt    map[string]time.Time
	isCrashed bool
	crashed   chan struct{}

	fleet       []*vm
	stopSending chan struct{}
	clients     sync.WaitGroup
}

func newColdWorld() *coldWorld {
	c := &coldWorld{
		store: startStore("127.0.0.1"), sentAt: make(map[string]time.Time), crashed: make(chan struct{}), stopSending: make(chan struct{}),
	}
	putConfig(c.store, []map[string]any{streamRoute(true, 2, 1900)}, []map[string]any{modelService()})
	c.worker = startWorker(c.store, "i-model-1", "model", 64, c.serve)
	return c
}

// serve is what the worker does with a request.
func (c *coldWorld) serve(rw http.ResponseWriter, r *http.Request) {
	now, id := time.Now(), r.Header.Get("Attempt-Id")
	c.mu.Lock()
	if now.Before(c.coldUntil) {
		c.arrivals = append(c.arrivals, coldArrival{id: id, sent: c.sentAt[id], at: now})
		if n := inLastSecond(c.arrivals, now); float64(n) > coldLimit && !c.isCrashed {
			c.isCrashed = true
			note("the cold worker crashes at %d requests that were sent and arrived inside one second", n)
			c.worker.stop()
			close(c.crashed)
		}
	}
	c.mu.Unlock()
	if !c.worker.streamEvents(rw, r, 8, 100*time.Millisecond) {
		note("the answer to request %s is cut at the worker", id)
	}
}

// requestsPerSecond is the rate of all clients together: the model traffic of the site (20 a second) in a burst.
const requestsPerSecond = 45

// setFleet names the VMs that the balancer sends new connections to.
func (c *coldWorld) setFleet(fleet []*vm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet = fleet
}

// send sends the clients' requests to the VMs in turn, until the end.
func (c *coldWorld) send() {
	c.clients.Go(func() {
		var calls sync.WaitGroup
		defer calls.Wait()
		tick := time.NewTicker(time.Second / requestsPerSecond)
		for n := 0; ; n++ {
			select {
			case <-c.stopSending:
				return
			case <-tick.C:
			}
			c.mu.Lock()
			v := c.fleet[n%len(c.fleet)]
			c.mu.Unlock()
			calls.Go(func() { c.call(v) })
		}
	})
}

// call sends one request to the VM.
func (c *coldWorld) call(v *vm) {
	id, sent := newID(), time.Now()
	c.mu.Lock()
	c.sentAt[id] = sent
	c.mu.Unlock()
	a := v.call("POST", "/stream/a", id, 12000, streamHeaders("5c1e07a2:512,"+id[:6]+":700,"+id[:8]+":250"), "{}")
	note("request %s at %s: sent at %.3f, status %d, error %v", id, v.name, sent.Sub(startedAt).Seconds(), a.status, a.err)
}

// turnCold makes the worker cold for coldFor.
func (c *coldWorld) turnCold() {
	c.mu.Lock()
	c.coldUntil = time.Now().Add(coldFor)
	c.mu.Unlock()
	note("the worker is cold for %v", coldFor)
	c.worker.setCold(coldFor)
	time.AfterFunc(coldFor, func() { c.worker.setCold(0) })
}

// awaitWarm waits until the worker is warm for sure, or has crashed.
func (c *coldWorld) awaitWarm() {
	select {
	case <-c.crashed:
	case <-time.After(coldFor):
	}
}

// finish ends the traffic and the case.
func (c *coldWorld) finish() {
	time.Sleep(200 * time.Millisecond)
	close(c.stopSending)
	c.clients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	most, from := mostInASecond(c.arrivals)
	note("%d requests arrived while the worker was cold", len(c.arrivals))
	for _, a := range c.arrivals {
		if !a.sent.Before(from) && a.at.Sub(from) < time.Second {
			note("request %s: sent at %.3f, arrived at %.3f", a.id, a.sent.Sub(startedAt).Seconds(), a.at.Sub(startedAt).Seconds())
		}
	}
	verdict(float64(most) > coldLimit, "FAILBACK: most requests that were sent and arrived inside one second at the cold worker: "+itoa(most)+", 18.35 are allowed")
}

// caseJoin adds two VMs to two just after the worker has turned cold.
func caseJoin() {
	c := newColdWorld()
	c.setFleet(startVMs(c.store, 2))
	time.Sleep(stabilityMs * time.Millisecond)
	c.send()
	time.Sleep(3 * time.Second)
	c.turnCold()
	time.Sleep(300 * time.Millisecond)
	if trouble {
		startVMs(c.store, 2)
		c.setFleet(vms)
	}
	c.awaitWarm()
	c.finish()
}

// inLastSecond returns how many requests were sent and arrived within the second before now.
func inLastSecond(arrivals []coldArrival, now time.Time) int {
	n := 0
	for _, a := range arrivals {
		if now.Sub(a.sent) < time.Second && now.Sub(a.at) < time.Second {
			n++
		}
	}
	return n
}

// mostInASecond returns the most requests that were sent and arrived inside a span of one second, and when it begins.
func mostInASecond(arrivals []coldArrival) (most int, from time.Time) {
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].sent.Before(arrivals[j].sent) })
	for _, first := range arrivals {
		n := 0
		for _, a := range arrivals {
			if !a.sent.Before(first.sent) && a.at.Sub(first.sent) < time.Second {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	return most, from
}

// setCold changes how long the worker says that it stays cold.
func (w *worker) setCold(remaining time.Duration) {
	w.mu.Lock()
	w.coldRemaining = remaining
	w.mu.Unlock()
	w.beat()
}
