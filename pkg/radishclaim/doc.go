// Package radishclaim makes sure that a non-idempotent request is executed at most once. Before a VM sends the first
// byte of such a request to a target, it records a claim for the caller's idempotency key in a platform object with a
// conditional update. The version of the object is the fencing token, so correctness does not depend on a lease.
// Claims that are pending at the same time share one update.
package radishclaim
