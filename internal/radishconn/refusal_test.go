package radishconn

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"radishramp.example/radishramp/internal/radishmemory"
)

// TestRefusalOfHeadReachesItsCaller guards against refusals that are lost since the caller still sends, and against requests that are handled
// after their refusal.
func TestRefusalOfHeadReachesItsCaller(t *testing.T) {
	const callers, enough, none = 20, 1 << 30, 1
	for _, isKept := range []bool{false, true} {
		s := newTestServer(t, 0)
		var budget atomic.Int64
		s.heads.Account = &radishmemory.Account{Budget: budget.Load}
		request := "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 32000\r\n\r\n" + strings.Repeat("x", 32_000)
		for range callers {
			budget.Store(enough)
			c := s.dial()
			if isKept {
				s.mustExchange(c)
			}
			handledBefore := s.handled.Load()
			budget.Store(none)
			if err := c.send(request); err != nil {
				t.Fatal(err)
			}
			if status, err := c.status(); status != http.StatusServiceUnavailable || err != nil {
				t.Errorf("kept %t: status %d, error %v", isKept, status, err)
			}
			if rest, err := io.ReadAll(c.reader); len(rest) > 0 || err != nil {
				t.Errorf("kept %t: after the refusal: %q, error %v", isKept, rest, err)
			}
			if s.handled.Load() != handledBefore {
				t.Errorf("kept %t: the request was handled", isKept)
			}
		}
		select {
		case d := <-s.drops:
			t.Errorf("kept %t: a refused request counts as dropped: %+v", isKept, d)
		default:
		}
	}
}
