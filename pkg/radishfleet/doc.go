// Package radishfleet selects the target for each call from the state of the targets as one VM observes it. Functions
// take the current time as an argument. Targets may crash, fail some of their calls, become overloaded or go cold while others
// have capacity. Failing targets are ejected after a few calls and retried later, cold targets get at most this VM's
// quota of the rate that they can sustain, and calls that share a prompt prefix go to the same engine as long as its
// load is close to the mean.
//
// Targets may also differ in speed, always or for some hundred milliseconds, and many VMs read the same reports of load. Where this is
// so, the times of calls are learned, and calls are sent by expected time.
package radishfleet
