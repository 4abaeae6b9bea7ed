package radishstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
)

// TargetFaults are the failures that a Target brings about.
type TargetFaults struct {
	// FailEvery makes every nth attempt end with a server error after it ran; 0 never.
	FailEvery int `json:"fail_every"`
	// CutEvery makes every nth answer end in the middle; 0 never.
	CutEvery int `json:"cut_every"`
	// CrossEvery makes every nth answer carry the id of an earlier attempt; 0 never.
	CrossEvery int `json:"cross_every"`
	// SlowByMS is added to each attempt, in milliseconds.
	SlowByMS int `json:"slow_by_ms"`
}

// Target is a stand-in for a model engine or a plain service; set the exported fields before the first request.
type Target struct {
	Name string
	// Work is the time of one attempt when the target is warm.
	Work time.Duration
	// ColdFor is how long the target stays cold after it starts; work takes ColdFactor times as long meanwhile.
	ColdFor    time.Duration
	ColdFactor int
	// ColdCapacity is how many attempts the target bears while cold; one more counts as a violation.
	ColdCapacity int
	// Notice is how long after it turned cold without a word the target does not count violations: the time that
	// the news needs.
	Notice time.Duration
	// MaxInFlight is how many attempts a warm target takes before it refuses; 0 means no bound.
	MaxInFlight int
	// Slots is how many attempts the target works on at a time, the others wait; 0 means no bound.
	Slots int
	// Tokens is the number of events of a streamed answer.
	Tokens int
	// RecordBegun keeps the time of every attempt for Begun.
	RecordBegun bool
	// ReportLag is the age of what load reports say.
	ReportLag time.Duration

	slots      chan struct{}
	mu         sync.Mutex
	coldUntil  time.Time
	leaving    bool
	inFlight   int
	coldSince  time.Time
	maxCold    int
	violations int
	ran        map[string]int
	count      int
	lastID     string
	begun      []time.Time
	faults     TargetFaults
	report     radish.LoadReport
	reportAt   time.Time
}

// TurnCold makes the target cold for d without a word.
func (t *Target) TurnCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
	t.coldSince = time.Now()
}

// Begun returns how many attempts began after the time.
func (t *Target) Begun(after time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.begun {
		if at.After(after) {
			n++
		}
	}
	return n
}

// SetLeaving makes the target say that it is leaving.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Change sets fields of a target that is in use.
func (t *Target) Change(set func(t *Target)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set(t)
}

// SetFaults replaces the faults in force.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// TargetStats is what a Target has seen.
type TargetStats struct {
	// Ran counts the runs of each request id.
	Ran map[string]int `json:"ran"`
	// MaxCold is the most attempts in flight when one began while cold.
	MaxCold int `json:"max_cold"`
	// Violations counts attempts that began above the cold capacity.
	Violations int `json:"violations"`
	Attempts   int `json:"attempts"`
}

// Stats returns what the target has seen so far.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := make(map[string]int, len(t.ran))
	for id, n := range t.ran {
		ran[id] = n
	}
	return TargetStats{Ran: ran, MaxCold: t.maxCold, Violations: t.violations, Attempts: t.count}
}

// Start begins the cold start.
func (t *Target) Start() {
	t.ran = make(map[string]int)
	if t.Slots > 0 {
		t.slots = make(chan struct{}, t.Slots)
	}
	if t.ColdFor > 0 {
		t.TurnCold(t.ColdFor)
	}
}

// Handler serves the stages, the load report and the control endpoints.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", t.getLoad)
	mux.HandleFunc("POST /v1/{stage}", t.postStage)
	mux.HandleFunc("POST /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f TargetFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	})
	mux.HandleFunc("POST /control/leave", func(http.ResponseWriter, *http.Request) { t.SetLeaving(true) })
	mux.HandleFunc("POST /control/cold", func(_ http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.FormValue("ms"))
		t.TurnCold(time.Duration(ms) * time.Millisecond)
	})
	mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, t.Stats(), nil)
	})
	return mux
}

func (t *Target) getLoad(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, t.Load(), nil)
}

