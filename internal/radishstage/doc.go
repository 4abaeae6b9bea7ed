// Package radishstage executes the stages of requests. A stage consists of pieces, units of work with one result each, which
// stays at the target that computed it until it is released or expires. The stage targets are divided into shards. For each
// shard one VM, the coordinator, combines the pieces of all VMs' requests into batched calls to the targets; the other VMs
// send it the plans of their requests.
package radishstage
