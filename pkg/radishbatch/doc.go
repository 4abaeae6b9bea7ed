// Package radishbatch selects the pieces of stages that a target processes together in one batch. Each batch has a fixed
// overhead, so a service that processes pieces one by one reaches its capacity far below that of full batches. During a burst,
// more pieces are queued than the service can process in time: pieces that can still be in time run first, earliest due
// time first. Pieces whose caller has disconnected or whose deadline has passed are dropped.
// Idle targets of different speeds share the queue by their speed, and a slow one leaves pieces to faster ones that are free soon.
package radishbatch
