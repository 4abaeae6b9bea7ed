package radishentry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/pkg/radish"
)

// Execution states in an error response whether any part of the request may have been executed.
type Execution string

// Possible execution states.
const (
	// ExecutionNone means that no byte of the request was or will be sent to any target.
	ExecutionNone Execution = "not_run"
	// ExecutionUnknown means that some stage may have been executed.
	ExecutionUnknown Execution = "unknown"
)

// Effect states in an error response whether a non-idempotent stage may have been executed.
type Effect string

// Possible effects.
const (
	EffectNone     Effect = "none"
	EffectPossible Effect = "possible"
)

// Problem is the application/problem+json body of an error response (RFC 9457).
type Problem struct {
	Type      string    `json:"type"`
	Title     string    `json:"title"`
	Status    int       `json:"status"`
	Detail    string    `json:"detail,omitempty"`
	Field     string    `json:"field,omitempty"`
	RequestID string    `json:"request_id,omitempty"`
	Execution Execution `json:"ran"`
	Effect    Effect    `json:"effect"`
}

// problemTypePrefix is the prefix of the type of each Problem.
const problemTypePrefix = "urn:radishramp:"

// Types, without their prefix, of problems that the caller causes although their status is one that otherwise counts against the
// objective.
const (
	problemKeyExpired = "key_expired"
	problemCallerGone = "caller_gone"
)

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

func newProblem(status int, kind, field, detail string) *Problem {
	return &Problem{
		Type: problemTypePrefix + kind, Title: http.StatusText(status), Status: status,
		Detail: detail, Field: field, Execution: ExecutionNone, Effect: EffectNone,
	}
}

// outcome returns the name of the problem in logs and metrics; for a nil problem, that of a complete response.
func (p *Problem) outcome() string {
	if p == nil {
		return "whole"
	}
	return strings.TrimPrefix(p.Type, problemTypePrefix)
}

// countsForObjective reports whether the outcome counts for or against the service level objective; a nil problem is a success.
func (p *Problem) countsForObjective() bool {
	switch p.outcome() {
	case problemKeyExpired, problemCallerGone:
		return false
	}
	return p == nil || p.Status >= 500 || p.Status == http.StatusTooManyRequests || p.Status == http.StatusConflict
}

// newRunProblem returns the problem for the error of a pipeline run and states what may have been executed.
func newRunProblem(err error, result *radishpipeline.Result) *Problem {
	p := newErrorProblem(err)
	if result.MayHaveRun {
		p.Execution = ExecutionUnknown
	}
	if result.MayHaveEffect {
		p.Effect = EffectPossible
	}
	return p
}

func newErrorProblem(err error) *Problem {
	switch {
	case errors.Is(err, radish.ErrShed):
		return newProblem(http.StatusTooManyRequests, "shed", "", err.Error())
	case errors.Is(err, radish.ErrKeyMismatch):
		return newProblem(http.StatusUnprocessableEntity, "key_mismatch", "Idempotency-Key", err.Error())
	case errors.Is(err, radish.ErrKeyExpired):
		return newProblem(http.StatusConflict, problemKeyExpired, "Idempotency-Key", err.Error())
	case errors.Is(err, radish.ErrBadKey):
		return newProblem(http.StatusBadRequest, "bad_key", "Idempotency-Key", err.Error())
	case errors.Is(err, radish.ErrOutcomeUnknown):
		return newProblem(http.StatusConflict, "outcome_unknown", "", err.Error())
	case errors.Is(err, radish.ErrBadRequest):
		return newProblem(http.StatusUnprocessableEntity, "input_refused", "body", err.Error())
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, radish.ErrDeadline):
		return newProblem(http.StatusGatewayTimeout, "deadline", "", err.Error())
	case errors.Is(err, radish.ErrNoTarget), errors.Is(err, radish.ErrUnavailable):
		return newProblem(http.StatusServiceUnavailable, "no_capacity", "", err.Error())
	default:
		return newProblem(http.StatusBadGateway, "stage_failed", "", err.Error())
	}
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ProblemContentType)
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
