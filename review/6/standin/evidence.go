package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func itoa(n int) string { return strconv.Itoa(n) }

const (
	// deadlyPart is the part of prompts that crashes each worker that begins to write an answer on it.
	deadlyPart = "dead0bad"
	// crashFor is how long a crashed worker is away.
	crashFor = 3 * time.Second
	// deadlyInterval is the time between two requests with the deadly part.
	deadlyInterval = 4 * time.Second
)

// arrival is a request with the deadly part that reached a worker.
type arrival struct {
	id string
	at time.Time
}

// caseEvidence sends, beside sound requests, one request with a deadly part every 4 s, and kills all entry VMs at the same moment, three times.
func caseEvidence() {
	s := startStore("127.0.0.1")
	putConfig(s, []map[string]any{streamRoute(true, 2, 1900)}, []map[string]any{modelService()})
	var mu sync.Mutex
	var arrivals []arrival
	var crashes []time.Time
	workers := make([]*worker, 6)
	for i := range workers {
		workers[i] = startWorker(s, "i-model-"+itoa(i+1), "model", 64, func(rw http.ResponseWriter, r *http.Request) {
			w := workers[i]
			if !strings.Contains(r.Header.Get("Prompt-Prefix"), deadlyPart) {
				w.streamEvents(rw, r, 10, 100*time.Millisecond)
				return
			}
			mu.Lock()
			arrivals = append(arrivals, arrival{r.Header.Get("Attempt-Id"), time.Now()})
			mu.Unlock()
			note("deadly request %s reaches %s", r.Header.Get("Attempt-Id"), w.id)
			time.Sleep(50 * time.Millisecond)
			mu.Lock()
			crashes = append(crashes, time.Now())
			note("%s crashes, the crash number %d", w.id, len(crashes))
			mu.Unlock()
			w.crash()
		})
	}
	fleet := startVMs(s, 3)
	time.Sleep(stabilityMs * time.Millisecond)

	begin := time.Now()
	sentAt := make(map[string]time.Time)
	const length = 62 * time.Second
	stopSending := make(chan struct{})
	var clients sync.WaitGroup
	sound, whole, refused, cut := 0, 0, 0, 0
	clients.Go(func() { // Sound requests: one in 150 ms.
		var calls sync.WaitGroup
		defer calls.Wait()
		tick := time.NewTicker(150 * time.Millisecond)
		for n := 0; ; n++ {
			select {
			case <-stopSending:
				return
			case <-tick.C:
			}
			calls.Go(func() {
				id := newID()
				a := fleet[n%len(fleet)].call("POST", "/stream/a", id, 12000, streamHeaders("5c1e07a2:512,aa"+itoa(n%20)+":700,"+id[:8]+":250"), "{}")
				note("sound request %s at %s: status %d, error %v", id, fleet[n%len(fleet)].name, a.status, a.err)
				mu.Lock()
				defer mu.Unlock()
				sound++
				switch {
				case a.status == http.StatusOK && a.err == nil:
					whole++
				case a.status == http.StatusServiceUnavailable:
					refused++
				default:
					cut++
				}
			})
		}
	})
	clients.Go(func() { // Requests with the deadly part, no two alike but for it.
		var calls sync.WaitGroup
		defer calls.Wait()
		tick := time.NewTicker(deadlyInterval)
		for n := 0; ; n++ {
			select {
			case <-stopSending:
				return
			case <-tick.C:
			}
			calls.Go(func() {
				id := newID()
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				a := fleet[n%len(fleet)].call("POST", "/stream/a", id, 12000, streamHeaders("5c1e07a2:512,"+deadlyPart+":700,"+id[:8]+":250"), "{}")
				note("client of deadly request %s at %s: status %d, error %v", id, fleet[n%len(fleet)].name, a.status, a.err)
			})
		}
	})
	for _, after := range killTimes {
		time.Sleep(time.Until(begin.Add(after)))
		if !trouble {
			continue
		}
		for _, v := range fleet {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range fleet {
			<-v.exited
			v.start()
		}
	}
	time.Sleep(time.Until(begin.Add(length)))
	close(stopSending)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	note("%d sound requests: %d answered whole, %d refused as not run, %d cut or without an answer; %d crashes", sound, whole, refused, cut, len(crashes))
	if len(crashes) < 5 {
		verdict(false, "BUDGET: fewer than five crashes")
	}
	from := crashes[4].Add(stabilityMs * time.Millisecond)
	broken := 0
	for _, a := range arrivals {
		if !sentAt[a.id].After(from) || !areInTouch(a.at.Sub(begin)) {
			continue
		}
		broken++
		note("deadly request %s reached a worker %.1f s after the fifth crash", a.id, a.at.Sub(crashes[4]).Seconds())
	}
	verdict(broken > 3, "BUDGET: requests with the deadly part that reached workers later than the window after the fifth crash, from machines in touch: "+itoa(broken)+", 3 are allowed")
}

// killTimes are when all VMs are killed, from the start of traffic.
var killTimes = []time.Duration{12 * time.Second, 28 * time.Second, 44 * time.Second}

// areInTouch reports whether the VMs had run for the whole window before the time since the start of traffic.
func areInTouch(at time.Duration) bool {
	for _, killAt := range killTimes {
		// The processes start half a second after the kill; the rest is a margin.
		if trouble && at > killAt && at < killAt+(700+stabilityMs)*time.Millisecond {
			return false
		}
	}
	return true
}

// crash ends the worker's process; a new one starts at the same address and under the same id some seconds later.
func (w *worker) crash() {
	w.mu.Lock()
	w.isGone = true
	address := w.address
	w.mu.Unlock()
	w.stop()
	time.AfterFunc(crashFor, func() {
		w.listen(address)
		w.mu.Lock()
		w.isGone = false
		w.mu.Unlock()
		w.beat()
	})
}
