package radishconn

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishmetric"
)

// Cause is why a connection was closed.
type Cause string

// Causes of the end of a connection on which the head of a request had begun to arrive.
const (
	// CauseIdle is the limit on the time without a request.
	CauseIdle Cause = "idle"
	// CauseDisplaced is a new connection at the limit on open connections.
	CauseDisplaced Cause = "displaced"
	// CauseMemory is a lack of memory.
	CauseMemory Cause = "memory"
	// CauseRead is an error of reading: the caller left, or was too slow.
	CauseRead Cause = "read"
	// CauseStop is the end of the VM.
	CauseStop Cause = "stop"
	// CauseServer is the HTTP server, which closes the connections that are left when it ends.
	CauseServer Cause = "server"
)

// Drop describes a connection that was closed without an answer to a request whose head had begun to arrive.
type Drop struct {
	Remote string
	Cause  Cause
	// HeadBytes is how much of the head was read, IsWhole whether that was all of it, and Age the time since its first byte was read.
	HeadBytes int
	IsWhole   bool
	Age       time.Duration
}

// drop returns what the end of the connection drops; false if there is no such request. The caller holds the lock.
func (c *Conn) drop() (Drop, bool) {
	if c.phase == phaseWaiting || c.phase == phaseRequest || c.hasAnswer || c.isClosed {
		return Drop{}, false
	}
	cause := c.cause
	if cause == "" {
		cause = CauseServer
	}
	return Drop{
		Remote: c.RemoteAddr().String(), Cause: cause, HeadBytes: c.headBytes, IsWhole: c.isWhole, Age: time.Since(c.beganAt),
	}, true
}

// DropReporter returns an OnDrop function that counts dropped requests and logs those whose head was read whole.
func DropReporter(m *radishmetric.Metrics, log hclog.Logger) func(Drop) {
	return func(d Drop) {
		if !d.IsWhole {
			m.RecordDrop(string(d.Cause), "part")
			return
		}
		m.RecordDrop(string(d.Cause), "whole")
		log.Warn("request dropped with its connection", "cause", string(d.Cause), "caller", d.Remote, "head_bytes", d.HeadBytes,
			"age_ms", d.Age.Milliseconds())
	}
}
