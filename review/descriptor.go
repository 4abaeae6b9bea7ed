package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// maxDescriptors is limits.max_fds of the settings, which the platform applies to each process.
	maxDescriptors = 2870
	// neededDescriptors is what the stand-in itself needs for its clients and workers.
	neededDescriptors = 4000
	// newUsersPerSecond is how many clients open a connection to the VM of their zone in each second.
	newUsersPerSecond = 55
	descriptorTime    = 80 * time.Second
	// rollAt is the number of kept connections at which the other VMs begin to be stopped and started in turn.
	rollAt     = 2600
	rollGap    = 2 * time.Second
	rollRounds = 2
	// reportTime is how long a survey report of the case is streamed.
	reportTime = 6 * time.Second
	// longReaders is the number of clients that read one report after the other on a connection of their own.
	longReaders = 12
)

// descriptorLimit starts a process with the limit of the settings.
var descriptorLimit = []string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxDescriptors)}

func init() { cases["descriptor"] = runDescriptor }

// runDescriptor plays clients that keep their connections open, each with one lookup, beside a few that read streams. The VMs
// of the other zone are stopped and started in turn.
func runDescriptor(e *env) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < neededDescriptors {
		return fmt.Errorf("the clients need %d descriptors, the limit is %d: %v", neededDescriptors, limit.Cur, err)
	}
	reads := &worker{id: "i-02d9e6b4", service: "wuno96b", zone: "jawa-barat", slots: 64}
	reads.handle = func(c *workerConn, r *http.Request, _ []byte) bool {
		time.Sleep(15 * time.Millisecond)
		_ = writeResponse(c, 200, append(reads.answerHeaders(r), "Connection: close"), []byte("schedule"))
		return false
	}
	model := &worker{id: "i-7f3a91c2", service: "huvo11a", zone: "jawa-barat", slots: 64}
	running := &runs{started: make(map[string]bool)}
	model.handle = func(c *workerConn, r *http.Request, _ []byte) bool { return model.streamReport(c, r, running) }
	for _, w := range []*worker{reads, model} {
		if err := e.startWorker(w); err != nil {
			return err
		}
	}
	e.store.put("config", "main", descriptorConfig())
	// One VM in the zone of the clients, three in the other one.
	e.addVMs(4, "jawa-barat", "yogya", "yogya", "yogya")
	for _, v := range e.vms {
		if err := v.start(descriptorLimit...); err != nil {
			return err
		}
	}
	for _, v := range e.vms {
		if err := v.waitUntilReady(); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return e.playDescriptor(running)
}

// runs holds the requests that a model worker has begun to work on.
type runs struct {
	mu      sync.Mutex
	started map[string]bool
}

func (r *runs) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[id] = true
}

func (r *runs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started[id]
}

func descriptorConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-jqnirth", "host": clientHost, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1900,
				"priority": 0, "service": "huvo11a", "max_attempts": 1, "allow_anonymous": false, "session_affinity": true, "resumable": false, "gap_aim_ms": 500},
			{"name": "r-safe", "host": clientHost, "path_prefix": "/wuhu344/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 100,
				"priority": 2, "service": "wuno96b", "max_attempts": 2, "allow_anonymous": false, "session_affinity": false, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/healthz", "max_connections": 595, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 403888}},
			{"name": "wuno96b", "health_path": "/healthz", "max_connections": 595, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits": limits, "tenants": tenants,
	}
}

// streamReport answers with an event each 200 ms.
func (w *worker) streamReport(c *workerConn, r *http.Request, running *runs) bool {
	id := r.Header.Get("Attempt-Id")
	running.begin(id)
	w.e.record.add(w.id, "runs %s", id)
	head := "HTTP/1.1 200 OK\r\n" + strings.Join(w.answerHeaders(r), "\r\n") + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	const pause = 200 * time.Millisecond
	for n := 1; n <= int(reportTime/pause); n++ {
		if chunk(c, fmt.Sprintf("id: %d\ndata: line %d\n\n", n, n)) != nil {
			w.e.record.add(w.id, "%s: the connection was closed after event %d", id, n)
			return false
		}
		time.Sleep(pause)
	}
	_, _ = c.Write([]byte("0\r\n\r\n"))
	return false
}

