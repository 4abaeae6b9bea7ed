// Package radishconn bounds the open connections of callers and the memory for the heads of their requests. Callers that keep many
// connections open must not use up the file descriptors that peers, the store and targets need. At the limit, unused connections are
// closed before new ones are refused.
package radishconn
