package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The disruption of the case "stray", as the site files have it: garble, how = "extra late", share 0.6, x 0.03, for 5 s.
const (
	strayShare    = 0.6
	strayRate     = 0.03
	strayFor      = 5 * time.Second
	strayGap      = time.Second
	strayDuration = 85 * time.Second
	// strayPieces is the number of pieces of each request: a full call to a stage worker.
	strayPieces = 8
	// strayEnough ends the case early.
	strayEnough = 6
)

// stageResult is a result of a piece that lies at its maker.
type stageResult struct {
	id           string
	stage, piece int
}

// pieceStore holds the results of all stage workers.
type pieceStore struct {
	mu      sync.Mutex
	results map[string]stageResult
}

type stageCall struct {
	Items []struct {
		ID     string   `json:"id"`
		Stage  int      `json:"stage"`
		Piece  int      `json:"piece"`
		Key    string   `json:"key"`
		Inputs []string `json:"inputs"`
	} `json:"items"`
}

// strayPhase tells whether the disruption is on.
func (e *env) strayPhase(startedAt time.Time) bool {
	return e.trouble && time.Since(startedAt)%(strayFor+strayGap) < strayFor
}

func init() { cases["stray"] = runStray }

// runStray plays streams with one stage. Some stage workers give a second copy of a few of their answers, late, where the next answer
// on that connection is expected.
func runStray(e *env) error {
	const stageWorkers = 5
	pieces := &pieceStore{results: make(map[string]stageResult)}
	startedAt := time.Now()
	for i := range stageWorkers {
		w := &worker{id: fmt.Sprintf("i-5a%06d", i), service: "kafi81c", zone: []string{"jawa-barat", "yogya"}[i%2], slots: 1}
		isFaulty := i < strayShare*stageWorkers
		var slot sync.Mutex
		w.handle = func(c *workerConn, r *http.Request, body []byte) bool {
			return pieces.serve(e, w, c, r, body, &slot, func() bool { return isFaulty && e.strayPhase(startedAt) && rand.Float64() < strayRate })
		}
		if err := e.startWorker(w); err != nil {
			return err
		}
	}
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-7f%06d", i), service: "huvo11a", zone: []string{"jawa-barat", "yogya"}[i%2], slots: 64}
		w.handle = func(c *workerConn, r *http.Request, _ []byte) bool { return pieces.serveModel(e, w, c, r) }
		if err := e.startWorker(w); err != nil {
			return err
		}
	}
	e.store.put("config", "main", strayConfig())
	e.addVMs(3, "jawa-barat", "yogya")
	if err := e.startVMs(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	startedAt = time.Now()
	client := newClient()
	var wg sync.WaitGroup
	served := 0
	var mu sync.Mutex
	for n := 0; time.Since(startedAt) < strayDuration && e.record.violations() < strayEnough; n++ {
		wg.Go(func() {
			id := newID()
			if askWithStage(e, client, e.vms[n%len(e.vms)], id) {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(time.Duration(80+rand.IntN(50)) * time.Millisecond)
	}
	wg.Wait()
	e.record.add("clients", "%d requests were served", served)
	if served < 20 {
		return fmt.Errorf("only %d requests were served", served)
	}
	return nil
}

func strayConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-jqnirth", "host": clientHost, "path_prefix": "/puxa400/", "kind": "streaming", "timeout_ms": 12000, "target_latency_ms": 1900,
			"priority": 0, "service": "huvo11a", "max_attempts": 2, "stages": []map[string]any{{"service": "kafi81c", "after": []int{}, "bytes": 8000}},
			"allow_anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 500,
		}},
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/healthz", "max_connections": 595, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 403888}},
			{"name": "kafi81c", "health_path": "/healthz", "max_connections": 595, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 8, "call_ms": 240, "item_ms": 26, "room_mb": 9.6, "handle_s": 4, "link_mbps": 10000}},
		},
		"limits": limits, "tenants": tenants,
	}
}

