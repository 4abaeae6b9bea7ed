// Package radishlease implements leader election by a lease that is stored in a platform object. Conditional updates
// of the object decide who holds the lease. The holder considers its lease valid for the lease's duration, counted
// from before it sent its last successful renewal. Another VM takes the lease over only after it has observed the
// object unchanged for longer than that duration, or when the holder released it.
package radishlease
