// Package radishclaim lets a non-idempotent request run at most once: before its first byte goes out, a VM has a
// claim for the caller's idempotency key recorded in a platform object by a conditional update. The object's
// version is the fence, so nothing depends on a lease. Claims that wait at the same time share one update.
package radishclaim
