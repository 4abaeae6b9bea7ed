package main

import (
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Limits of a cold worker, as in the configuration and in the settings of the VMs.
const (
	coldPerS  = 8.9
	coldLimit = coldPerS*1.5 + 5
	// coldFor is how long a worker is cold.
	coldFor = 3 * time.Second
	// restartDelay is the time between the end of a VM's process and its next start.
	restartDelay = 500 * time.Millisecond
)

// coldArrival is a request that arrived at the worker while that was cold.
type coldArrival struct {
	id       string
	sent, at time.Time
}

// caseCold has the only worker that is left of a service turn cold, four times for 3 s, under the traffic of a burst. A little later, all VMs
// are killed at the same moment. The worker crashes, as a cold one may, when it gets more than the rules allow.
func caseCold() {
	const rounds = 4
	s := startStore("127.0.0.1")
	putConfig(s, []map[string]any{streamRoute(true, 2, 1900)}, []map[string]any{modelService()})
	var mu sync.Mutex
	var arrivals []coldArrival
	var coldUntil time.Time
	isCrashed, crashed := false, make(chan struct{})
	sentAt := make(map[string]time.Time)
	workers := make([]*worker, 1)
	workers[0] = startWorker(s, "i-model-1", "model", 64, func(rw http.ResponseWriter, r *http.Request) {
		now, id := time.Now(), r.Header.Get("Attempt-Id")
		mu.Lock()
		if now.Before(coldUntil) {
			arrivals = append(arrivals, coldArrival{id: id, sent: sentAt[id], at: now})
			if n := inLastSecond(arrivals, now); float64(n) > coldLimit && !isCrashed {
				isCrashed = true
				note("the cold worker crashes at %d requests that were sent and arrived inside one second", n)
				workers[0].stop()
				close(crashed)
			}
		}
		mu.Unlock()
		if !workers[0].streamEvents(rw, r, 8, 100*time.Millisecond) {
			note("the answer to request %s is cut at the worker", id)
		}
	})
	fleet := startVMs(s, 5)
	time.Sleep(stabilityMs * time.Millisecond)

	stopSending := make(chan struct{})
	var clients sync.WaitGroup
	for _, v := range fleet {
		clients.Go(func() {
			var calls sync.WaitGroup
			defer calls.Wait()
			tick := time.NewTicker(110 * time.Millisecond)
			for {
				select {
				case <-stopSending:
					return
				case <-tick.C:
				}
				calls.Go(func() {
					id := newID()
					mu.Lock()
					sent := time.Now()
					sentAt[id] = sent
					mu.Unlock()
					a := v.call("POST", "/stream/a", id, 12000, streamHeaders("5c1e07a2:512,"+id[:6]+":700,"+id[:8]+":250"), "{}")
					note("request %s at %s: sent at %.3f, status %d, error %v", id, v.name, sent.Sub(startedAt).Seconds(), a.status, a.err)
				})
			}
		})
	}
	for round := range rounds {
		time.Sleep(3 * time.Second)
		mu.Lock()
		coldUntil = time.Now().Add(coldFor)
		mu.Unlock()
		note("round %d: the worker is cold for %v", round+1, coldFor)
		workers[0].setCold(coldFor)
		time.AfterFunc(coldFor, func() { workers[0].setCold(0) })
		time.Sleep(1300*time.Millisecond + time.Duration(round)*100*time.Millisecond)
		if trouble {
			for _, v := range fleet {
				v.signal(syscall.SIGKILL)
			}
			time.Sleep(restartDelay)
			for _, v := range fleet {
				<-v.exited
				v.start()
			}
		}
		select {
		case <-time.After(coldFor):
		case <-crashed:
		}
		if isOver(crashed) {
			break
		}
	}
	time.Sleep(200 * time.Millisecond)
	close(stopSending)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	most, from := mostInASecond(arrivals)
	note("%d requests arrived while the worker was cold", len(arrivals))
	for _, a := range arrivals {
		if !a.sent.Before(from) && a.at.Sub(from) < time.Second {
			note("request %s: sent at %.3f, arrived at %.3f", a.id, a.sent.Sub(startedAt).Seconds(), a.at.Sub(startedAt).Seconds())
		}
	}
	verdict(float64(most) > coldLimit, "FAILBACK: most requests that were sent and arrived inside one second at the cold worker: "+itoa(most)+", 18.35 are allowed")
}

// isOver reports whether the channel is closed.
func isOver(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
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
