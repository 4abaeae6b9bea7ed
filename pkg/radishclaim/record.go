package radishclaim

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// State is the state of a claim.
type State string

// States of a claim.
const (
	// StateClaimed means that the execution may have started.
	StateClaimed State = "claimed"
	// StateDone means that the execution has ended and that Outcome or OutcomeObject gives its response.
	StateDone State = "done"
	// StateWithdrawn means that the owner of the claim released it and that nothing was executed.
	StateWithdrawn State = "withdrawn"
)

func (s State) isValid() bool {
	return s == StateClaimed || s == StateDone || s == StateWithdrawn
}

// Record is the stored claim of one key.
type Record struct {
	ClaimID string `json:"claim_id"`
	VM      string `json:"vm"`
	// Fingerprint is the hash of the caller's request body.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	Outcome     []byte `json:"outcome,omitempty"`
	// OutcomeObject is the platform key of the outcome if it is too large to be stored in the record.
	OutcomeObject string `json:"outcome_object,omitempty"`
}

// Op is an idempotent change to one record.
type Op struct {
	// Name is the name of the record.
	Name        string `json:"name"`
	ClaimID     string `json:"claim_id"`
	VM          string `json:"vm"`
	Fingerprint string `json:"fingerprint,omitempty"`
	// State is the state that the record is to get.
	State         State  `json:"state"`
	Outcome       []byte `json:"outcome,omitempty"`
	OutcomeObject string `json:"outcome_object,omitempty"`
}

// objectValue is the decoded value of a claim object.
type objectValue struct {
	Records map[string]Record `json:"records"`
}

func parseObjectValue(data []byte) (*objectValue, error) {
	v := &objectValue{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, v); err != nil {
			return nil, trace.Wrap(err, "claim object")
		}
	}
	if v.Records == nil {
		v.Records = make(map[string]Record)
	}
	return v, nil
}

// apply applies the op. It returns the resulting record and whether it changed.
func (v *objectValue) apply(op Op) (Record, bool) {
	current, exists := v.Records[op.Name]
	if op.State == StateClaimed {
		return v.claim(op, current, exists)
	}
	if !exists && op.State == StateWithdrawn {
		// The withdrawal of a claim that is not recorded still changes the object, so that an update with this claim
		// that arrives later fails on the object version.
		current = Record{ClaimID: op.ClaimID, VM: op.VM}
		exists = true
	}
	if !exists || current.ClaimID != op.ClaimID || current.State == op.State {
		return current, false
	}
	current.State = op.State
	current.Outcome = op.Outcome
	current.OutcomeObject = op.OutcomeObject
	v.Records[op.Name] = current
	return current, true
}

// claim (modelled in spec/claim.pml) records the claim unless the record holds another claim that is not withdrawn. A
// claim that has itself been withdrawn is not recorded again, because its owner no longer acts on it.
func (v *objectValue) claim(op Op, current Record, exists bool) (Record, bool) {
	if exists && (current.State != StateWithdrawn || current.ClaimID == op.ClaimID) {
		return current, false
	}
	next := Record{ClaimID: op.ClaimID, VM: op.VM, Fingerprint: op.Fingerprint, State: StateClaimed}
	v.Records[op.Name] = next
	return next, true
}
