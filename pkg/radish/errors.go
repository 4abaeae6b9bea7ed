package radish

import "errors"

// Sentinel errors that callers test with errors.Is.
var (
	// ErrConflict reports that a conditional update met another version than the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound reports that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrAmbiguous reports that an update may or may not have taken effect.
	ErrAmbiguous = errors.New("outcome of the update is unknown")
	// ErrUnavailable reports that the platform or a peer did not answer and the call had no effect.
	ErrUnavailable = errors.New("not available")
	// ErrSilent reports that a peer has not answered over an open link in time.
	ErrSilent = errors.New("peer is silent")
	// ErrReset reports that the link to a peer broke, though the peer is likely there: it is dialled anew.
	ErrReset = errors.New("link was reset")
	// ErrNoTarget reports that no target of a service may take the attempt.
	ErrNoTarget = errors.New("no target available")
	// ErrNotSent reports that no byte of an attempt was sent to its target.
	ErrNotSent = errors.New("attempt was not sent")
	// ErrRejected reports that a target refused an attempt before running it.
	ErrRejected = errors.New("target refused the attempt without running it")
	// ErrCut reports that an answer ended before its end marker or its announced length.
	ErrCut = errors.New("answer was cut short")
	// ErrCrossed reports that an answer carries the attempt id of another attempt.
	ErrCrossed = errors.New("answer belongs to another attempt")
	// ErrTargetFailed reports that a target answered with a server error after it may have run the attempt.
	ErrTargetFailed = errors.New("target failed")
	// ErrBadRequest reports that a target found the input at fault.
	ErrBadRequest = errors.New("input refused by the target")
	// ErrLeaseLost reports that a lease is not held or can lapse before the work ends.
	ErrLeaseLost = errors.New("lease is not held")
	// ErrNoCapacity reports that a cold target bears no more work at present.
	ErrNoCapacity = errors.New("cold target is at its capacity")
	// ErrMayHaveRun reports that a non-idempotent stage may have run and its outcome is not known.
	ErrMayHaveRun = errors.New("outcome unknown, the request may have run")
	// ErrKeyMismatch reports that an idempotency key was used before with another request body.
	ErrKeyMismatch = errors.New("idempotency key was used with another request")
	// ErrKeyExpired reports that an idempotency key is older than the claim window.
	ErrKeyExpired = errors.New("idempotency key is older than the claim window")
	// ErrBadKey reports that an idempotency key is not a version 7 UUID or lies in the future.
	ErrBadKey = errors.New("idempotency key must be a version 7 UUID that is not from the future")
	// ErrShed reports that admission control refused a request before any stage ran.
	ErrShed = errors.New("request refused by admission control")
	// ErrDeadline reports that what is left of the deadline is too short to go on.
	ErrDeadline = errors.New("deadline cannot be met")
)