// serve answers a call at a stage worker. givesCopy tells whether a second copy of the answer follows late.
func (p *pieceStore) serve(e *env, w *worker, c *workerConn, r *http.Request, body []byte, slot *sync.Mutex, givesCopy func() bool) bool {
	if len(c.late) > 0 {
		e.record.add(w.id, "writes the late second copy of an earlier answer on %s", c.RemoteAddr())
		if _, err := c.Write(c.late); err != nil {
			return false
		}
		c.late = nil
	}
	if r.URL.Path == "/radishramp/stage-free" {
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &call)
		p.mu.Lock()
		for _, h := range call.Handles {
			delete(p.results, h)
		}
		p.mu.Unlock()
		return writeResponse(c, 200, nil, nil) == nil
	}
	var call stageCall
	if json.Unmarshal(body, &call) != nil {
		return writeResponse(c, 400, []string{"Not-Executed: 1"}, nil) == nil
	}
	slot.Lock()
	time.Sleep(240*time.Millisecond + time.Duration(len(call.Items))*26*time.Millisecond)
	slot.Unlock()
	items := make([]map[string]string, 0, len(call.Items))
	p.mu.Lock()
	for _, item := range call.Items {
		handle := w.address + "/" + newID()
		p.results[handle] = stageResult{id: item.ID, stage: item.Stage, piece: item.Piece}
		items = append(items, map[string]string{"handle": handle})
		e.record.add(w.id, "made piece %d of stage %d of %s: %s", item.Piece, item.Stage, item.ID, handle)
	}
	p.mu.Unlock()
	text, _ := json.Marshal(map[string]any{"items": items})
	headers := []string{"Content-Type: application/json", "Instance-Load: 0,0,1"}
	if attempt := r.Header.Get("Attempt-Id"); attempt != "" {
		headers = append(headers, "Attempt-Id: "+attempt)
	}
	out := response(200, headers, text)
	if givesCopy() {
		c.late = out
	}
	_, err := c.Write(out)
	return err == nil
}

// serveModel runs a request at a model worker: it fetches the inputs and answers with events that name the requests whose pieces it was
// given.
func (p *pieceStore) serveModel(e *env, w *worker, c *workerConn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	handles := strings.Split(r.Header.Get("Inputs"), ",")
	if r.Header.Get("Inputs") == "" {
		return writeResponse(c, 400, append(w.answerHeaders(r), "Not-Executed: 1"), nil) == nil
	}
	var inputs []stageResult
	p.mu.Lock()
	for _, h := range handles {
		if result, ok := p.results[h]; ok {
			inputs = append(inputs, result)
		}
	}
	p.mu.Unlock()
	if len(inputs) < len(handles) {
		e.record.add(w.id, "turns %s away: an input is gone", id)
		return writeResponse(c, 409, append(w.answerHeaders(r), "Not-Executed: 1"), nil) == nil
	}
	ids := make([]string, 0, len(inputs))
	for i, in := range inputs {
		if !slices.Contains(ids, in.id) {
			ids = append(ids, in.id)
		}
		if in.id != id && i == 0 {
			e.record.violation("worker %s runs %s with an input of another request: %s is piece %d of stage %d of %s", w.id, id, handles[i], in.piece, in.stage, in.id)
		}
	}
	e.record.add(w.id, "runs %s with inputs of %s", id, strings.Join(ids, ","))
	time.Sleep(100 * time.Millisecond)
	head := "HTTP/1.1 200 OK\r\n" + strings.Join(w.answerHeaders(r), "\r\n") + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := c.Write([]byte(head)); err != nil {
		return false
	}
	for n := 1; n <= 4; n++ {
		if chunk(c, fmt.Sprintf("id: %d\ndata: text made from the inputs of %s\n\n", n, strings.Join(ids, ","))) != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err := c.Write([]byte("0\r\n\r\n"))
	return err == nil
}

// askWithStage sends one request and reports whether it was served.
func askWithStage(e *env, client *http.Client, v *vm, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	r := newRequest(ctx, v, http.MethodPost, "/puxa400/2f", id, []byte("trace"), 12*time.Second)
	addPrompt(r, id)
	r.Header.Set("Pieces", fmt.Sprint(strayPieces))
	r.Header.Set("Piece-Key", id)
	e.record.add("client", "sends %s to %s", id, v.name)
	a := do(client, r)
	e.record.add("client", "%s answered: status %d, stamp %q, body %.80q, error %v", id, a.status, a.stamp, a.body, a.err)
	if a.status == 200 && !strings.Contains(a.body, "inputs of "+id+"\n") {
		e.record.violation("the client of %s gets an answer that was made from another request's input: %.80q", id, a.body)
	}
	return a.status == 200
}
