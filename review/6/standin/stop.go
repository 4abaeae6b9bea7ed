package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// caseStop stops an entry VM while some of its requests wait in the queue of a worker whose places are taken by long answers to other requests. The
// places become free 8 s after the SIGTERM, in time for the requests that wait.
func caseStop() {
	const (
		slotsPerWorker = 4
		waiting        = 5
		longEvents     = 42
		shortEvents    = 6
		interval       = 250 * time.Millisecond
	)
	s := startStore("127.0.0.1")
	putConfig(s, []map[string]any{streamRoute(false, 1, 2700)}, []map[string]any{modelService()})
	var mu sync.Mutex
	arrived, begun := make(map[string]time.Time), make(map[string]time.Time)
	workers := make([]*worker, 1)
	for i := range workers {
		places := make(slots, slotsPerWorker)
		workers[i] = startWorker(s, "i-model-"+itoa(i+1), "model", slotsPerWorker, func(rw http.ResponseWriter, r *http.Request) {
			w, id := workers[i], r.Header.Get("Attempt-Id")
			mu.Lock()
			arrived[id] = time.Now()
			mu.Unlock()
			if !places.take(r) {
				note("request %s: its connection to %s closes while it waits for a place; it never began", id, w.id)
				return
			}
			defer places.free()
			mu.Lock()
			begun[id] = time.Now()
			mu.Unlock()
			note("request %s begins at %s", id, w.id)
			events := shortEvents
			if r.URL.Path == "/stream/long" {
				events = longEvents
			}
			note("request %s ends at %s, all events sent: %v", id, w.id, w.streamEvents(rw, r, events, interval))
		})
	}
	fleet := startVMs(s, 2)
	stopped, other := fleet[0], fleet[1]
	time.Sleep(stabilityMs * time.Millisecond)
	var others sync.WaitGroup
	for range len(workers) * slotsPerWorker {
		others.Go(func() {
			id := newID()
			a := other.call("POST", "/stream/long", id, 12000, streamHeaders("5c1e07a2:512,"+id[:6]+":700,"+id[:8]+":250"), "{}")
			note("client of long request %s at %s: status %d, error %v", id, other.name, a.status, a.err)
		})
	}
	time.Sleep(time.Second)
	type result struct {
		id string
		answer
		endedAt time.Time
	}
	results := make(chan result, waiting)
	for range waiting {
		go func() {
			id := newID()
			note("request %s is sent to %s", id, stopped.name)
			a := stopped.call("POST", "/stream/short", id, 12000, streamHeaders("5c1e07a2:512,"+id[:6]+":700,"+id[:8]+":250"), "{}")
			note("client of request %s at %s: status %d, stamp %q, %d bytes, error %v", id, stopped.name, a.status, a.stamp, len(a.body), a.err)
			results <- result{id, a, time.Now()}
		}()
	}
	time.Sleep(time.Second)
	termAt := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		// The platform kills a process that is still there after grace_s.
		time.AfterFunc(graceS*time.Second, func() { stopped.signal(syscall.SIGKILL) })
	}
	lost := 0
	for range waiting {
		r := <-results
		mu.Lock()
		_, isPassedOn := arrived[r.id]
		_, hasBegun := begun[r.id]
		mu.Unlock()
		isComplete := r.err == nil
		// A worker at work in the last sixth of the grace time would excuse it; so would the deadline, which is 10 s after the SIGTERM or later.
		if isPassedOn && !hasBegun && !isComplete && r.endedAt.Sub(termAt) < 9*time.Second {
			lost++
			note("request %s was passed on, no worker was at work on it, and its connection ended %.1f s after the SIGTERM without an answer",
				r.id, r.endedAt.Sub(termAt).Seconds())
		}
	}
	others.Wait()
	verdict(lost > 0, "LOST: requests that were passed on and ended without a complete answer around a SIGTERM: "+itoa(lost)+" of "+itoa(waiting))
}
