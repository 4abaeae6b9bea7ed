// Package radishfleet decides which target gets a call: it holds what a VM knows of the targets and takes the time as
// an argument. It answers loads in which targets crash, fail part of their calls, fill up or turn cold while others
// have room: failing targets are left after a few calls and tried again later, cold ones get at most the VM's part of
// what they bear, and calls that share a prompt meet at one engine as long as its load is near the mean.
package radishfleet
