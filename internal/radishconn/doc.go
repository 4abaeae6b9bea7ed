// Package radishconn bounds the connections of callers. It answers crowds of callers that keep connections open: the descriptors of the
// process must last for peers, the store and targets, and idle connections are closed before new callers are refused.
package radishconn
