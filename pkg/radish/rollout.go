package radish

import (
	"context"
	"time"
)

// RolloutState is the state that the system reports for an operator's order to move a service to a version.
type RolloutState string

// States of a rollout. The last two are final.
const (
	RolloutPending   RolloutState = ""
	RolloutRunning   RolloutState = "running"
	RolloutCompleted RolloutState = "completed"
	RolloutReverted  RolloutState = "reverted"
)

// IsFinal reports whether the state ends the order.
func (s RolloutState) IsFinal() bool { return s == RolloutCompleted || s == RolloutReverted }

// RolloutStatus is what the system writes about an order: its state, and the version that the state refers to.
type RolloutStatus struct {
	State   RolloutState
	Version string
}

// RolloutOrder is an operator's order to move the traffic of a service to the targets of a version.
type RolloutOrder struct {
	// Name is the name of the record, and Service the service that it applies to.
	Name    string
	Service string
	Version string
	// Duration is the time from the order to its deadline.
	Duration time.Duration
	// CreatedRevision is the store revision at which the record was created, and Revision that of its last change.
	CreatedRevision int64
	Revision        Revision
	Status          RolloutStatus
}

// RolloutStore writes the status of orders to the platform's store.
type RolloutStore interface {
	// SaveRolloutStatus writes the status of the order if the record's revision is the given one, and returns the record after that. It
	// returns [ErrConflict], with the record if the store returned it, if the revision differs; [ErrNotFound] if there is no such
	// record; [ErrUnavailable] if nothing was written; and [ErrAmbiguous] if it is unknown whether the status was written.
	SaveRolloutStatus(ctx context.Context, name string, revision Revision, s RolloutStatus) (Record, error)
}
