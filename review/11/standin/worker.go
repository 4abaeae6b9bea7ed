package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a worker and was meant for it.
type arrival struct {
	at     time.Time
	id     string
	tenant string
	ran    bool
	isCold bool
}

// worker is a worker of a service.
type worker struct {
	lab *lab
	// id, service, zone and address are those of its entry.
	id, service, zone, address string
	slots, queue               int
	work                       time.Duration
	// coldCrash is the number of requests within a second at which the worker crashes while it is cold; 0 for never.
	coldCrash int

	mu   sync.Mutex
	born time.Time
	// The worker is cold until coldUntil. Its arrivals count as those of a cold worker from coldCounts on.
	coldUntil, coldCounts time.Time
	isUp, isDraining      bool
	server                *http.Server
	running               chan struct{}
	waiting               int
	arrivals              []arrival
	// crashedUnder is the number of requests that were running or waiting when the worker crashed.
	crashedUnder int
	hasCrashed   bool
}

// entry is what a worker writes about itself.
type entry struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int64  `json:"cold_remaining_ms"`
	Sequence        int    `json:"sequence"`
	Born            int64  `json:"born"`
}

// newWorker adds a worker with the next address. It must be started.
func (l *lab) newWorker(id, service, zone string, slots int, work time.Duration) (*worker, error) {
	host := l.newHost()
	port, err := freePort(host)
	if err != nil {
		return nil, err
	}
	w := &worker{lab: l, id: id, service: service, zone: zone, address: host + ":" + strconv.Itoa(port), slots: slots, queue: 4 * slots, work: work}
	l.workers = append(l.workers, w)
	return w, nil
}

// start starts the worker, which is cold for the given time.
func (w *worker) start(cold time.Duration) error {
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	now := time.Now()
	w.mu.Lock()
	w.born, w.coldUntil, w.coldCounts, w.isUp = now, now.Add(cold), now, true
	w.running = make(chan struct{}, w.slots)
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	go w.keepEntry()
	return nil
}

// keepEntry writes the worker's entry with each heartbeat until the worker ends. After a failure it tries again soon.
func (w *worker) keepEntry() {
	wroteAt := time.Time{}
	for {
		w.mu.Lock()
		isOver := !w.isUp
		w.mu.Unlock()
		if isOver {
			return
		}
		if time.Since(wroteAt) >= heartbeat && w.lab.store.beat(w.id, w.entry()) {
			wroteAt = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (w *worker) entry() entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.isDraining {
		state = "draining"
	}
	return entry{
		Service: w.service, Address: w.address, Zone: w.zone, Version: "v1", Slots: w.slots, State: state,
		ColdRemainingMs: max(0, time.Until(w.coldUntil).Milliseconds()), Sequence: 1, Born: w.born.UnixMilli(),
	}
}

// turnCold makes a running worker cold. Its arrivals count after the time that a heartbeat and its way to the VMs take.
func (w *worker) turnCold(cold, grace time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.coldUntil, w.coldCounts = now.Add(cold), now.Add(grace)
}

// leave reports that the worker drains, and ends it when the time for that is over.
func (w *worker) leave() {
	w.mu.Lock()
	w.isDraining = true
	w.mu.Unlock()
	w.lab.store.beat(w.id, w.entry())
	w.lab.note("worker %s reports draining", w.id)
	time.AfterFunc(drainTime+time.Second, func() {
		w.stop()
		w.lab.store.drop("servers", w.id)
		w.lab.note("worker %s has left", w.id)
	})
}

// crash ends the worker: its connections break and its port is closed.
func (w *worker) crash() {
	w.mu.Lock()
	if !w.isUp {
		w.mu.Unlock()
		return
	}
	w.isUp, w.hasCrashed, w.crashedUnder = false, true, w.waiting
	server := w.server
	w.mu.Unlock()
	w.lab.note("worker %s is cold and crashes under too many requests, %d of them unfinished", w.id, w.crashedUnder)
	_ = server.Close()
}

// stop ends the worker.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isUp = false
	if w.server != nil {
		_ = w.server.Close()
	}
}

// serve answers a request as the protocol says.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.id)
		w.mu.Lock()
		rw.Header().Set("Cold-Ms", strconv.FormatInt(max(0, time.Until(w.coldUntil).Milliseconds()), 10))
		w.mu.Unlock()
		return
	}
	id := r.Header.Get("Attempt-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.Header().Set("Attempt-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrived := time.Now()
	_, _ = io.Copy(io.Discard, r.Body)
	n, isOverloaded := w.arrive(arrival{at: arrived, id: id, tenant: r.Header.Get("Tenant")})
	if isOverloaded {
		w.crash()
		panic(http.ErrAbortHandler)
	}
	if !w.take(r) {
		rw.Header().Set("Attempt-Id", id)
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	w.markRun(n)
	w.lab.line(fmt.Sprintf("worker %s runs %s tenant=%s", w.id, id, r.Header.Get("Tenant")))
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Response-Stamp", "3e1b."+id)
	_, _ = io.WriteString(rw, "done "+id)
}

// arrive counts the request and reports whether the worker crashes under it, which is cold and gets too many.
func (w *worker) arrive(a arrival) (n int, isOverloaded bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.isCold = a.at.Before(w.coldUntil) && !a.at.Before(w.coldCounts)
	w.arrivals = append(w.arrivals, a)
	if !a.isCold || w.coldCrash == 0 || !w.isUp {
		return len(w.arrivals) - 1, false
	}
	inSecond := 0
	for i := len(w.arrivals) - 1; i >= 0 && a.at.Sub(w.arrivals[i].at) < time.Second; i-- {
		if w.arrivals[i].isCold {
			inSecond++
		}
	}
	return len(w.arrivals) - 1, inSecond >= w.coldCrash
}

func (w *worker) markRun(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[n].ran = true
}

// take waits for a slot. It returns false if the queue is full.
func (w *worker) take(r *http.Request) bool {
	w.mu.Lock()
	running := w.running
	if w.waiting >= w.queue+w.slots {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	select {
	case running <- struct{}{}:
		return true
	case <-r.Context().Done():
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
		return false
	}
}

func (w *worker) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	select {
	case <-w.running:
	default:
	}
}

// all returns the arrivals so far.
func (w *worker) all() []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]arrival(nil), w.arrivals...)
}

// worstColdSecond returns the most requests that arrived within one second while the worker was cold.
func (w *worker) worstColdSecond() (most int, from time.Time) {
	var cold []arrival
	for _, a := range w.all() {
		if a.isCold {
			cold = append(cold, a)
		}
	}
	begin := 0
	for i := range cold {
		for cold[i].at.Sub(cold[begin].at) >= time.Second {
			begin++
		}
		if n := i - begin + 1; n > most {
			most, from = n, cold[begin].at
		}
	}
	return most, from
}
