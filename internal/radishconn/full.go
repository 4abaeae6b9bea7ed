package radishconn

import "time"

// fullTime is how long a refused connection counts: two readiness probes of the platform see it.
const fullTime = 2 * time.Second

// IsFull reports whether connections are refused: one was not long ago, and there is no room for another one.
func (l *Limiter) IsFull(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFull(now)
}

// isFull is IsFull for callers that hold the lock.
func (l *Limiter) isFull(now time.Time) bool {
	if l.Max == nil || l.refusedAt.IsZero() || now.Sub(l.refusedAt) >= fullTime {
		return false
	}
	limit := l.Max()
	return limit > 0 && l.open() >= limit
}

// logFull logs that the limiter has become full, at most once in logInterval, and the end of a state that was logged.
func (l *Limiter) logFull(now time.Time) {
	isFull := l.isFull(now)
	switch {
	case isFull && !l.isFullLogged && now.Sub(l.fullLoggedAt) >= logInterval:
		l.isFullLogged, l.fullLoggedAt = true, now
		l.Log.Warn("no room for connections of callers, not ready", "open", l.open(), "refused", l.refused, "closed", l.closed)
	case !isFull && l.isFullLogged:
		l.isFullLogged = false
		l.Log.Info("room for connections of callers again", "open", l.open(), "refused", l.refused, "closed", l.closed)
	}
}
