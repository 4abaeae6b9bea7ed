// Package radishconn bounds the open connections of callers and the memory for the heads of their requests. Callers that keep many
// connections open must not use up the file descriptors that peers, the store and targets need. At the limit, unused connections are
// closed before new ones are refused, and then requests are interrupted that only wait for their callers.
//
// A connection is unused until the first byte of its next request has been read. net/http reports it as active only after it has read the
// whole head, and would run a request whose connection was closed in between; the connections of this package decide by themselves.
package radishconn
