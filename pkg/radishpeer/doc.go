// Package radishpeer links entry VMs: one yamux session for each pair, over which either side calls the other
// with protobuf messages, one stream a call.
package radishpeer
