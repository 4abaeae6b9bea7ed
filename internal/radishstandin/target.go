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

// TargetFaults configures the faults that a Target injects.
type TargetFaults struct {
	// FailEvery makes every nth attempt return a server error after it ran; 0 disables it.
	FailEvery int `json:"fail_every"`
	// TruncateEvery truncates every nth response halfway; 0 disables it.
	TruncateEvery int `json:"cut_every"`
	// MismatchEvery makes every nth response carry the ID of the attempt before; 0 disables it.
	MismatchEvery int `json:"cross_every"`
	// ExtraProcessingMS is added to the processing time of each attempt, in milliseconds.
	ExtraProcessingMS int `json:"slow_by_ms"`
}

// Target is a test double of a model engine or a plain service. Set the exported fields before the first request.
type Target struct {
	Name string
	// ProcessingTime is the processing time of an attempt while the target is warm.
	ProcessingTime time.Duration
	// ColdFor is how long the target stays cold after it starts.
	ColdFor time.Duration
	// ColdFactor multiplies the processing time of attempts that start while the target is cold.
	ColdFactor int
	// ColdCapacity is the number of attempts in flight that the target supports while cold; an attempt that starts
	// above it counts as a violation. 0 means no limit.
	ColdCapacity int
	// ViolationGrace is how long after the target turned cold violations are not counted, as callers first have to
	// receive the new state.
	ViolationGrace time.Duration
	// MaxInFlight is the number of attempts in flight at which the target rejects more, warm or cold; 0 means no limit.
	MaxInFlight int
	// Slots is the number of attempts that the target processes at a time, others wait; 0 means no limit.
	Slots int
	// Tokens is the number of events in a streamed response.
	Tokens int
	// RecordStarts makes the target keep the start time of each attempt.
	RecordStarts bool
	// ReportLag is how long the target returns the same load report before it makes a new one.
	ReportLag time.Duration

	slots           chan struct{}
	mu              sync.Mutex
	coldUntil       time.Time
	leaving         bool
	inFlight        int
	coldSince       time.Time
	maxColdInFlight int
	coldViolations  int
	runsByRequestID map[string]int
	attempts        int
	lastAttemptID   string
	startTimes      []time.Time
	faults          TargetFaults
	report          radish.LoadReport
	reportAt        time.Time
}

// TurnCold makes the target cold for d, without announcing it to callers.
func (t *Target) TurnCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
	t.coldSince = time.Now()
}

// StartedAfter returns the number of recorded attempts that started after the given time.
func (t *Target) StartedAfter(after time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.startTimes {
		if at.After(after) {
			n++
		}
	}
	return n
}

// SetLeaving sets whether the target reports the state leaving.
func (t *Target) SetLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Update calls set with the target locked, so that tests can change the fields of a target in use.
func (t *Target) Update(set func(t *Target)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	set(t)
}

// SetFaults replaces the active faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// TargetStats holds statistics of the attempts that a Target has run.
type TargetStats struct {
	// RunsByRequestID is the number of attempts run for each request ID.
	RunsByRequestID map[string]int `json:"ran"`
	// MaxColdInFlight is the largest number of attempts in flight right after one started while the target was cold.
	MaxColdInFlight int `json:"max_cold"`
	// ColdViolations is the number of attempts that exceeded the cold capacity when they started.
	ColdViolations int `json:"violations"`
	// Attempts is the number of attempts that the target has accepted.
	Attempts int `json:"attempts"`
}

// Stats returns the statistics so far.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := make(map[string]int, len(t.runsByRequestID))
	for id, n := range t.runsByRequestID {
		runs[id] = n
	}
	return TargetStats{RunsByRequestID: runs, MaxColdInFlight: t.maxColdInFlight, ColdViolations: t.coldViolations, Attempts: t.attempts}
}

// Start initializes the target and begins its cold start; call it once, before the first request.
func (t *Target) Start() {
	t.runsByRequestID = make(map[string]int)
	if t.Slots > 0 {
		t.slots = make(chan struct{}, t.Slots)
	}
	if t.ColdFor > 0 {
		t.TurnCold(t.ColdFor)
	}
}

// Handler returns the HTTP handler of the stages, the load report and the control endpoints /control/faults,
// /control/leave, /control/cold and /control/stats.
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
		writeJSON(w, t.Stats(), nil)
	})
	return mux
}

func (t *Target) getLoad(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, t.Load(), nil)
}

// Load returns the target's load report, or the cached one while that is younger than ReportLag.
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

