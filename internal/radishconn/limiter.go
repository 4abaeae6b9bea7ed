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
	// minNewAge is the age from which on a connection on which no request has arrived yet may be closed in favour of another one.
	minNewAge = time.Second
	// sweepInterval is the time between two searches for connections that have been idle for too long.
	sweepInterval = time.Second
	// logInterval is the shortest time between two log lines about refused connections.
	logInterval = 5 * time.Second
)

// Limiter bounds the open connections of an HTTP server. Its exported fields must be set before first use.
type Limiter struct {
	// Max returns the highest number of open connections; 0 means no limit.
	Max func() int
	// HeaderTimeout returns how long a new connection may stay open without a request, IdleTimeout how long one may be idle between two
	// requests; 0 means no limit.
	HeaderTimeout, IdleTimeout func() time.Duration
	Log                        hclog.Logger

	mu    sync.Mutex
	conns map[net.Conn]*conn
	// unused holds the connections without a request, in the order in which they became so.
	unused   list.List
	refused  int64
	closed   int64
	loggedAt time.Time
}

// conn is an open connection.
type conn struct {
	net.Conn
	isNew bool
	// since is when the connection was accepted or its last request ended.
	since time.Time
	// element is the connection's place in Limiter.unused; nil while it has a request.
	element *list.Element
}

// Stats counts the connections of a [Limiter].
type Stats struct {
	Open int
	// Refused is the number of connections that were closed when they were accepted, Closed that of unused ones that were closed later.
	Refused, Closed int64
}

// Stats returns the current counts.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Stats{Open: len(l.conns), Refused: l.refused, Closed: l.closed}
}

// Listener returns a listener that accepts connections of the inner one within the limit. It closes those beyond the limit, unless an
// unused one can be closed instead.
func (l *Limiter) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.limiter.admit(c, time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

// admit registers the connection, or returns false if there are too many.
func (l *Limiter) admit(c net.Conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit := l.Max(); limit > 0 && len(l.conns) >= limit && !l.closeOldestUnused(now) {
		l.refused++
		l.logRefusal(limit, now)
		return false
	}
	if l.conns == nil {
		l.conns = make(map[net.Conn]*conn)
	}
	entry := &conn{Conn: c, isNew: true, since: now}
	entry.element = l.unused.PushBack(entry)
	l.conns[c] = entry
	return true
}

// logRefusal logs at most one line in logInterval, since refusals come in crowds.
func (l *Limiter) logRefusal(limit int, now time.Time) {
	if now.Sub(l.loggedAt) < logInterval {
		return
	}
	l.loggedAt = now
	l.Log.Warn("caller's connection refused, too many are open", "open", len(l.conns), "limit", limit, "refused", l.refused, "closed", l.closed)
}

// closeOldestUnused closes the connection that has been without a request for the longest time and reports whether there was one.
func (l *Limiter) closeOldestUnused(now time.Time) bool {
	for e := l.unused.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if c.isNew && now.Sub(c.since) < minNewAge {
			continue
		}
		l.close(c, CauseDisplaced)
		return true
	}
	return false
}

// close closes an unused connection. The caller holds the lock.
func (l *Limiter) close(c *conn, cause Cause) {
	l.closed++
	l.remove(c)
	if counted, ok := c.Conn.(*Conn); ok {
		counted.setCause(cause)
	}
	_ = c.Close()
}

func (l *Limiter) remove(c *conn) {
	delete(l.conns, c.Conn)
	if c.element != nil {
		l.unused.Remove(c.element)
		c.element = nil
	}
}

// ConnState is the server's hook for changes of a connection's state.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.conns[c]
	if entry == nil {
		return
	}
	switch state {
	case http.StateActive:
		entry.isNew = false
		if entry.element != nil {
			l.unused.Remove(entry.element)
			entry.element = nil
		}
	case http.StateIdle:
		entry.since = time.Now()
		if entry.element == nil {
			entry.element = l.unused.PushBack(entry)
		}
	case http.StateClosed, http.StateHijacked:
		l.remove(entry)
	}
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
	for e := l.unused.Front(); e != nil; {
		c := e.Value.(*conn)
		e = e.Next()
		timeout := idleTimeout
		if c.isNew {
			timeout = headerTimeout
		}
		if timeout > 0 && now.Sub(c.since) >= timeout {
			l.close(c, CauseIdle)
		}
	}
}
