package radishconn

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// TestFullLimiterReportsIt guards against a VM that refuses connections and says that it is ready, and against one refusal that counts for long.
func TestFullLimiterReportsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1)
		running := open(t, l, http.StateActive)
		if l.IsFull(time.Now()) {
			t.Error("full before a connection was refused")
		}
		l.admit(newTestConn().Conn, time.Now())
		if !l.IsFull(time.Now()) || !l.IsFull(time.Now().Add(fullTime-1)) {
			t.Error("not full after a connection was refused")
		}
		if l.IsFull(time.Now().Add(fullTime)) {
			t.Error("a single refusal counts for longer than its time")
		}
		running.setState(l, http.StateClosed)
		if l.IsFull(time.Now()) {
			t.Error("full although there is room again")
		}
	})
}

// TestFullLimiterLogsBoundedly guards against a state of which the log says nothing, and against a line for each of its many changes.
func TestFullLimiterLogsBoundedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		l := newLimiter(1)
		l.Log = hclog.New(&hclog.LoggerOptions{Output: &log})
		running := open(t, l, http.StateActive)
		const changes = 10
		for range changes {
			l.admit(newTestConn().Conn, time.Now())
			l.sweep(time.Now())
			time.Sleep(fullTime)
			l.sweep(time.Now())
		}
		running.setState(l, http.StateClosed)
		l.sweep(time.Now())
		begun, ended := strings.Count(log.String(), "not ready"), strings.Count(log.String(), "room for connections of callers again")
		if most := int(changes*fullTime/logInterval) + 1; begun < 1 || begun > most || ended != begun {
			t.Errorf("%d lines for the begin of the state and %d for its end, want as many and at most %d of each", begun, ended, most)
		}
	})
}
