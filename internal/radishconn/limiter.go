package radishconn

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// minNewAge is the age from which on a connection on which no request has arrived yet may be closed in favour of another one, and during a
	// drain one on which a head has begun to arrive.
	minNewAge = time.Second
	// minStallAge is the age from which on a read that waits for more of a request may be interrupted in favour of a new connection.
	minStallAge = time.Second
	// searchInterval is the shortest time between two searches for requests that wait for their callers.
	searchInterval = 100 * time.Millisecond
	// sweepInterval is the time between two searches for connections that have been idle for too long.
	sweepInterval = time.Second
	// logInterval is the shortest time between two log lines about refused connections.
	logInterval = 5 * time.Second
)

// Limiter bounds the open connections of an HTTP server. Its exported fields must be set before first use.
type Limiter struct {
	// Max returns the highest number of open connections; 0 or no function means no limit.
	Max func() int
	// HeaderTimeout returns how long a new connection may stay open without a request, IdleTimeout how long one may be idle between two
	// requests; 0 means no limit. Only Run uses them.
	HeaderTimeout, IdleTimeout func() time.Duration
	Log                        hclog.Logger

	mu    sync.Mutex
	conns map[net.Conn]*entry
	// ending is the number of connections that are about to be closed in favour of others or as unused; they no longer count as open.
	ending int
	// unused holds the connections without a request that are not ending, in the order in which they became so.
	unused list.List
	// stalled holds connections whose requests waited for their callers at searchedAt, the one that waited longest first.
	stalled    []*entry
	searchedAt time.Time

	refused  int64
	closed   int64
	loggedAt time.Time
	// refusedAt is when the last connection was refused at the limit. isFullLogged is whether the log says that the limiter is full.
	refusedAt    time.Time
	isFullLogged bool
	fullLoggedAt time.Time

	listener *listener
	// isDraining is whether Drain was called, isDrained whether no connection has been open since; drained is closed then.
	isDraining, isDrained bool
	drained               chan struct{}
}

// entry is an open connection.
type entry struct {
	conn *Conn
	// isNew is whether it has had no request yet, isEnding whether it is about to be closed in favour of others or as unused.
	isNew, isEnding bool
	// since is when the connection was accepted or its last request ended.
	since time.Time
	// element is the connection's place in Limiter.unused; nil while it has a request or is ending.
	element *list.Element
}

// Stats counts the connections of a [Limiter].
type Stats struct {
	Open int
	// Refused is the number of connections that were closed when they were accepted, Closed that of unused ones, and of those that waited for
	// the rest of a request, that were closed later or are about to be.
	Refused, Closed int64
}

// Stats returns the current counts.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: l.open(), Refused: l.refused, Closed: l.closed}
}

// open returns the number of connections that are not about to be closed. The caller holds the lock.
func (l *Limiter) open() int { return len(l.conns) - l.ending }

// Listener returns a listener that accepts connections of the inner one within the limit. It closes those beyond the limit, unless
// an unused one, or one that only waits for its caller, can be closed instead. A limiter has one listener.
func (l *Limiter) Listener(inner *HeadListener) net.Listener {
	l.listener = &listener{HeadListener: inner, limiter: l, closed: make(chan struct{})}
	return l.listener
}

// admit registers the connection, or returns false if there are too many or the drain has ended.
func (l *Limiter) admit(c *Conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDrained {
		return false
	}
	if !l.makeRoom(now) {
		return false
	}
	if l.conns == nil {
		l.conns = make(map[net.Conn]*entry)
	}
	e := &entry{conn: c, isNew: true, since: now}
	e.element = l.unused.PushBack(e)
	c.setOnKeep(func() { l.noteKept(e) })
	l.conns[c] = e
	return true
}

// makeRoom closes a connection at the limit that is unused or waits for the rest of a request, and reports whether there is room for
// another connection.
func (l *Limiter) makeRoom(now time.Time) bool {
	if l.Max == nil {
		return true
	}
	limit := l.Max()
	if limit <= 0 || l.open() < limit || l.closeOldestUnused(now) || l.interruptLongestStalled(now) {
		return true
	}
	l.refused++
	l.refusedAt = now
	l.logRefusal(limit, now)
	return false
}

// logRefusal logs at most one line in logInterval, since refusals come in crowds.
func (l *Limiter) logRefusal(limit int, now time.Time) {
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.loggedAt = now
	l.Log.Warn("caller's connection refused, too many are open", "open", l.open(), "limit", limit, "refused", l.refused, "closed", l.closed)
}

// closeOldestUnused closes the connection that has been without a request for the longest time and reports whether there was one.
func (l *Limiter) closeOldestUnused(now time.Time) bool {
	for element := l.unused.Front(); element != nil; {
		e := element.Value.(*entry)
		element = element.Next()
		if e.isNew && now.Sub(e.since) < minNewAge {
			continue
		}
		if l.end(e, CauseDisplaced) {
			return true
		}
	}
	return false
}

// end makes a connection close as unused and reports whether it was unused: its next request may have been read already, although the HTTP
// server has not reported that yet. The caller holds the lock.
func (l *Limiter) end(e *entry, cause Cause) bool {
	if e.isEnding || !e.conn.end(cause) {
		return false
	}
	l.countEnd(e)
	return true
}

// countEnd counts the connection as one that is about to be closed.
func (l *Limiter) countEnd(e *entry) {
	l.unlist(e)
	e.isEnding = true
	l.ending++
	l.closed++
}

// unlist takes the connection out of the list of the unused ones.
func (l *Limiter) unlist(e *entry) {
	if e.element != nil {
		l.unused.Remove(e.element)
		e.element = nil
	}
}

// keep notes that a connection that was to be closed is not, since a request arrived just before.
func (l *Limiter) keep(e *entry) {
	if e.isEnding {
		e.isEnding = false
		l.ending--
		l.closed--
	}
}

// ConnState is the server's hook for changes of a connection's state.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		conn.Decoded()
	case http.StateIdle:
		conn.BeginHead()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.conns[c]; e != nil {
		l.changeState(e, state)
	}
}

func (l *Limiter) changeState(e *entry, state http.ConnState) {
	switch state {
	case http.StateActive:
		e.isNew = false
		if !e.conn.isAboutToEnd() {
			l.keep(e)
		}
		l.unlist(e)
	case http.StateIdle:
		e.since = time.Now()
		if e.element == nil && !e.isEnding {
			e.element = l.unused.PushBack(e)
		}
		if l.isDraining {
			l.end(e, CauseStop)
		}
	case http.StateClosed, http.StateHijacked:
		l.unlist(e)
		if e.isEnding {
			l.ending--
		}
		delete(l.conns, e.conn)
		l.reportDrained()
	}
}

// hasStopped reports whether no more connections are accepted.
func (l *Limiter) hasStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDraining
}

// Run closes the connections that have been unused for too long until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	return radish.Every(ctx, sweepInterval, l.sweep)
}

// sweep closes the connections that have been unused for too long.
func (l *Limiter) sweep(now time.Time) {
	headerTimeout, idleTimeout := l.HeaderTimeout(), l.IdleTimeout()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logFull(now)
	// It may hold connections that have been closed since.
	l.stalled = nil
	for element := l.unused.Front(); element != nil; {
		e := element.Value.(*entry)
		element = element.Next()
		timeout := idleTimeout
		if e.isNew {
			timeout = headerTimeout
		}
		if timeout > 0 && now.Sub(e.since) >= timeout {
			l.end(e, CauseIdle)
		}
	}
}
