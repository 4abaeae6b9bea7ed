// Package radishlease holds a lease on a platform object. The object's conditional update is what decides; the
// holder trusts its lease only for the lease's duration from before its last successful renewal was sent, and a
// successor takes over only after it has itself seen the object unchanged for that long.
package radishlease
