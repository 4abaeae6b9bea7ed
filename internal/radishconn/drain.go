package radishconn

import (
	"context"
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
