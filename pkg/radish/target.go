package radish

import (
	"context"
	"io"
	"time"
)

// TargetState is what a target says of itself in answers and load reports.
type TargetState string

// States of a target.
const (
	TargetUnknown TargetState = ""
	TargetCold    TargetState = "cold"
	TargetWarm    TargetState = "warm"
	TargetLeaving TargetState = "leaving"
)

// Target is one back end of a service.
type Target struct {
	Name       string
	Address    string
	DataCentre string
	Service    string
	Leaving    bool
	// Slots is how many attempts the target runs at a time; 0 when it is not known.
	Slots int
	// ColdFor is how much longer the target was cold when it said so.
	ColdFor time.Duration
	// Started tells two starts of a target under one name apart, in Unix milliseconds; 0 when it is not known.
	Started int64
}

// LoadReport is a target's own account of its load, late by the target's report interval.
type LoadReport struct {
	State    TargetState `json:"state"`
	InFlight int         `json:"in_flight"`
	Queued   int         `json:"queued"`
}

// Attempt is one try of one stage at one target.
type Attempt struct {
	ID        string
	RequestID string
	Kind      StageKind
	Target    Target
	Input     []byte
	PrefixKey string
	Priority  int
	// NotAfter is when the attempt may no longer begin, as at the end of its permit; zero means no bound.
	NotAfter time.Time
	// Sink receives the answer as it is produced when the stage streams; nil collects it in Answer.Body.
	Sink io.Writer
}

// Answer is a whole answer of a target to one attempt.
type Answer struct {
	AttemptID string
	Body      []byte
	State     TargetState
	InFlight  int
	Took      time.Duration
}

// TargetClient sends attempts to targets and reads their load.
type TargetClient interface {
	// Do sends the attempt; ErrNotSent, ErrRejected, ErrCut, ErrCrossed, ErrTargetFailed or ErrBadRequest tell failures apart.
	Do(ctx context.Context, a *Attempt) (*Answer, error)
	// Load reads the target's load report.
	Load(ctx context.Context, t Target) (LoadReport, error)
}

// StageKind is a kind of stage that a pipeline may name.
type StageKind struct {
	Name string
	// Path is the HTTP path of the stage on its target.
	Path string
	// Streams tells whether the target answers with server-sent events.
	Streams bool
}

// Candidate is a target that a picker may choose, with what the VM knows of its load.
type Candidate struct {
	Target   Target
	InFlight int
	// Reported is the load in the target's last report, less what the VM itself had in flight then.
	Reported int
	// Local tells whether the target is in the VM's own data centre.
	Local bool
	// Latency is the moving average of the target's answer time.
	Latency time.Duration
}

// Picker chooses a target for an attempt.
type Picker interface {
	// Pick returns the index of the chosen candidate; candidates is never empty.
	Pick(candidates []Candidate, prefixKey string) int
}
