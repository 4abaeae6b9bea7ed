package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is limits.memory_mb of the settings: the platform kills a process that exceeds it.
	memoryLimitMB = 206
	// linkBytesPerSecond is limits.link_mbps of the settings; all clients together send no faster.
	linkBytesPerSecond = 700e6 / 8
	// bodyBytes is limits.max_body_bytes of the configuration.
	bodyBytes = 4194304
	// usualUploaders is the number of clients that upload at the same time; burstFactor is x of the disruption burst.
	usualUploaders = 16
	burstFactor    = 2.4
	burstTime      = 6 * time.Second
	usualTime      = 6 * time.Second
)

func init() { cases["memory"] = runMemory }

// runMemory plays clients that upload bodies of the size that the configuration allows, on kept connections, to one VM. For some seconds
// there are burstFactor times as many.
func runMemory(e *env) error {
	w := &worker{id: "i-02d9e6b4", service: "wuno96b", zone: "jawa-barat", slots: 64}
	running := &runs{started: make(map[string]bool)}
	w.handle = func(c *workerConn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Attempt-Id")
		running.begin(id)
		e.record.add(w.id, "runs %s, %d bytes", id, len(body))
		time.Sleep(300 * time.Millisecond)
		_ = writeResponse(c, 200, append(w.answerHeaders(r), "Connection: close"), []byte("stored"))
		return false
	}
	model := &worker{id: "i-7f3a91c2", service: "huvo11a", zone: "jawa-barat", slots: 64}
	model.handle = func(c *workerConn, r *http.Request, _ []byte) bool { return model.streamReport(c, r, running) }
	for _, each := range []*worker{w, model} {
		if err := e.startWorker(each); err != nil {
			return err
		}
	}
	e.store.put("config", "main", memoryConfig())
	e.addVMs(2, "jawa-barat")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	v := e.vms[0]
	var peak atomic.Int64
	go v.enforceMemoryLimit(&peak)
	served, cut := e.playUploads(v, running)
	e.record.add("clients", "%d uploads were served", served)
	e.record.add(v.name, "largest resident memory: %d MB", peak.Load())
	if !v.isRunning() && cut > 3 {
		e.record.violation("%s went over its memory limit (%d MB) and cut %d requests from kept connections that a sound worker was running",
			v.name, peak.Load(), cut)
	}
	if served < 20 {
		return fmt.Errorf("only %d uploads were served", served)
	}
	return nil
}

func memoryConfig() map[string]any {
	cfg := descriptorConfig()
	streams := cfg["routes"].([]map[string]any)[0]
	cfg["routes"] = []map[string]any{streams, {
		"name": "r-upload", "host": clientHost, "path_prefix": "/bobo563/", "kind": "unsafe", "timeout_ms": 12000, "target_latency_ms": 5000,
		"priority": 2, "service": "wuno96b", "max_attempts": 1, "allow_anonymous": false, "session_affinity": false, "resumable": false,
	}}
	return cfg
}

// enforceMemoryLimit kills the VM's process when it exceeds its limit, as the platform does.
func (v *vm) enforceMemoryLimit(peak *atomic.Int64) {
	for v.isRunning() {
		resident := v.residentMB()
		peak.Store(max(peak.Load(), int64(resident)))
		if resident > memoryLimitMB {
			v.e.record.add(v.name, "uses %d MB, the limit is %d MB", resident, memoryLimitMB)
			v.signal(syscall.SIGKILL)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// residentMB returns the resident memory of the VM's process.
func (v *vm) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb / 1024
		}
	}
	return 0
}

// playUploads returns the number of uploads that were served and that of the requests that were cut while the worker ran them.
func (e *env) playUploads(v *vm, running *runs) (served, cut int64) {
	var servedCount, cutCount, active atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	start := func(ctx context.Context, n int) {
		for range n {
			wg.Go(func() { e.upload(ctx, v, running, &active, &servedCount, &cutCount) })
		}
	}
	for range longReaders {
		wg.Go(func() { e.readReports(ctx, v, running, &cutCount) })
	}
	// The readers finish their first stream, so that they use kept connections.
	sleepWhile(reportTime+time.Second, v)
	start(ctx, usualUploaders)
	sleepWhile(usualTime, v)
	if e.trouble {
		e.record.add("clients", "burst begins: %g times as many uploads", burstFactor)
		burst, endBurst := context.WithTimeout(ctx, burstTime)
		start(burst, int(math.Round((burstFactor-1)*float64(usualUploaders))))
		sleepWhile(burstTime, v)
		endBurst()
	}
	sleepWhile(usualTime, v)
	cancel()
	wg.Wait()
	return servedCount.Load(), cutCount.Load()
}

func sleepWhile(d time.Duration, v *vm) {
	for until := time.Now().Add(d); time.Now().Before(until) && v.isRunning(); {
		time.Sleep(20 * time.Millisecond)
	}
}

// upload sends one request after the other on a kept connection until ctx ends; it finishes the request that it has begun.
func (e *env) upload(ctx context.Context, v *vm, running *runs, active, served, cut *atomic.Int64) {
	active.Add(1)
	defer active.Add(-1)
	client := newClient()
	for n := 0; ctx.Err() == nil && v.isRunning(); n++ {
		id := newID()
		r := newRequest(context.Background(), v, http.MethodPost, "/bobo563/2f", id, nil, 12*time.Second)
		r.Body, r.ContentLength = io.NopCloser(&pacedBody{remaining: bodyBytes, share: active}), bodyBytes
		e.record.add("client", "sends %s, %d bytes", id, bodyBytes)
		a := do(client, r)
		e.record.add("client", "%s answered: status %d, error %v", id, a.status, a.err)
		isCut := a.status == 0 && (errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF) || errors.Is(a.err, syscall.ECONNRESET))
		if isCut && n > 0 && running.has(id) {
			cut.Add(1)
		}
		if a.status == http.StatusOK {
			served.Add(1)
		}
	}
}

// pacedBody is a request body that is sent at the client's share of the VM's link.
type pacedBody struct {
	remaining int
	share     *atomic.Int64
	due       time.Time
}

const pacedBytes = 64 << 10

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if b.due.IsZero() {
		b.due = time.Now()
	}
	time.Sleep(time.Until(b.due))
	n := min(len(p), b.remaining, pacedBytes)
	for i := range p[:n] {
		p[i] = byte('a' + i%26)
	}
	b.remaining -= n
	b.due = b.due.Add(time.Duration(float64(n) * float64(b.share.Load()) / linkBytesPerSecond * float64(time.Second)))
	return n, nil
}
