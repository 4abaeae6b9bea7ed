// Package radishstage runs pieces of stages: one VM batches the pieces of a stage service for all VMs, and the others
// send theirs to it.
package radishstage
