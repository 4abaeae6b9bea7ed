package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The disruption of the case "event": workers break off some of their answers, as garble does in the site files.
const (
	breakShare = 0.5
	breakRate  = 0.05
	breakFor   = 5 * time.Second
	breakGap   = time.Second
	// eventLine is the length in bytes of the data line of each event, without its line end.
	eventLine    = 4096
	eventCount   = 12
	eventRunTime = 60 * time.Second
)

func init() { cases["event"] = runEvent }

// runEvent plays streams whose events have data lines of 4,096 bytes. Some workers break off a few of their streams between two lines of an
// event.
func runEvent(e *env) error {
	var startedAt atomic.Int64
	isOn := func() bool {
		t := startedAt.Load()
		return e.trouble && t != 0 && time.Since(time.Unix(0, t))%(breakFor+breakGap) < breakFor
	}
	for i := range 4 {
		w := &worker{id: fmt.Sprintf("i-7f%06d", i), service: "huvo11a", zone: []string{"jawa-barat", "yogya"}[i%2], slots: 64}
		isFaulty := i < breakShare*4
		w.handle = func(c *workerConn, r *http.Request, _ []byte) bool {
			return w.streamLines(c, r, func() bool { return isFaulty && isOn() && rand.Float64() < breakRate })
		}
		if err := e.startWorker(w); err != nil {
			return err
		}
	}
	e.store.put("config", "main", eventConfig())
	e.addVMs(2, "jawa-barat", "yogya")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	startedAt.Store(time.Now().UnixNano())
	client := newClient()
	var wg sync.WaitGroup
	var served atomic.Int64
	for n := 0; time.Since(time.Unix(0, startedAt.Load())) < eventRunTime && e.record.violations() < 6; n++ {
		wg.Go(func() {
			if askForEvents(e, client, e.vms[n%len(e.vms)], []string{"/puxa400/2f", "/bobo563/2f"}[n/2%2]) {
				served.Add(1)
			}
		})
		time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
	}
	wg.Wait()
	e.record.add("clients", "%d streams were served whole", served.Load())
	if served.Load() < 20 {
		return fmt.Errorf("only %d streams were served", served.Load())
	}
	return nil
}

func eventConfig() map[string]any {
	route := func(name, prefix string, isResumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": clientHost, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1900,
			"priority": 0, "service": "huvo11a", "max_attempts": attempts, "allow_anonymous": false, "session_affinity": true, "resumable": isResumable, "gap_aim_ms": 500,
		}
	}
	return map[string]any{
		"version": 7,
		"routes":  []map[string]any{route("r-jqnirth", "/puxa400/", true, 2), route("r-5mgjy5r", "/bobo563/", false, 1)},
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/healthz", "max_connections": 595, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 403888}},
		},
		"limits": limits, "tenants": tenants,
	}
}

// eventText is the data of an event: its number and a filler up to the length of the line.
func eventText(id string, n int) string {
	text := fmt.Sprintf("%s-%d-", id, n)
	return text + strings.Repeat("x", eventLine-len("data: ")-len(text))
}

// streamLines answers with a stream that has neither a length nor chunks and ends with its connection. It writes line by line; if breaksOff
// says so, it ends the connection between two lines of an event.
func (w *worker) streamLines(c *workerConn, r *http.Request, breaksOff func() bool) bool {
	id := r.Header.Get("Attempt-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.e.record.add(w.id, "runs %s after event %d", id, last)
	head := "HTTP/1.1 200 OK\r\n" + strings.Join(w.answerHeaders(r), "\r\n") + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	breakAt := -1
	if breaksOff() {
		// An event has three lines; the stream breaks off after the first or the second one.
		breakAt = 3*(last+1+rand.IntN(eventCount-last)) + 1 + rand.IntN(2)
	}
	for n := last + 1; n <= eventCount; n++ {
		for i, line := range []string{fmt.Sprintf("id: %d\n", n), "data: " + eventText(id, n) + "\n", "\n"} {
			if 3*n+i == breakAt {
				w.e.record.add(w.id, "breaks off %s inside event %d, after %d of its 3 lines", id, n, i)
				_ = c.Conn.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond)
				return false
			}
			if _, err := c.Write([]byte(line)); err != nil {
				return false
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// askForEvents sends one request for a stream and checks what the client gets; it reports whether the stream was complete.
func askForEvents(e *env, client *http.Client, v *vm, path string) bool {
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	r := newRequest(ctx, v, http.MethodPost, path, id, []byte("trace"), 12*time.Second)
	addPrompt(r, id)
	e.record.add("client", "sends %s to %s, %s", id, v.name, path)
	a := do(client, r)
	e.record.add("client", "%s answered: status %d, %d bytes, error %v", id, a.status, len(a.body), a.err)
	if a.status != 200 {
		return false
	}
	events := strings.Split(a.body, "\n\n")
	for n := 1; n <= eventCount; n++ {
		want := fmt.Sprintf("id: %d\ndata: %s", n, eventText(id, n))
		if n > len(events) || events[n-1] != want {
			got := ""
			if n <= len(events) {
				got = shorten(events[n-1])
			}
			e.record.violation("stream %s (%s) looks complete to its client, but event %d is %q", id, path, n, got)
			return false
		}
	}
	return true
}

func shorten(event string) string {
	lines := strings.Split(event, "\n")
	for i, l := range lines {
		lines[i] = l[:min(len(l), 30)]
	}
	return strings.Join(lines, "\n")
}
