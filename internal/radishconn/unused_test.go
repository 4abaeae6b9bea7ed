package radishconn

import (
	"net/http"
	"testing"
	"time"
)

// TestRequestReadAsConnectionIsClosedIsAnswered guards against a request that is read, loses its connection, which passes for unused until
// its whole head is decoded, and is executed all the same: its caller got no answer.
func TestRequestReadAsConnectionIsClosedIsAnswered(t *testing.T) {
	tests := []struct {
		name  string
		limit int
		// closeUnused makes the limiter close an unused connection.
		closeUnused func(l *Limiter)
	}{
		{"idle timeout", 0, func(l *Limiter) { l.sweep(time.Now().Add(time.Hour)) }},
		{"new connection at the limit", 1, func(l *Limiter) { l.admit(&fakeConn{}, time.Now().Add(time.Hour)) }},
	}
	for _, tc := range tests {
		for _, isKept := range []bool{true, false} {
			name := tc.name + ", first request"
			if isKept {
				name = tc.name + ", kept connection"
			}
			t.Run(name, func(t *testing.T) {
				s := newTestServer(t, tc.limit)
				c, handledBefore := s.dial(), int64(0)
				if isKept {
					s.mustExchange(c)
					handledBefore = 1
				}
				closeUnused := func() { tc.closeUnused(s.limiter) }
				s.onRead.Store(&closeUnused)
				status, err := c.exchange()
				if status != http.StatusOK {
					t.Errorf("status %d, error %v; the handler ran %d times", status, err, s.handled.Load()-handledBefore)
				}
			})
		}
	}
}