// attempt is an attempt that the target runs, with the faults injected into it.
type attempt struct {
	id        string
	requestID string
	isCold    bool
	startedAt time.Time
	fails     bool
	truncated bool
	// responseID is the attempt ID that the response carries; a fault makes it differ from id.
	responseID     string
	processingTime time.Duration
}

func (t *Target) postStage(w http.ResponseWriter, r *http.Request) {
	input, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a, ok := t.startAttempt(r.Header.Get(radishtarget.HeaderAttemptID), r.Header.Get(radishtarget.HeaderRequestID))
	if !ok {
		http.Error(w, "at capacity", http.StatusTooManyRequests)
		return
	}
	defer t.endAttempt(a)
	if !t.process(r.Context(), a.processingTime) {
		return
	}
	t.writeAttemptHeaders(w, a)
	switch {
	case a.fails:
		http.Error(w, "stage failed", http.StatusInternalServerError)
	case r.Header.Get("Accept") == "text/event-stream":
		t.writeStream(w, a)
	default:
		writeResponse(w, a, t.Name, r.PathValue("stage"), len(input))
	}
}

// process waits for a slot, sleeps for the processing time, and reports whether it finished before ctx ended.
func (t *Target) process(ctx context.Context, processingTime time.Duration) bool {
	if t.slots == nil {
		return radish.Sleep(ctx, processingTime)
	}
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-t.slots }()
	return radish.Sleep(ctx, processingTime)
}

// startAttempt accepts an attempt, decides which faults it gets, and reports whether the target had capacity for it.
func (t *Target) startAttempt(id, requestID string) (attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.MaxInFlight > 0 && t.inFlight >= t.MaxInFlight {
		return attempt{}, false
	}
	t.attempts++
	t.inFlight++
	a := attempt{
		id:             id,
		requestID:      requestID,
		isCold:         t.state() == radish.TargetCold,
		startedAt:      time.Now(),
		fails:          isNth(t.attempts, t.faults.FailEvery),
		truncated:      isNth(t.attempts, t.faults.TruncateEvery),
		processingTime: t.ProcessingTime + time.Duration(t.faults.ExtraProcessingMS)*time.Millisecond,
	}
	a.responseID = a.id
	if isNth(t.attempts, t.faults.MismatchEvery) {
		a.responseID = t.lastAttemptID
	}
	t.lastAttemptID = a.id
	if t.RecordStarts {
		t.startTimes = append(t.startTimes, a.startedAt)
	}
	if t.runsByRequestID != nil {
		t.runsByRequestID[a.requestID]++
	}
	if a.isCold {
		a.processingTime *= time.Duration(max(1, t.ColdFactor))
		t.recordColdAttempt()
	}
	return a, true
}

// recordColdAttempt updates the statistics for an attempt that started while the target is cold.
func (t *Target) recordColdAttempt() {
	t.maxColdInFlight = max(t.maxColdInFlight, t.inFlight)
	// Attempts that are still in flight from before the target turned cold count towards the cold capacity too.
	if t.ColdCapacity > 0 && t.inFlight > t.ColdCapacity && time.Since(t.coldSince) >= t.ViolationGrace {
		t.coldViolations++
	}
}

func (t *Target) endAttempt(a attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

func (t *Target) writeAttemptHeaders(w http.ResponseWriter, a attempt) {
	t.mu.Lock()
	state, inFlight := t.state(), t.inFlight
	t.mu.Unlock()
	w.Header().Set(radishtarget.HeaderAttemptID, a.responseID)
	w.Header().Set(radishtarget.HeaderState, string(state))
	w.Header().Set(radishtarget.HeaderInFlight, strconv.Itoa(inFlight))
}

func responseBody(a attempt, name, stage string, inputBytes int) []byte {
	return fmt.Appendf(nil, `{"stage":%q,"target":%q,"request_id":%q,"input_bytes":%d}`, stage, name, a.requestID, inputBytes)
}

func writeResponse(w http.ResponseWriter, a attempt, name, stage string, inputBytes int) {
	body := responseBody(a, name, stage, inputBytes)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if a.truncated {
		_, _ = w.Write(body[:len(body)/2])
		abortResponse(w)
	}
	_, _ = w.Write(body)
}

// abortResponse flushes what has been written and closes the connection.
func abortResponse(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (t *Target) writeStream(w http.ResponseWriter, a attempt) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range t.Tokens {
		if a.truncated && i == t.Tokens/2 {
			abortResponse(w)
		}
		_, _ = fmt.Fprintf(w, "data: {\"token\":%d}\n\n", i)
	}
	_, _ = fmt.Fprintf(w, "event: end\ndata: %s\n\n", a.responseID)
}
