// Package radishstage runs the stages of calls: for each shard of the stage targets one VM, the coordinator, batches the
// pieces of all VMs' calls, and the others send their calls' plans to it.
package radishstage
