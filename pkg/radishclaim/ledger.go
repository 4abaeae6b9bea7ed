package radishclaim

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

// Limits of the ledger.
const (
	// maxInlineOutcomeBytes is the size of the largest outcome that is stored in its record. A larger one gets an
	// object of its own.
	maxInlineOutcomeBytes = 4 << 10
	// finalStateTimeout limits the time spent in the background on recording the outcome or withdrawal of a claim.
	finalStateTimeout = 20 * time.Second
	// pollInitialInterval and pollMaxInterval limit the time between reads of the record while another call executes
	// the stage.
	pollInitialInterval = 50 * time.Millisecond
	pollMaxInterval     = 500 * time.Millisecond
)

// Claim is either the permission to execute a non-idempotent stage once, or the outcome of an earlier execution.
type Claim struct {
	Key Key
	// IsOwner is whether the caller of Ledger.Claim may execute the stage, once.
	IsOwner bool
	// Outcome is the response of the earlier execution if IsOwner is false.
	Outcome []byte

	op Op
}

// Ledger records claims. The exported fields must be set before the first use.
type Ledger struct {
	Platform radish.Platform
	Writer   Writer
	// VM is the name of this VM.
	VM string
	// Window is how long an idempotency key is valid, counted from its creation.
	Window time.Duration
	Log    hclog.Logger

	background taskGroup
}

// Claim (modelled in spec/claim.pml) returns the permission to execute the stage, or the recorded outcome of an earlier
// execution. With radish.ErrUnavailable, radish.ErrBadKey and radish.ErrKeyMismatch nothing was executed for this call.
// With radish.ErrOutcomeUnknown and radish.ErrKeyExpired an earlier call may have been executed.
func (l *Ledger) Claim(ctx context.Context, key Key, fingerprint string) (*Claim, error) {
	if err := CheckAge(key.ID, l.Window); err != nil {
		return nil, err
	}
	claim := &Claim{Key: key, op: Op{
		Name: key.recordName(), ClaimID: uuid.NewString(), VM: l.VM, Fingerprint: fingerprint, State: StateClaimed,
	}}
	records, err := l.Writer.Write(ctx, key.objectKey(), []Op{claim.op})
	if err != nil {
		// The claim may have been recorded or still be recorded later. Only this call could act on it, and this call
		// fails here.
		l.Withdraw(claim)
		return nil, trace.Wrap(radish.ErrUnavailable, "claim: %v", err)
	}
	record := records[0]
	if record.ClaimID != claim.op.ClaimID {
		return l.waitForOutcome(ctx, claim, record)
	}
	if record.State != StateClaimed {
		return nil, trace.Wrap(radish.ErrUnavailable, "claim was withdrawn")
	}
	// The objects of expired keys are deleted. The claim is valid only if the key was still within the window after
	// the update: only then was the updated object the one that contains all earlier claims of the key.
	if err := CheckAge(key.ID, l.Window); err != nil {
		l.Withdraw(claim)
		return nil, err
	}
	claim.IsOwner = true
	return claim, nil
}

// waitForOutcome polls the record until the claim that another call has on the same key gets an outcome. It claims the
// key again if the other claim is withdrawn.
func (l *Ledger) waitForOutcome(ctx context.Context, claim *Claim, record Record) (*Claim, error) {
	interval := backoff.NewExponentialBackOff()
	interval.InitialInterval = pollInitialInterval
	interval.MaxInterval = pollMaxInterval
	for {
		if record.Fingerprint != claim.op.Fingerprint && record.State != StateWithdrawn {
			return nil, radish.ErrKeyMismatch
		}
		if record.State == StateDone {
			return l.loadOutcome(ctx, claim, record)
		}
		if !radish.Sleep(ctx, interval.NextBackOff()) {
			return nil, radish.ErrOutcomeUnknown
		}
		if record.State == StateWithdrawn {
			return l.Claim(ctx, claim.Key, claim.op.Fingerprint)
		}
		if next, err := l.readRecord(ctx, claim.Key); err == nil {
			record = next
		}
	}
}

func (l *Ledger) readRecord(ctx context.Context, key Key) (Record, error) {
	obj, err := l.Platform.Get(ctx, key.objectKey())
	if err != nil {
		return Record{}, err
	}
	value, err := parseObjectValue(obj.Value)
	if err != nil {
		return Record{}, err
	}
	record, ok := value.Records[key.recordName()]
	if !ok {
		return Record{}, radish.ErrNotFound
	}
	return record, nil
}

func (l *Ledger) loadOutcome(ctx context.Context, claim *Claim, record Record) (*Claim, error) {
	claim.Outcome = record.Outcome
	if record.OutcomeObject == "" {
		return claim, nil
	}
	obj, err := l.Platform.Get(ctx, record.OutcomeObject)
	if err != nil {
		return nil, trace.Wrap(radish.ErrOutcomeUnknown, "outcome: %v", err)
	}
	claim.Outcome = obj.Value
	return claim, nil
}

// Finish (modelled in spec/claim.pml) records the outcome of the execution in the background, so that a retry by the
// caller gets it.
func (l *Ledger) Finish(claim *Claim, outcome []byte) {
	l.background.Go(func() {
		op := claim.op
		op.State = StateDone
		op.Outcome = outcome
		ctx, cancel := context.WithTimeout(context.Background(), finalStateTimeout)
		defer cancel()
		if len(outcome) > maxInlineOutcomeBytes {
			op.Outcome = nil
			op.OutcomeObject = claim.Key.outcomeObjectKey(op.ClaimID)
			if err := l.storeOutcome(ctx, op.OutcomeObject, outcome); err != nil {
				l.Log.Error("outcome of the claimed request could not be stored", "claim", op.ClaimID, "error", err.Error())
				return
			}
		}
		l.recordFinalState(ctx, claim.Key, op)
	})
}

func (l *Ledger) storeOutcome(ctx context.Context, objectKey string, outcome []byte) error {
	_, err := backoff.Retry(ctx, func() (uint64, error) {
		version, err := l.Platform.Put(ctx, objectKey, outcome, 0)
		if errors.Is(err, radish.ErrConflict) {
			return 0, nil
		}
		return version, err
	})
	return err
}

// Withdraw (modelled in spec/claim.pml) releases, in the background, a claim for which nothing was executed.
func (l *Ledger) Withdraw(claim *Claim) {
	l.background.Go(func() {
		op := claim.op
		op.State = StateWithdrawn
		ctx, cancel := context.WithTimeout(context.Background(), finalStateTimeout)
		defer cancel()
		l.recordFinalState(ctx, claim.Key, op)
	})
}

func (l *Ledger) recordFinalState(ctx context.Context, key Key, op Op) {
	_, err := backoff.Retry(ctx, func() ([]Record, error) {
		return l.Writer.Write(ctx, key.objectKey(), []Op{op})
	})
	if err != nil {
		l.Log.Warn("final state of the claim could not be recorded", "claim", op.ClaimID, "state", op.State, "error", err.Error())
	}
}

// Wait blocks until all background recordings of outcomes and withdrawals have succeeded or were abandoned.
func (l *Ledger) Wait() { l.background.Wait() }
