package radishrollout

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits are the operator's limits on what a bad version may do.
type Limits struct {
	// MaxShare is the share of a service's calls that a bad version may get.
	MaxShare float64
	// Slack is the number of calls that a bad version may get in addition, from all VMs together.
	Slack float64
	// RevertWithin is the time after the 50th bad response after which a bad version gets no more calls.
	RevertWithin time.Duration
}

// Order is the operator's order to move a service's traffic to the targets of a version.
type Order struct {
	Service string
	// Version is the target version, the candidate.
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// CreatedRevision is the object's revision at its creation.
	CreatedRevision int64
	// Revision is the object's revision as last read. It changes with each status and does not identify the order.
	Revision int64
}

// ID identifies the order on all VMs: it changes with the object and with its specification, but not with its status.
func (o Order) ID() int64 {
	sum := xxhash.Sum64String(fmt.Sprintf("%d\x00%s\x00%s\x00%d", o.CreatedRevision, o.Service, o.Version, o.Duration))
	return int64(sum >> 1) // not negative
}

// Source is a run of a VM. Its counts only grow; a VM that restarts is another source.
type Source struct {
	VM          string
	Incarnation int64
}

// Sample is the result of a call.
type Sample struct {
	// Route is the call's route, with its prompt size class if the service has one.
	Route string
	// Candidate is whether the target is of the order's version.
	Candidate bool
	// Failed is whether the target's response is a failure. A call that got no response, because of a cut link or because the
	// target is down, is not recorded.
	Failed bool
	// Took is the time that the response took; it is ignored for failures.
	Took time.Duration
	// Target is the name of the target, by which the failures of a single candidate target are told from those of the version;
	// optional.
	Target string
}

// Phase is how far a rollout has come.
type Phase string

// Phases of a rollout, in the order in which they may follow each other.
const (
	PhaseObserving Phase = "observing"
	PhaseRamping   Phase = "ramping"
	PhaseDraining  Phase = "draining"
	PhaseReverted  Phase = "reverted"
	PhaseCompleted Phase = "completed"
)

// rank orders phases; of two reports, the higher one applies.
func (p Phase) rank() int {
	switch p {
	case PhaseRamping:
		return 1
	case PhaseDraining:
		return 2
	case PhaseReverted:
		return 3
	case PhaseCompleted:
		return 4
	}
	return 0
}

// Decision is what a VM does with the rollout now. Completed and Reverted are to be written to the store; what is there applies.
type Decision struct {
	Phase Phase
	// Share is the share of this VM's calls that the candidate may get.
	Share float64
	// Reason is the reason of the phase, for the log.
	Reason string
}
