package radish

import (
	"context"
	"io"
	"time"
)

// TargetState is the state that a target reports in responses and load reports.
type TargetState string

// States of a target.
const (
	TargetUnknown TargetState = ""
	TargetCold    TargetState = "cold"
	TargetWarm    TargetState = "warm"
	TargetLeaving TargetState = "leaving"
)

// Target is one back end instance of a service.
type Target struct {
	Name       string
	Address    string
	DataCentre string
	Service    string
	Leaving    bool
	// Slots is the number of attempts that the target runs concurrently; 0 means unknown.
	Slots int
	// Version is the version of the service that the target runs; "" means unknown.
	Version string
	// ColdRemaining is the remaining time, when the target reported it, until the target is warm.
	ColdRemaining time.Duration
	// StartedUnixMilli is the start time in Unix milliseconds; it distinguishes restarts under the same name.
	// 0 means unknown.
	StartedUnixMilli int64
}

// TargetNotice is what a target says about itself in a response, whatever the response is.
type TargetNotice struct {
	// IsLeaving is whether the target announces that it leaves.
	IsLeaving bool
	// Cold is how much longer the target is cold; 0 means that it does not say so.
	Cold time.Duration
	// Pause is the time for which the target asks this VM to send it nothing; 0 means that it does not ask.
	Pause time.Duration
	// InvalidPause is a time for a pause that was ignored or shortened; empty if there is none.
	InvalidPause string
	// Load is the load that the target reports.
	Load TargetLoad
}

// TargetObserver learns what targets say about themselves.
type TargetObserver interface {
	// ObserveTarget is called for each response with a notice, before the response is used. If the target's name is empty, only its
	// address is known.
	ObserveTarget(t Target, n TargetNotice)
}

// LoadReport is the load that a target reports; it may be out of date by up to the target's report interval.
type LoadReport struct {
	State    TargetState `json:"state"`
	InFlight int         `json:"in_flight"`
	Queued   int         `json:"queued"`
}

// Attempt is one attempt to run a stage at a target.
type Attempt struct {
	ID        string
	RequestID string
	Kind      StageKind
	Target    Target
	Input     []byte
	PrefixKey string
	Priority  int
	// StartDeadline is the time after which the attempt must not start, for example the end of its permit;
	// zero means no limit.
	StartDeadline time.Time
	// Sink receives the body of a streaming stage as it is produced; if it is nil, the body is returned as a whole.
	Sink io.Writer
}

// Response is a target's complete response to an attempt.
type Response struct {
	AttemptID string
	Body      []byte
	State     TargetState
	InFlight  int
	Latency   time.Duration
}

// TargetClient sends attempts to targets and reads their load.
type TargetClient interface {
	// Do sends the attempt. Its errors distinguish an attempt that was not sent or was rejected without execution,
	// a truncated response, a response to another attempt, a failure of the target and an invalid input.
	Do(ctx context.Context, a *Attempt) (*Response, error)
	// Load fetches the target's load report.
	Load(ctx context.Context, t Target) (LoadReport, error)
}

// StageKind is a kind of stage that a pipeline may use.
type StageKind struct {
	Name string
	// Path is the HTTP path of the stage on its target.
	Path string
	// Streams is whether the target responds with server-sent events.
	Streams bool
}

// Candidate is a target that a picker may choose, with the load known to the VM.
type Candidate struct {
	Target   Target
	InFlight int
	// OtherLoad is the load in the target's last report minus the VM's own attempts in flight at that time.
	OtherLoad int
	// Local is whether the target is in the same data centre as the VM.
	Local bool
	// Latency is the moving average of the target's response time.
	Latency time.Duration
}

// Picker chooses a target for an attempt.
type Picker interface {
	// Pick returns the index of the chosen candidate; candidates is never empty.
	Pick(candidates []Candidate, prefixKey string) int
}
