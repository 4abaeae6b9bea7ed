// Package radishlog writes log lines without ever blocking who logs: lines beyond a bounded queue are dropped and the
// number of dropped lines is told.
package radishlog
