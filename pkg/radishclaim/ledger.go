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

// Bounds of the ledger.
const (
	// inlineOutcomeBytes is the largest outcome that stands in its record.
	inlineOutcomeBytes = 4 << 10
	// settleTime bounds the recording of an outcome or a withdrawal in the background.
	settleTime = 20 * time.Second
	// pollInitial and pollLimit bound the time between reads while another VM runs the same key.
	pollInitial = 50 * time.Millisecond
	pollLimit   = 500 * time.Millisecond
)

// Claim is the right to run a non-idempotent stage once, or the outcome of the run that already was.
type Claim struct {
	Key Key
	// IsOwner tells that the caller of Claim may run the stage, once.
	IsOwner bool
	// Outcome is the answer of the earlier run when IsOwner is false.
	Outcome []byte

	op Op
}

// Ledger records claims; set the exported fields before first use.
type Ledger struct {
	Platform radish.Platform
	Writer   Writer
	// VM is the name of this VM.
	VM string
	// Window is how long an idempotency key is remembered.
	Window time.Duration
	Log    hclog.Logger

	settling taskGroup
}

// Claim (spec: Claim) returns the right to run, or the recorded outcome. Errors that mean nothing was run for this
// call: radish.ErrUnavailable, radish.ErrBadKey, radish.ErrKeyMismatch. Errors that mean an earlier call may have
// run: radish.ErrMayHaveRun, radish.ErrKeyExpired.
func (l *Ledger) Claim(ctx context.Context, key Key, fingerprint string) (*Claim, error) {
	if err := CheckAge(key.ID, l.Window); err != nil {
		return nil, err
	}
	claim := &Claim{Key: key, op: Op{Name: key.name(), ClaimID: uuid.NewString(), VM: l.VM, Fingerprint: fingerprint, State: StateClaimed}}
	records, err := l.Writer.Write(ctx, key.object(), []Op{claim.op})
	if err != nil {
		// The record may come to stand, yet only this call could act on it and it gives up here.
		l.Withdraw(claim)
		return nil, trace.Wrap(radish.ErrUnavailable, "claim: %v", err)
	}
	record := records[0]
	if record.ClaimID != claim.op.ClaimID {
		return l.follow(ctx, claim, record)
	}
	if record.State != StateClaimed {
		return nil, trace.Wrap(radish.ErrUnavailable, "claim was withdrawn")
	}
	// Objects of expired keys are deleted: a claim is good only if its key was still inside the window after the
	// update, for then the object was the one that has all earlier claims.
	if err := CheckAge(key.ID, l.Window); err != nil {
		l.Withdraw(claim)
		return nil, err
	}
	claim.IsOwner = true
	return claim, nil
}

// follow waits for the outcome of another call's claim on the same key.
func (l *Ledger) follow(ctx context.Context, claim *Claim, record Record) (*Claim, error) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = pollInitial
	wait.MaxInterval = pollLimit
	for {
		if record.Fingerprint != claim.op.Fingerprint && record.State != StateWithdrawn {
			return nil, radish.ErrKeyMismatch
		}
		if record.State == StateDone {
			return l.loadOutcome(ctx, claim, record)
		}
		if !sleep(ctx, wait.NextBackOff()) {
			return nil, radish.ErrOutcomeUnknown
		}
		if record.State == StateWithdrawn {
			return l.Claim(ctx, claim.Key, claim.op.Fingerprint)
		}
		if next, err := l.lookup(ctx, claim.Key); err == nil {
			record = next
		}
	}
}

func (l *Ledger) lookup(ctx context.Context, key Key) (Record, error) {
	obj, err := l.Platform.Get(ctx, key.object())
	if err != nil {
		return Record{}, err
	}
	s, err := parseShard(obj.Value)
	if err != nil {
		return Record{}, err
	}
	record, ok := s.Records[key.name()]
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

// Finish (spec: Finish) records the outcome in the background, so that a retry of the caller gets it.
func (l *Ledger) Finish(claim *Claim, outcome []byte) {
	l.settling.Go(func() {
		op := claim.op
		op.State = StateDone
		op.Outcome = outcome
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		if len(outcome) > inlineOutcomeBytes {
			op.Outcome = nil
			op.OutcomeObject = claim.Key.outcomeObject(op.ClaimID)
			if err := l.storeOutcome(ctx, op.OutcomeObject, outcome); err != nil {
				l.Log.Error("outcome not stored", "claim", op.ClaimID, "error", err.Error())
				return
			}
		}
		l.settle(ctx, claim.Key, op)
	})
}

func (l *Ledger) storeOutcome(ctx context.Context, object string, outcome []byte) error {
	_, err := backoff.Retry(ctx, func() (uint64, error) {
		version, err := l.Platform.Put(ctx, object, outcome, 0)
		if errors.Is(err, radish.ErrConflict) {
			return 0, nil
		}
		return version, err
	})
	return err
}

// Withdraw (spec: Withdraw) gives up a claim for which nothing was sent, in the background.
func (l *Ledger) Withdraw(claim *Claim) {
	l.settling.Go(func() {
		op := claim.op
		op.State = StateWithdrawn
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		l.settle(ctx, claim.Key, op)
	})
}

func (l *Ledger) settle(ctx context.Context, key Key, op Op) {
	_, err := backoff.Retry(ctx, func() ([]Record, error) {
		return l.Writer.Write(ctx, key.object(), []Op{op})
	})
	if err != nil {
		l.Log.Warn("claim not settled", "claim", op.ClaimID, "state", op.State, "error", err.Error())
	}
}

// Wait returns once all outcomes and withdrawals in the background are recorded or given up.
func (l *Ledger) Wait() { l.settling.Wait() }
