// Package radishlog writes log lines without blocking the goroutines that log. Lines are queued; if the queue is full,
// they are dropped, and a log line reports how many.
package radishlog
