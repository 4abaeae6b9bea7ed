package radishclaim

import (
	"encoding/json"

	"github.com/gravitational/trace"
)

// State is how far a claimed run has come.
type State string

// States of a record.
const (
	// StateClaimed means that the run may have begun.
	StateClaimed State = "claimed"
	// StateDone means that the run ended and Outcome holds its answer.
	StateDone State = "done"
	// StateWithdrawn means that the claim's owner gave up before it sent anything.
	StateWithdrawn State = "withdrawn"
)

func (s State) isKnown() bool {
	return s == StateClaimed || s == StateDone || s == StateWithdrawn
}

// Record is what the platform keeps of one key.
type Record struct {
	ClaimID string `json:"claim_id"`
	VM      string `json:"vm"`
	// Fingerprint is the digest of the caller's request body.
	Fingerprint string `json:"fingerprint"`
	State       State  `json:"state"`
	Outcome     []byte `json:"outcome,omitempty"`
	// OutcomeObject is the platform key of an outcome that is too large to stand in the record.
	OutcomeObject string `json:"outcome_object,omitempty"`
}

// Op is a change to one record that may be carried out any number of times with the same effect.
type Op struct {
	Name        string `json:"name"`
	ClaimID     string `json:"claim_id"`
	VM          string `json:"vm"`
	Fingerprint string `json:"fingerprint,omitempty"`
	// State is the state to bring the record to.
	State         State  `json:"state"`
	Outcome       []byte `json:"outcome,omitempty"`
	OutcomeObject string `json:"outcome_object,omitempty"`
}

// shard is the value of a claim object.
type shard struct {
	Records map[string]Record `json:"records"`
}

func parseShard(value []byte) (*shard, error) {
	s := &shard{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, s); err != nil {
			return nil, trace.Wrap(err, "claim object")
		}
	}
	if s.Records == nil {
		s.Records = make(map[string]Record)
	}
	return s, nil
}

// apply carries out the op and returns the record that stands afterwards and whether it changed.
func (s *shard) apply(op Op) (Record, bool) {
	current, exists := s.Records[op.Name]
	if op.State == StateClaimed {
		return s.claim(op, current, exists)
	}
	if !exists && op.State == StateWithdrawn {
		// A withdrawal without a record still changes the object, so that a late update of the claim fails.
		current = Record{ClaimID: op.ClaimID, VM: op.VM}
		exists = true
	}
	if !exists || current.ClaimID != op.ClaimID || current.State == op.State {
		return current, false
	}
	current.State = op.State
	current.Outcome = op.Outcome
	current.OutcomeObject = op.OutcomeObject
	s.Records[op.Name] = current
	return current, true
}

// claim (spec: Commit) records the claim unless another one stands that was not withdrawn. A claim that was
// itself withdrawn stays so: its owner has given up.
func (s *shard) claim(op Op, current Record, exists bool) (Record, bool) {
	if exists && (current.State != StateWithdrawn || current.ClaimID == op.ClaimID) {
		return current, false
	}
	next := Record{ClaimID: op.ClaimID, VM: op.VM, Fingerprint: op.Fingerprint, State: StateClaimed}
	s.Records[op.Name] = next
	return next, true
}
