package radishconn

import (
	"slices"
	"time"
)

// watchBytes is the size of the reads by which net/http watches for the end of a connection once the body of its request has been read.
const watchBytes = 1

// wait is what the reader of a connection waits for.
type wait struct {
	// since is when the pending read began; zero if there is none. size is how many bytes it may return.
	since time.Time
	size  int
	// isBody is whether the handler reads the body of its request.
	isBody bool
}

// BeginBody must be called when the handler begins to read the body of its request. A nil *Conn does nothing.
func (c *Conn) BeginBody() { c.setBody(true) }

// EndBody must be called when the body has been read, before its request is executed, or will not be read. A nil *Conn does nothing.
func (c *Conn) EndBody() { c.setBody(false) }

func (c *Conn) setBody(isBody bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait.isBody = isBody
}

func (c *Conn) setOnKeep(onKeep func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onKeep = onKeep
}

// beginRead notes that a read of up to size bytes begins.
func (c *Conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait.since, c.wait.size = time.Now(), size
}

// endRead notes that the read has returned n bytes. Those of a body take back the end of its connection: the body may be whole now.
func (c *Conn) endRead(n int) {
	if onKeep := c.finishRead(n); onKeep != nil {
		onKeep()
	}
}

// finishRead is endRead without the call of onKeep, which takes the lock of the limiter. It returns the function if it must be called.
func (c *Conn) finishRead(n int) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wait.since = time.Time{}
	if n == 0 || !c.isEnding || c.phase != phaseRequest {
		return nil
	}
	c.keep()
	return c.onKeep
}

// stalledSince returns since when the connection has waited for more of a request that has begun to arrive; false if it does not.
func (c *Conn) stalledSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stallStart()
}

// stallStart is stalledSince for callers that hold the lock.
func (c *Conn) stallStart() (time.Time, bool) {
	isBody := c.phase == phaseRequest && c.wait.isBody && c.wait.size > watchBytes
	if c.wait.since.IsZero() || c.isEnding || !isBody && c.phase != phaseHead {
		return time.Time{}, false
	}
	return c.wait.since, true
}

// interruptStalled makes the connection close if it has waited for more of a request since the time or longer, and reports whether it has. A
// handler that waits for the body refuses the request. What has arrived before the read fails is read.
func (c *Conn) interruptStalled(since time.Time, cause Cause) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	start, ok := c.stallStart()
	if !ok || start.After(since) {
		return false
	}
	c.isEnding, c.cause = true, cause
	_ = c.Conn.SetReadDeadline(expired)
	return true
}

// interruptLongestStalled interrupts the request that has waited for its caller for the longest time and reports whether there was one. The
// caller holds the lock.
func (l *Limiter) interruptLongestStalled(now time.Time) bool {
	if len(l.stalled) == 0 && now.Sub(l.searchedAt) >= searchInterval {
		l.stalled, l.searchedAt = l.findStalled(now), now
	}
	for len(l.stalled) > 0 {
		e := l.stalled[0]
		l.stalled = l.stalled[1:]
		isOpen := l.conns[e.conn] == e && !e.isEnding
		if isOpen && e.conn.interruptStalled(now.Add(-minStallAge), CauseDisplaced) {
			l.countEnd(e)
			return true
		}
	}
	return false
}

// findStalled returns the connections whose requests have waited for their callers for minStallAge, the one that has waited longest first.
func (l *Limiter) findStalled(now time.Time) []*entry {
	type stall struct {
		entry *entry
		since time.Time
	}
	var stalls []stall
	for _, e := range l.conns {
		if since, ok := e.conn.stalledSince(); ok && now.Sub(since) >= minStallAge {
			stalls = append(stalls, stall{e, since})
		}
	}
	slices.SortFunc(stalls, func(a, b stall) int { return a.since.Compare(b.since) })
	entries := make([]*entry, len(stalls))
	for i, s := range stalls {
		entries[i] = s.entry
	}
	return entries
}

// noteKept notes that data has taken back the end of a connection, unless it was ended again since.
func (l *Limiter) noteKept(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !e.conn.isAboutToEnd() {
		l.keep(e)
	}
}
