package main

import (
	"net/http"
	"sync"
	"time"
)

// cutInterval is the time between two moments at which the store cuts off the watches that wait.
const cutInterval = time.Second

// caseLapse has a worker leave without a report of draining, as some do, while the store cuts off watches that have waited for a while. The worker
// goes on serving for drain_ms and a little longer, and then ends. Work orders are sent at a steady rate.
func caseLapse() {
	s := startStore("127.0.0.1")
	putConfig(s, []map[string]any{plainRoute()}, []map[string]any{dispatchService()})
	var mu sync.Mutex
	var removedAt time.Time
	late := make(map[string]time.Duration)
	// answered is what clients got, reached the worker that got the request.
	answered, reached := make(map[string]string), make(map[string]string)
	failed := 0
	place := make(slots, 64)
	newServe := func(w **worker) http.HandlerFunc {
		return func(rw http.ResponseWriter, r *http.Request) {
			mu.Lock()
			reached[r.Header.Get("Attempt-Id")] = (*w).id
			isLeaving := !removedAt.IsZero() && (*w).id == "i-leaving"
			if isLeaving && time.Since(removedAt) > drainMs*time.Millisecond {
				late[r.Header.Get("Attempt-Id")] = time.Since(removedAt)
			}
			mu.Unlock()
			if !place.take(r) {
				return
			}
			defer place.free()
			select {
			case <-r.Context().Done():
				return
			case <-time.After(15 * time.Millisecond):
			}
			(*w).begin(rw, r, http.StatusOK)
			_, _ = rw.Write([]byte("order " + r.Header.Get("Attempt-Id")))
		}
	}
	workers := make([]*worker, 2)
	for i, id := range []string{"i-leaving", "i-staying"} {
		workers[i] = startWorker(s, id, "dispatch", 6, newServe(&workers[i]))
	}
	fleet := startVMs(s, 6)
	time.Sleep(time.Duration(stabilityMs+1500) * time.Millisecond)

	stopSending := make(chan struct{})
	var clients sync.WaitGroup
	sentAt := make(map[string]time.Time)
	total := 0
	for _, v := range fleet {
		clients.Go(func() {
			var calls sync.WaitGroup
			defer calls.Wait()
			for tick := time.NewTicker(20 * time.Millisecond); ; <-tick.C {
				select {
				case <-stopSending:
					return
				default:
				}
				calls.Go(func() {
					id := newID()
					mu.Lock()
					sentAt[id] = time.Now()
					total++
					mu.Unlock()
					a := v.call("POST", "/order/a", id, 1500, nil, "{}")
					mu.Lock()
					defer mu.Unlock()
					answered[id] = "status " + itoa(a.status)
					if a.err != nil || a.status != http.StatusOK {
						failed++
					}
				})
			}
		})
	}
	for range 10 {
		time.Sleep(cutInterval)
		if trouble {
			s.cutWatches()
		}
	}
	time.Sleep(50 * time.Millisecond)
	note("the worker i-leaving leaves: its entry is removed")
	at := workers[0].leave()
	mu.Lock()
	removedAt = at
	mu.Unlock()
	time.Sleep(time.Until(at.Add((drainMs + 40) * time.Millisecond)))
	note("the worker i-leaving ends")
	workers[0].stop()
	time.Sleep(time.Second)
	close(stopSending)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	broken := 0
	for id, after := range late {
		if sent := sentAt[id]; sent.Sub(removedAt) > drainMs*time.Millisecond {
			broken++
			note("request %s, sent %.3f s and arrived %.3f s after the store had removed the entry", id, sent.Sub(removedAt).Seconds(), after.Seconds())
		}
	}
	for id, text := range answered {
		if after := sentAt[id].Sub(removedAt); after > -200*time.Millisecond {
			note("work order %s: sent %.3f s after the removal, reached %s, answered with %s", id, after.Seconds(), reached[id], text)
		}
	}
	s.mu.Lock()
	note("%d work orders sent, %d failed, %d watches cut", total, failed, s.cuts)
	s.mu.Unlock()
	verdict(broken > 0, "DRAIN: requests sent and arrived at a worker later than drain_ms after it was gone: "+itoa(broken))
}
