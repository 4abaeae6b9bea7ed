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

// Headers of the caller's API.
const (
	HeaderDeadline       = "Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Request-Id"
)

// Entry serves callers; set the exported fields before first use.
type Entry struct {
	Runner    *radishpipeline.Runner
	Admission *Admission
	Metrics   *radishmetric.Metrics
	Burn      *radishburn.Recorder
	// Rules returns the rules in force, nil before the first configuration.
	Rules func() *radishrule.RuleSet
	// Generation returns the generation of the configuration in force.
	Generation func() uint64
	Log        hclog.Logger
	// IsReady tells whether the balancer should send requests here.
	IsReady      func() bool
	MaxBodyBytes int64
}

// Handler serves POST /v1/pipelines/{pipeline}, /healthz and /readyz.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", e.postPipeline)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", e.getReady)
	return mux
}

func (e *Entry) getReady(w http.ResponseWriter, _ *http.Request) {
	if !e.IsReady() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// call is one checked request.
type call struct {
	request  *radishpipeline.Request
	team     *radishrule.Team
	deadline time.Duration
	streams  bool
}

func (e *Entry) postPipeline(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := uuid.NewString()
	w.Header().Set(HeaderRequestID, id)
	c, problem := e.check(w, r, id)
	if problem == nil {
		if err := e.Admission.Enter(c.request.Rules, c.team, c.request.Pipeline.Name); err != nil {
			problem = classify(err)
		}
	}
	if problem != nil {
		problem.RequestID = id
		problem.write(w)
		e.record(id, c, problem, time.Since(start))
		return
	}
	defer func() { e.Admission.Leave(c.team, c.request.Pipeline, time.Since(start)) }()
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(c.deadline))
	defer cancel()
	problem = e.answer(ctx, w, c)
	if problem == nil && time.Since(start) > c.deadline {
		problem = newProblem(http.StatusGatewayTimeout, "deadline", "", "answered late")
	}
	e.record(id, c, problem, time.Since(start))
}

func (e *Entry) answer(ctx context.Context, w http.ResponseWriter, c *call) *Problem {
	if c.streams {
		return e.answerStream(ctx, w, c)
	}
	result, err := e.Runner.Run(ctx, c.request)
	if err != nil {
		problem := problemOf(err, result)
		problem.RequestID = c.request.ID
		problem.write(w)
		return problem
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(result.Body)))
	if _, err := w.Write(result.Body); err != nil {
		return newProblem(http.StatusBadGateway, "caller_gone", "", err.Error())
	}
	return nil
}

// record logs and counts the outcome; a refusal for the caller's own fault does not burn the objective.
func (e *Entry) record(id string, c *call, problem *Problem, took time.Duration) {
	e.log(id, c, problem, took)
	if c == nil || c.request == nil {
		e.Metrics.Request("none", "bad_request", took)
		return
	}
	e.Metrics.Request(c.request.Pipeline.Name, problem.outcome(), took)
	if problem == nil || problem.Status >= 500 || problem.Status == http.StatusTooManyRequests || problem.Status == http.StatusConflict {
		e.Burn.Record(c.request.Pipeline.Name, c.request.Team, problem == nil)
	}
}

// log writes the one line that tells how the request ended and what that was decided from.
func (e *Entry) log(id string, c *call, problem *Problem, took time.Duration) {
	fields := []any{"id", id, "outcome", problem.outcome(), "took_ms", took.Milliseconds(), "generation", e.Generation()}
	if c != nil && c.request != nil {
		fields = append(fields, "pipeline", c.request.Pipeline.Name, "team", c.request.Team, "deadline_ms", c.deadline.Milliseconds())
	}
	if problem != nil {
		fields = append(fields, "status", problem.Status, "reason", problem.Detail, "ran", string(problem.Ran), "effect", string(problem.Effect))
	}
	e.Log.Info("request ended", fields...)
}

func (e *Entry) check(w http.ResponseWriter, r *http.Request, id string) (*call, *Problem) {
	rules := e.Rules()
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
	c := &call{team: team, deadline: pipeline.Deadline}
	if problem := c.checkHeaders(r, rules, pipeline); problem != nil {
		return nil, problem
	}
	body, problem := e.readBody(w, r)
	if problem != nil {
		return nil, problem
	}
	level, _ := rules.PriorityOf(team.Name, pipeline.Name)
	c.request.ID = id
	c.request.Body = body
	c.request.Level = level
	return c, nil
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

func (c *call) checkHeaders(r *http.Request, rules *radishrule.RuleSet, pipeline *radishrule.Pipeline) *Problem {
	c.request = &radishpipeline.Request{Team: c.team.Name, Pipeline: pipeline, Rules: rules}
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
		c.request.Key = &key
	}
	c.streams = strings.Contains(r.Header.Get("Accept"), "text/event-stream")
	return nil
}

func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.MaxBodyBytes))
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
