package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker. It registers itself in the store and writes there at each heartbeat.
type worker struct {
	id, service, address string
	slots                int
	born                 int64
	store                *store
	// serve handles a request that is for this worker.
	serve http.HandlerFunc

	mu     sync.Mutex
	server *http.Server
	isGone bool
	// coldRemaining is how long the worker says that it stays cold.
	coldRemaining time.Duration
}

func startWorker(s *store, id, service string, slots int, serve http.HandlerFunc) *worker {
	w := &worker{id: id, service: service, slots: slots, store: s, serve: serve}
	w.listen("127.0.0.1:0")
	w.beat()
	go w.heartbeats()
	return w
}

// listen starts an incarnation at the address.
func (w *worker) listen(address string) {
	l := listen(address)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.born = l.Addr().String(), time.Now().UnixMilli()
	w.server = &http.Server{Handler: w, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}}
	server := w.server
	go func() { _ = server.Serve(l) }()
}

type connKey struct{}

func (w *worker) heartbeats() {
	for range time.Tick(1200 * time.Millisecond) {
		w.beat()
	}
}

// beat writes the worker's entry, unless it has left. The entry changes only when more than its sequence changes, so that later heartbeats change
// nothing.
func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isGone {
		return
	}
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "z1", "version": "v1", "slots": w.slots, "state": "ready", "cold_remaining_ms": w.coldRemaining.Milliseconds(),
		"sequence": 1, "born": w.born,
	})
}

// leave ends the heartbeats and removes the entry, without a report of draining. It returns when the store had removed it.
func (w *worker) leave() time.Time {
	w.mu.Lock()
	w.isGone = true
	w.mu.Unlock()
	return w.store.remove("servers", w.id)
}

// stop ends the process of the worker: its connections are closed and its port refuses new ones.
func (w *worker) stop() {
	w.mu.Lock()
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

// ServeHTTP implements what all workers do with a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/radishramp/") && r.Header.Get("Attempt-Id") == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	// The whole request is read, so that a close of its connection is noticed.
	_, _ = io.Copy(io.Discard, r.Body)
	w.serve(rw, r)
}

// begin sets the headers of an answer of the worker.
func (w *worker) begin(rw http.ResponseWriter, r *http.Request, status int) {
	rw.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	rw.Header().Set("Response-Stamp", w.id+"."+r.Header.Get("Attempt-Id"))
	rw.WriteHeader(status)
}

// streamEvents answers with events at the interval until the request is cancelled. It reports whether all were sent.
func (w *worker) streamEvents(rw http.ResponseWriter, r *http.Request, events int, interval time.Duration) bool {
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := range events {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(interval):
		}
		if n == 0 {
			w.begin(rw, r, http.StatusOK)
		}
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, r.Header.Get("Attempt-Id"))
		_ = http.NewResponseController(rw).Flush()
	}
	return true
}

// slots is the places of a worker with those that wait for one.
type slots chan struct{}

// take waits for a place; it returns false if the request was cancelled before.
func (s slots) take(r *http.Request) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (s slots) free() { <-s }

// putConfig writes a configuration with one route to each service.
func putConfig(s *store, routes, services []map[string]any) {
	s.put("config", "main", map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000},
		"tenants": []map[string]any{{"name": "bozi300", "api_keys": []string{apiKey}}},
	})
}

// streamRoute is a route of requests to a model, as ringkas-ruas without its stages.
func streamRoute(isResumable bool, attempts, targetMs int) map[string]any {
	return map[string]any{
		"name": "r-stream", "host": host, "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": targetMs, "priority": 1,
		"service": "model", "max_attempts": attempts, "stages": []any{}, "allow_anonymous": false, "session_affinity": true,
		"resumable": isResumable, "gap_aim_ms": 500,
	}
}

// plainRoute is a route of work orders, as perintah-kerja.
func plainRoute() map[string]any {
	return map[string]any{
		"name": "r-order", "host": host, "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 100, "priority": 2,
		"service": "dispatch", "max_attempts": 1, "stages": []any{}, "allow_anonymous": false, "session_affinity": false, "resumable": false,
	}
}

func modelService() map[string]any {
	return map[string]any{"name": "model", "health_path": "/healthz", "max_connections": 595, "cold_per_s": 8.9, "engine": map[string]any{"kv_capacity_tokens": 403888}}
}

func dispatchService() map[string]any {
	return map[string]any{"name": "dispatch", "health_path": "/healthz", "max_connections": 108}
}

// streamHeaders are those of a request to a model; the part before the last one is shared.
func streamHeaders(parts string) []string {
	return []string{"Model: m", "Token-Usage: 1460,80", "Prompt-Prefix: " + parts}
}
