package radishentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishburn"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/pkg/radishclaim"
	"radishramp.example/radishramp/pkg/radishrule"
)

// HTTP headers of the callers' API.
const (
	HeaderDeadline       = "Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Request-Id"
)

// API serves the HTTP API of callers; set the exported fields before first use.
type API struct {
	Runner    *radishpipeline.Runner
	Admission *Admission
	Metrics   *radishmetric.Metrics
	Burn      *radishburn.Recorder
	// Rules returns the rules of the active configuration; nil before the first configuration.
	Rules func() *radishrule.RuleSet
	// Generation returns the generation number of the active configuration.
	Generation func() uint64
	Log        hclog.Logger
	// IsReady reports whether the load balancer should send requests to this VM.
	IsReady      func() bool
	MaxBodyBytes int64
}

// Handler returns a handler for POST /v1/pipelines/{pipeline}, GET /healthz and GET /readyz.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", a.postPipeline)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.getReady)
	return mux
}

func (a *API) getReady(w http.ResponseWriter, _ *http.Request) {
	if !a.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// callerRequest is a validated request of a caller.
type callerRequest struct {
	// run is the request as the pipeline runner takes it.
	run      *radishpipeline.Request
	team     *radishrule.Team
	deadline time.Duration
	streams  bool
}

func (a *API) postPipeline(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := uuid.NewString()
	w.Header().Set(HeaderRequestID, id)
	req, problem := a.validate(w, r, id)
	if problem == nil {
		if err := a.Admission.Admit(req.run.Rules, req.team, req.run.Pipeline.Name); err != nil {
			problem = newErrorProblem(err)
		}
	}
	if problem != nil {
		problem.RequestID = id
		problem.write(w)
		a.recordOutcome(id, req, problem, time.Since(start))
		return
	}
	defer func() { a.Admission.Release(req.team, req.run.Pipeline, time.Since(start)) }()
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(req.deadline))
	defer cancel()
	problem = a.respond(ctx, w, req)
	if problem == nil && time.Since(start) > req.deadline {
		problem = newProblem(http.StatusGatewayTimeout, "deadline", "", "answered late")
	}
	a.recordOutcome(id, req, problem, time.Since(start))
}

func (a *API) respond(ctx context.Context, w http.ResponseWriter, req *callerRequest) *Problem {
	if req.streams {
		return a.respondStream(ctx, w, req)
	}
	result, err := a.Runner.Run(ctx, req.run)
	if err != nil {
		problem := newRunProblem(err, result)
		problem.RequestID = req.run.ID
		problem.write(w)
		return problem
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Body)))
	if _, err := w.Write(result.Body); err != nil {
		return newProblem(http.StatusBadGateway, problemCallerGone, "", err.Error())
	}
	return nil
}

// recordOutcome logs and counts how a request ended. Errors that the caller caused, and responses that it did not wait for, do not
// count against the pipeline's service level objectives.
func (a *API) recordOutcome(id string, req *callerRequest, problem *Problem, took time.Duration) {
	a.logOutcome(id, req, problem, took)
	if req == nil || req.run == nil {
		a.Metrics.RecordRequest("none", "bad_request", took)
		return
	}
	a.Metrics.RecordRequest(req.run.Pipeline.Name, problem.outcome(), took)
	if problem.countsForObjective() {
		a.Burn.Record(req.run.Pipeline.Name, req.run.Team, problem == nil)
	}
}

// logOutcome writes one log line per request with its outcome and the reason.
func (a *API) logOutcome(id string, req *callerRequest, problem *Problem, took time.Duration) {
	fields := []any{"id", id, "outcome", problem.outcome(), "took_ms", took.Milliseconds(), "generation", a.Generation()}
	if req != nil && req.run != nil {
		fields = append(fields, "pipeline", req.run.Pipeline.Name, "team", req.run.Team, "deadline_ms", req.deadline.Milliseconds())
	}
	if problem != nil {
		fields = append(fields, "status", problem.Status, "reason", problem.Detail,
			"ran", string(problem.Execution), "effect", string(problem.Effect))
	}
	a.Log.Info("request ended", fields...)
}

func (a *API) validate(w http.ResponseWriter, r *http.Request, id string) (*callerRequest, *Problem) {
	rules := a.Rules()
	if rules == nil {
		return nil, newProblem(http.StatusServiceUnavailable, "no_configuration", "", "this VM has no configuration yet")
	}
	team, problem := authenticate(r, rules)
	if problem != nil {
		return nil, problem
	}
	pipeline, ok := rules.Pipelines[r.PathValue("pipeline")]
	if !ok {
		return nil, newProblem(http.StatusNotFound, "no_pipeline", "pipeline", "no rule defines this pipeline")
	}
	req := &callerRequest{team: team, deadline: pipeline.Deadline}
	if problem := req.parseHeaders(r, rules, pipeline); problem != nil {
		return nil, problem
	}
	body, problem := a.readBody(w, r)
	if problem != nil {
		return nil, problem
	}
	level, _ := rules.PriorityOf(team.Name, pipeline.Name)
	req.run.ID = id
	req.run.Body = body
	req.run.Priority = level
	return req, nil
}

func authenticate(r *http.Request, rules *radishrule.RuleSet) (*radishrule.Team, *Problem) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, newProblem(http.StatusUnauthorized, "no_token", "Authorization", "a bearer token is required")
	}
	sum := sha256.Sum256([]byte(token))
	team, ok := rules.Tokens[hex.EncodeToString(sum[:])]
	if !ok {
		return nil, newProblem(http.StatusUnauthorized, "bad_token", "Authorization", "no rule knows this token")
	}
	return team, nil
}

func (c *callerRequest) parseHeaders(r *http.Request, rules *radishrule.RuleSet, pipeline *radishrule.Pipeline) *Problem {
	c.run = &radishpipeline.Request{Team: c.team.Name, Pipeline: pipeline, Rules: rules}
	if text := r.Header.Get(HeaderDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return newProblem(http.StatusBadRequest, "bad_deadline", HeaderDeadline, "must be a number of milliseconds, at least 1")
		}
		c.deadline = min(c.deadline, time.Duration(ms)*time.Millisecond)
	}
	if !rules.IsIdempotent(pipeline) {
		key, err := radishclaim.ParseID(r.Header.Get(HeaderIdempotencyKey))
		if err != nil {
			return newProblem(http.StatusBadRequest, "bad_key", HeaderIdempotencyKey, "this pipeline has an effect and needs a version 7 UUID, made anew for each order and kept for its retries")
		}
		c.run.IdempotencyKey = &key
	}
	c.streams = strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	return nil
}

func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newProblem(http.StatusRequestEntityTooLarge, "body_too_large", "body", "at most "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	if err != nil {
		return nil, newProblem(http.StatusRequestTimeout, "body_cut", "body", "the body did not arrive whole in time")
	}
	if !json.Valid(body) {
		return nil, newProblem(http.StatusBadRequest, "bad_body", "body", "must be JSON")
	}
	return body, nil
}
