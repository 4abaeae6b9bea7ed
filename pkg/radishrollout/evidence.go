package radishrollout

import "time"

// Limits on the evidence that is kept and taken from peers.
const (
	MaxSources = 256
	// MaxRoutes limits the routes of a source; calls on further ones count as calls on OtherRoute.
	MaxRoutes = 32
	// MaxTargets limits the candidate's targets that a source counts on a route.
	MaxTargets = 8
	// MaxNameBytes limits the names of VMs, routes and targets.
	MaxNameBytes = 128
	// OtherRoute stands for the routes that are not counted by name.
	OtherRoute = "*"
)

// Evidence is what a source counted since the order. Its counters only grow.
type Evidence struct {
	Source Source
	// OrderRevision is the ID of the order (Order.ID); evidence of other orders is ignored.
	OrderRevision int64
	// Age is the age of the order when the source last reported.
	Age time.Duration
	// Phase is the phase at the source; Reverted or Completed is final for all VMs.
	Phase Phase
	// OldInFlight is the number of calls in flight at old targets at that time.
	OldInFlight int
	// Suspect is the candidate's target that the source avoids, "" if there is none.
	Suspect string
	Routes  []RouteEvidence
}

// RouteEvidence is what a source counted on a route.
type RouteEvidence struct {
	Route string
	// Old and Candidate are the counts of the versions before the order, together, and of the order's version.
	Old, Candidate VersionCounts
	// Targets are the results of the candidate's targets on the route.
	Targets []TargetEvidence
}

// VersionCounts are the counts of a version on a route.
type VersionCounts struct {
	// Calls is the number of calls that were sent.
	Calls uint64
	// Failures is the number of responses that are failures.
	Failures uint64
	// Times is the histogram of the times of the other responses, by the bounds of BucketBound; trailing zeros may be missing.
	Times []uint64
}

// TargetEvidence is what a source counted of a candidate's target.
type TargetEvidence struct {
	Target string
	// Responses and Bad are the numbers of responses and of those that are failures or slow.
	Responses, Bad uint64
}
