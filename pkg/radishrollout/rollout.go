package radishrollout

import "time"

// Rollout is the state of one order at one VM. The exported fields are set before first use; the caller locks.
type Rollout struct {
	Order  Order
	Limits Limits
	// Self is this run of this VM.
	Self Source
	// StartedAt is when this VM learned of the order. Peers' reports move it back, never forward.
	StartedAt time.Time
	// NoTargets is whether the service has no target of the order's version now; the caller may change it. Such an order does not
	// proceed and is reverted before its deadline.
	NoTargets bool
}

// Admit reports whether this VM's next call on the route may go to the candidate. The number of VMs includes those that cannot be
// reached now.
func (r *Rollout) Admit(route string, vms int, now time.Time) bool {
	return r.AdmitCalls(route, 1, vms, now)
}

// AdmitCalls is Admit for a batch: each of its pieces counts as a call.
func (r *Rollout) AdmitCalls(route string, calls, vms int, now time.Time) bool { return false }

// MustUse reports whether calls may go to the candidate only.
func (r *Rollout) MustUse(now time.Time) bool { return false }

// RecordSend counts calls, including retries, hedged copies and probes, when they are sent.
func (r *Rollout) RecordSend(route string, candidate bool, calls int, now time.Time) {}

// RecordResult counts the response of a call.
func (r *Rollout) RecordResult(s Sample, now time.Time) {}

// RecordOldInFlight sets the number of this VM's calls in flight at old targets. Draining ends when all VMs report 0 or the time is
// up.
func (r *Rollout) RecordOldInFlight(n int) {}

// Finish records the final state that the store holds, Completed or Reverted. It applies whatever was decided here.
func (r *Rollout) Finish(phase Phase) {}

// Evidence returns the evidence of all sources, for peers.
func (r *Rollout) Evidence() []Evidence { return nil }

// Merge adds evidence of peers and reports whether anything was new.
func (r *Rollout) Merge(e []Evidence, now time.Time) (changed bool) { return false }

// Decide returns what this VM does now. It is called at least every 250 ms. A bad verdict is sticky.
func (r *Rollout) Decide(now time.Time) Decision { return Decision{Phase: PhaseObserving} }