// Load returns the target's load report, which is ReportLag old at most.
func (t *Target) Load() radish.LoadReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.reportAt) >= t.ReportLag {
		t.report = radish.LoadReport{State: t.state(), InFlight: t.inFlight}
		t.reportAt = time.Now()
	}
	return t.report
}

func (t *Target) state() radish.TargetState {
	switch {
	case t.leaving:
		return radish.TargetLeaving
	case time.Now().Before(t.coldUntil):
		return radish.TargetCold
	default:
		return radish.TargetWarm
	}
}

// attempt is one attempt that the stand-in runs.
type attempt struct {
	id      string
	request string
	isCold  bool
	began   time.Time
	fails   bool
	cut     bool
	answers string
	work    time.Duration
}

func (t *Target) postStage(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a, ok := t.begin(r.Header.Get(radishtarget.HeaderAttemptID), r.Header.Get(radishtarget.HeaderRequestID))
	if !ok {
		http.Error(w, "at capacity", http.StatusTooManyRequests)
		return
	}
	defer t.end(a)
	if !t.runWork(r.Context(), a.work) {
		return
	}
	t.answerHeaders(w, a)
	switch {
	case a.fails:
		http.Error(w, "stage failed", http.StatusInternalServerError)
	case r.Header.Get("Accept") == "text/event-stream":
		t.answerStream(w, a)
	default:
		answerWhole(w, a, t.Name, r.PathValue("stage"), len(input))
	}
}

// runWork waits for a slot and works; false means that the caller gave up first.
func (t *Target) runWork(ctx context.Context, work time.Duration) bool {
	if t.slots == nil {
		return sleep(ctx, work)
	}
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.slots }()
	return sleep(ctx, work)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) begin(id, request string) (attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.MaxInFlight > 0 && t.inFlight >= t.MaxInFlight {
		return attempt{}, false
	}
	t.count++
	t.inFlight++
	a := attempt{
		id:      id,
		request: request,
		isCold:  t.state() == radish.TargetCold,
		began:   time.Now(),
		fails:   isNth(t.count, t.faults.FailEvery),
		cut:     isNth(t.count, t.faults.CutEvery),
		work:    t.Work + time.Duration(t.faults.SlowByMS)*time.Millisecond,
	}
	a.answers = a.id
	if isNth(t.count, t.faults.CrossEvery) {
		a.answers = t.lastID
	}
	t.lastID = a.id
	if t.RecordBegun {
		t.begun = append(t.begun, a.began)
	}
	if t.ran != nil {
		t.ran[a.request]++
	}
	if a.isCold {
		a.work *= time.Duration(max(1, t.ColdFactor))
		t.countCold()
	}
	return a, true
}

func (t *Target) countCold() {
	t.maxCold = max(t.maxCold, t.inFlight)
	// What a target still runs from before it turned cold counts against what it bears.
	if t.ColdCapacity > 0 && t.inFlight > t.ColdCapacity && time.Since(t.coldSince) >= t.Notice {
		t.violations++
	}
}

func (t *Target) end(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) answerHeaders(w http.ResponseWriter, a attempt) {
	t.mu.Lock()
	state, inFlight := t.state(), t.inFlight
	t.mu.Unlock()
	w.Header().Set(radishtarget.HeaderAttemptID, a.answers)
	w.Header().Set(radishtarget.HeaderState, string(state))
	w.Header().Set(radishtarget.HeaderInFlight, strconv.Itoa(inFlight))
}

func answerBody(a attempt, name, stage string, inputBytes int) []byte {
	return fmt.Appendf(nil, `{"stage":%q,"target":%q,"request_id":%q,"input_bytes":%d}`, stage, name, a.request, inputBytes)
}

func answerWhole(w http.ResponseWriter, a attempt, name, stage string, inputBytes int) {
	body := answerBody(a, name, stage, inputBytes)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if a.cut {
		_, _ = w.Write(body[:len(body)/2])
		cutOff(w)
	}
	_, _ = w.Write(body)
}

// cutOff sends what is written and breaks the connection.
func cutOff(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *Target) answerStream(w http.ResponseWriter, a attempt) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range t.Tokens {
		if a.cut && i == t.Tokens/2 {
			cutOff(w)
		}
		_, _ = fmt.Fprintf(w, "data: {\"token\":%d}\n\n", i)
	}
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", a.answers)
}