// rotation is the platform's view of which VMs take new connections.
type rotation struct {
	mu     sync.Mutex
	misses map[*vm]int
}

func (t *rotation) watch(e *env, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		for _, v := range e.vms {
			isReady := v.isReady()
			t.mu.Lock()
			if isReady {
				t.misses[v] = 0
			} else {
				t.misses[v]++
			}
			t.mu.Unlock()
		}
	}
}

// isIn reports whether the VM takes new connections.
func (t *rotation) isIn(v *vm) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.misses[v] < 2
}

func (e *env) playDescriptor(running *runs) error {
	done := make(chan struct{})
	defer close(done)
	turn := &rotation{misses: make(map[*vm]int)}
	go turn.watch(e, done)
	var wg sync.WaitGroup
	var open, cut atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := e.vms[0]
	for range longReaders {
		wg.Go(func() { e.readReports(ctx, first, running, &cut) })
	}
	startedAt := time.Now()
	isRolled := false
	for n := 0; time.Since(startedAt) < descriptorTime && first.isRunning(); n++ {
		if turn.isIn(first) {
			go e.lookUp(ctx, first, &open)
		}
		time.Sleep(time.Second / newUsersPerSecond)
		if n%200 == 0 {
			e.record.add("clients", "%d kept connections", open.Load())
		}
		if e.trouble && !isRolled && open.Load() >= rollAt {
			isRolled = true
			go e.roll(e.vms[1:])
		}
	}
	e.record.add("clients", "%d kept connections at the end", open.Load())
	if !first.isRunning() {
		time.Sleep(500 * time.Millisecond)
		if n := cut.Load(); n > 3 {
			e.record.violation("%s ended by itself and cut %d requests from kept connections that a sound worker was running", first.name, n)
		}
	}
	cancel()
	wg.Wait()
	if e.trouble && !isRolled {
		return fmt.Errorf("fewer than %d clients came within %v", rollAt, descriptorTime)
	}
	return nil
}

// roll stops VMs in turn and starts each again, rollRounds times.
func (e *env) roll(vms []*vm) {
	for range rollRounds {
		var wg sync.WaitGroup
		for _, v := range vms {
			wg.Go(func() { e.restart(v) })
			time.Sleep(rollGap)
		}
		wg.Wait()
	}
}

func (e *env) restart(v *vm) {
	v.signal(syscall.SIGTERM)
	<-v.exited
	if err := v.start(descriptorLimit...); err != nil {
		e.record.add(v.name, "cannot start: %v", err)
	}
}

// lookUp sends one request on a new connection and keeps the connection open.
func (e *env) lookUp(ctx context.Context, v *vm, open *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	requestCtx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	a := do(client, newRequest(requestCtx, v, http.MethodGet, "/wuhu344/2f", newID(), nil, 1500*time.Millisecond))
	if a.status != 200 {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	<-ctx.Done()
}

// readReports reads streams on one kept connection until ctx ends.
func (e *env) readReports(ctx context.Context, v *vm, running *runs, cut *atomic.Int64) {
	client := newClient()
	for n := 0; ctx.Err() == nil; n++ {
		id := newID()
		r := newRequest(ctx, v, http.MethodPost, "/puxa400/2f", id, []byte("trace"), 12*time.Second)
		addPrompt(r, id)
		a := do(client, r)
		e.record.add("client", "%s answered by %s: status %d, %d bytes, error %v", id, v.name, a.status, len(a.body), a.err)
		isCut := a.err != nil && ctx.Err() == nil && (errors.Is(a.err, io.ErrUnexpectedEOF) || errors.Is(a.err, io.EOF) || errors.Is(a.err, syscall.ECONNRESET))
		if n > 0 && isCut && running.has(id) {
			cut.Add(1)
		}
		if a.status != 200 {
			if !v.isRunning() {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
}
