package radishconn

import (
	"context"
	"net"
	"sync"
	"time"
)

// drainInterval is the time between two searches for connections without a whole request during a drain.
const drainInterval = minNewAge / 4

// Drain stops accepting connections, closes the unused ones and returns when all others have been closed after their request, or with the
// error of ctx. A request that has been read is handled whenever it came: http.Server.Shutdown drops those that it reads after its start,
// and must not be called before. A connection that was just accepted, and a head that has begun, have minNewAge.
func (l *Limiter) Drain(ctx context.Context) error {
	l.startDrain()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.drained:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			l.endUnfinished(now)
		}
	}
}

// startDrain stops accepting and ends the unused connections.
func (l *Limiter) startDrain() {
	l.mu.Lock()
	l.isDraining, l.drained = true, make(chan struct{})
	l.listener.stop()
	l.reportDrained()
	l.mu.Unlock()
	l.endUnfinished(time.Now())
}

// endUnfinished ends the connections whose request has not arrived whole.
func (l *Limiter) endUnfinished(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.conns {
		hasTime := e.isNew && now.Sub(e.since) < minNewAge
		if hasTime || l.end(e, CauseStop) {
			continue
		}
		e.conn.endHead(CauseStop, minNewAge)
	}
}

// reportDrained tells Drain if the last connection has been closed. The caller holds the lock.
func (l *Limiter) reportDrained() {
	if l.isDraining && !l.isDrained && len(l.conns) == 0 {
		l.isDrained = true
		close(l.drained)
	}
}

// listener accepts connections within the limit until it is stopped.
type listener struct {
	*HeadListener
	limiter *Limiter
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener. Once the listener is stopped, it waits until the listener is closed, so that the HTTP server goes on to serve
// the open connections.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.accept()
		if err != nil {
			return nil, l.acceptError(err)
		}
		if l.limiter.admit(c, time.Now()) {
			return c, nil
		}
		_ = c.Close()
	}
}

// acceptError returns the error of Accept, after the wait for the end of a listener that was stopped.
func (l *listener) acceptError(err error) error {
	if !l.limiter.hasStopped() {
		return err
	}
	<-l.closed
	return net.ErrClosed
}

// stop makes the listener accept no more connections.
func (l *listener) stop() { _ = l.HeadListener.Close() }

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.HeadListener.Close()
	l.once.Do(func() { close(l.closed) })
	return err
}
