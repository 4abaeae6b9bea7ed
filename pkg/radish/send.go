package radish

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// ErrGarbled reports that a target sent bytes that are no answer to the attempt.
var ErrGarbled = errors.New("answer is garbled")

// Send is one attempt to have a call answered by a target.
type Send struct {
	Call   *Call
	Target Target
	// Team is the name of the caller's team; "" when it has none.
	Team string
	// Left is how long the target may work.
	Left time.Duration
	// Inputs are the handles of the stage results that the target reads first.
	Inputs []string
	// ResumeAfter is the last event that the caller has; "" starts the stream.
	ResumeAfter string
	// Priority ranks the call at the target, 0 first; -1 says nothing.
	Priority int
}

// TargetLoad is a target's account of its load that rides on an answer.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	// Known tells whether the target gave an account.
	Known bool
}

// TargetAnswer is the beginning of a target's answer; Body must be closed.
type TargetAnswer struct {
	Status int
	// Header holds what goes back to the caller.
	Header http.Header
	Body   io.ReadCloser
	// Length is the announced length of the body; -1 when it is not announced.
	Length int64
	// IsStream tells whether the body is a stream of events.
	IsStream bool
	// NotRun tells whether the target says that it has not run the attempt.
	NotRun bool
	// WrongInstance tells whether another instance has the target's address.
	WrongInstance bool
	// InputsGone tells whether a stage result is missing at its maker.
	InputsGone bool
	// Signed tells whether the answer bears the target's signature.
	Signed bool
	Load   TargetLoad
}

// Forwarder sends calls to targets.
type Forwarder interface {
	// Send sends the attempt once; ErrNotSent when no byte went out, ErrGarbled or ErrCrossed when what came back is no
	// answer to it, any other error when it may have run.
	Send(ctx context.Context, s *Send) (*TargetAnswer, error)
}

// Piece is one unit of work of a stage.
type Piece struct {
	// CallID is the id of the call that needs the piece.
	CallID string
	Stage  int
	Number int
	// Key names the input of a piece that needs no results of other stages.
	Key string
	// Inputs are the handles of the results that the piece needs.
	Inputs []string
	// Left is how long the result is of use; 0 says nothing.
	Left time.Duration
}

// PieceOutcome is the outcome of one piece.
type PieceOutcome string

// Outcomes of a piece.
const (
	PieceDone   PieceOutcome = "done"
	PieceLate   PieceOutcome = "late"
	PieceGone   PieceOutcome = "input_gone"
	PieceNoRoom PieceOutcome = "no_room"
	PieceFailed PieceOutcome = "failed"
)

// PieceResult is what became of a piece.
type PieceResult struct {
	Outcome PieceOutcome
	// Handle names the result when the outcome is PieceDone.
	Handle string
}

// StageClient runs pieces of stages at targets.
type StageClient interface {
	// RunPieces runs the pieces in one batch, with one result a piece; ErrRejected when the target ran none.
	RunPieces(ctx context.Context, t Target, pieces []Piece) ([]PieceResult, error)
	// FreePieces gives up results at their maker.
	FreePieces(ctx context.Context, address string, handles []string) error
}
