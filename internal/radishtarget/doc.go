// Package radishtarget knows the targets: their state and load as far as the VM has seen it, the HTTP client
// that sends attempts to them, and the pickers that choose among them.
package radishtarget
