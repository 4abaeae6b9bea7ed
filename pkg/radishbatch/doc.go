// Package radishbatch decides which pieces of stages share a call. A call costs a fixed time before its first piece, so
// that pieces served one by one exhaust a stage long before full calls do. It answers bursts in which more pieces wait
// than the stage can make in time: pieces that can still be in time go first, earliest due first, and those whose caller
// has left or whose deadline has passed are dropped instead of made.
package radishbatch
