package radish

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrMalformedResponse reports that a target's response is malformed.
var ErrMalformedResponse = errors.New("answer is garbled")

// ForwardRequest is one attempt to forward a call to a target.
type ForwardRequest struct {
	Call   *Call
	Target Target
	// Team is the name of the caller's team; empty if it has none.
	Team string
	// Timeout is how long the target may work on the attempt.
	Timeout time.Duration
	// Inputs lists the handles of the stage results that the target reads before it starts.
	Inputs []string
	// ResumeAfter is the id of the last event that the caller received; empty to start the stream at the beginning.
	ResumeAfter string
	// Priority orders calls at the target, 0 is the highest; -1 means unspecified.
	Priority int
}

// TargetLoad is the load that a target reports in a response header.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	// Pace is the factor by which work takes longer than usual at the target's machine at the moment; 0 means not reported.
	Pace float64
	// Reported is whether the response contained the load.
	Reported bool
}

// TargetResponse is a target's response whose body is yet to be read; the caller must close Body.
type TargetResponse struct {
	Status int
	// Header holds the headers that are passed back to the caller.
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the declared length of the body; -1 if it is not declared.
	ContentLength int64
	// IsStream is whether the body is a stream of server-sent events.
	IsStream bool
	// NotExecuted is whether the target states that it did not execute the attempt.
	NotExecuted bool
	// WrongInstance is whether the address now belongs to another instance than the expected one.
	WrongInstance bool
	// InputsMissing is whether an input is no longer available at the target that produced it.
	InputsMissing bool
	// Signed is whether the response carries the target's signature header.
	Signed bool
	Load   TargetLoad
}

// Forwarder forwards calls to targets.
type Forwarder interface {
	// Forward sends the attempt once, without retries. It returns [ErrNotSent] if no byte was sent, and separate
	// errors if the response is malformed or belongs to another attempt. After any other error, the attempt may have been
	// executed.
	Forward(ctx context.Context, s *ForwardRequest) (*TargetResponse, error)
}

// TargetProber checks targets without sending them a request.
type TargetProber interface {
	// IsDown reports whether no process listens at the target's address. It is false if this cannot be determined.
	IsDown(ctx context.Context, t Target) bool
}

// TargetHealthChecker asks targets for their health.
type TargetHealthChecker interface {
	// CheckHealth requests the path, at which targets of the service report their health. What the target says about itself goes to the
	// [TargetObserver].
	CheckHealth(ctx context.Context, t Target, path string) error
}

// Piece is one unit of work of a stage; pieces are sent to targets in batches.
type Piece struct {
	// CallID is the id of the call that needs the piece.
	CallID string
	Stage  int
	Number int
	// Key identifies the input of a piece that does not depend on other stages.
	Key string
	// Inputs lists the handles of the results that the piece depends on.
	Inputs []string
	// Timeout is the time within which the result is useful; 0 means unspecified.
	Timeout time.Duration
}

// PieceOutcome reports whether a piece succeeded, or why it failed.
type PieceOutcome string

// Outcomes of a piece.
const (
	PieceDone         PieceOutcome = "done"
	PieceTimedOut     PieceOutcome = "late"
	PieceInputMissing PieceOutcome = "input_gone"
	PieceNoSpace      PieceOutcome = "no_room"
	PieceFailed       PieceOutcome = "failed"
)

// PieceResult is the outcome of a piece and, on success, the handle of its result.
type PieceResult struct {
	Outcome PieceOutcome
	// Handle identifies the result if the outcome is PieceDone.
	Handle string
}

// StageClient runs pieces of stages at targets.
type StageClient interface {
	// RunPieces runs the pieces in one batch and returns one result per piece. It returns [ErrRejected] if the target
	// executed none of them.
	RunPieces(ctx context.Context, t Target, pieces []Piece) ([]PieceResult, error)
	// FreePieces releases results that are stored at the target with the address.
	FreePieces(ctx context.Context, address string, handles []string) error
}
