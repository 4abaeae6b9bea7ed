// Package radishpeer connects entry VMs with each other. It keeps one yamux session per pair of VMs, over which either
// side calls the other with protobuf messages, one stream per call.
package radishpeer
