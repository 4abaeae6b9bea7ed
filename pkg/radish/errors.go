package radish

import "errors"

// Sentinel errors; check for them with errors.Is.
var (
	// ErrConflict reports that a conditional update failed because the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
	// ErrNotFound reports that an object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrAmbiguous reports that an update may or may not have taken effect.
	ErrAmbiguous = errors.New("outcome of the update is unknown")
	// ErrUnavailable reports that the platform or a peer could not be reached and the call had no effect.
	ErrUnavailable = errors.New("not available")
	// ErrPeerTimeout reports that a peer did not respond in time although the connection to it is open.
	ErrPeerTimeout = errors.New("peer is silent")
	// ErrLinkReset reports that the connection to a peer broke although the peer is probably still running;
	// the connection is redialled.
	ErrLinkReset = errors.New("link was reset")
	// ErrNoTarget reports that no target of a service is eligible for the attempt.
	ErrNoTarget = errors.New("no target available")
	// ErrNotSent reports that no byte of an attempt was sent to its target.
	ErrNotSent = errors.New("attempt was not sent")
	// ErrRejected reports that a target refused an attempt without executing it.
	ErrRejected = errors.New("target refused the attempt without running it")
	// ErrTruncated reports that a response ended before its end event or its declared length.
	ErrTruncated = errors.New("answer was cut short")
	// ErrAttemptMismatch reports that a response carries the id of another attempt.
	ErrAttemptMismatch = errors.New("answer belongs to another attempt")
	// ErrTargetFailed reports that a target returned a server error and may have executed the attempt.
	ErrTargetFailed = errors.New("target failed")
	// ErrBadRequest reports that a target rejected the input as invalid.
	ErrBadRequest = errors.New("input refused by the target")
	// ErrLeaseLost reports that a lease is not held or may expire before the work ends.
	ErrLeaseLost = errors.New("lease is not held")
	// ErrNoCapacity reports that a cold target cannot take more work at present.
	ErrNoCapacity = errors.New("cold target is at its capacity")
	// ErrOutcomeUnknown reports that a non-idempotent stage may have been executed and its outcome is unknown.
	ErrOutcomeUnknown = errors.New("outcome unknown, the request may have run")
	// ErrKeyMismatch reports that an idempotency key was already used with a different request body.
	ErrKeyMismatch = errors.New("idempotency key was used with another request")
	// ErrKeyExpired reports that an idempotency key is older than the time for which used keys are stored.
	ErrKeyExpired = errors.New("idempotency key is older than the claim window")
	// ErrBadKey reports that an idempotency key is not a version 7 UUID or has a timestamp in the future.
	ErrBadKey = errors.New("idempotency key must be a version 7 UUID that is not from the future")
	// ErrShed reports that admission control rejected a request before any stage was executed.
	ErrShed = errors.New("request refused by admission control")
	// ErrDeadline reports that the time until the deadline is too short to continue.
	ErrDeadline = errors.New("deadline cannot be met")
)
