package radish

import (
	"context"
	"net/http"
	"time"
)

// PromptPart is a part of a request's prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is one request of a caller, decoded from the wire.
type Call struct {
	// ID is the caller's id of this request, which the target must see and echo.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Path   string
	// Header holds what goes on to the target as the caller sent it.
	Header http.Header
	Body   []byte
	// Key is the caller's API key; "" when there is none.
	Key string
	// Received is when the request's header was read.
	Received time.Time
	// Wait is how long the caller waits from Received; 0 when it does not say.
	Wait time.Duration
	// Prompt lists the parts of the prompt in order; the last one is the request's or the session's own.
	Prompt []PromptPart
	// InputTokens and OutputTokens are the prompt's length and the bound of the answer's.
	InputTokens  int
	OutputTokens int
	// Pieces is the number of pieces of each stage of the route; 0 leaves the stage out.
	Pieces []int
	// PieceKey names the input of the stages that need no other stage's results.
	PieceKey string
	// LastEventID is the event after which the caller resumes a stream; "" from the start.
	LastEventID string
}

// AnswerWriter sends the answer to one call. Exactly one of Begin and Refuse starts it.
type AnswerWriter interface {
	// Begin sends the status and the header of a target's answer.
	Begin(status int, header http.Header)
	// Write sends bytes of the body and hands them to the network.
	Write(p []byte) (int, error)
	// Refuse sends an answer of the system's own.
	Refuse(r Refusal)
	// Abort ends the caller's connection so that a begun answer does not look complete.
	Abort()
}

// RefusalKind tells why the system itself ends a call.
type RefusalKind string

// Kinds of refusals. Only RefusalNotRun and RefusalTooMany promise that nothing of the request has run.
const (
	RefusalNotRun      RefusalKind = "not_run"
	RefusalTooMany     RefusalKind = "too_many"
	RefusalBadRequest  RefusalKind = "bad_request"
	RefusalUnknownKey  RefusalKind = "unknown_key"
	RefusalNoRoute     RefusalKind = "no_route"
	RefusalTooLarge    RefusalKind = "too_large"
	RefusalFailed      RefusalKind = "target_failed"
	RefusalOutOfTime   RefusalKind = "out_of_time"
	RefusalInterrupted RefusalKind = "interrupted"
)

// Refusal is an answer of the system's own.
type Refusal struct {
	Kind RefusalKind
	// RetryAfter is when the caller may come back; 0 says nothing of it.
	RetryAfter time.Duration
	Reason     string
}

// CallHandler answers calls.
type CallHandler interface {
	// Handle answers the call through w; ctx ends when the caller leaves.
	Handle(ctx context.Context, call *Call, w AnswerWriter)
}
