// Package radishtarget tracks the state and the load of targets as observed by this VM, sends attempts to targets
// over HTTP, and selects a target for each attempt.
package radishtarget
