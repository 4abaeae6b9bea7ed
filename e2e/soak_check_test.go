package e2e_test

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// checkRecovery checks that each VM serves three requests of both kinds in a row soon after the last fault. All VMs are checked at once, so that
// the time does not depend on their number.
func (s *soak) checkRecovery() {
	deadline := time.Now().Add(soakRecoveryTimeout)
	var checks sync.WaitGroup
	for _, vm := range s.vms {
		checks.Go(func() { s.checkRecoveryOf(vm, deadline) })
	}
	checks.Wait()
}

func (s *soak) checkRecoveryOf(vm *soakVM, deadline time.Time) {
	if !vm.waitUntilReady(time.Until(deadline)) {
		s.t.Errorf("%s was not ready %v after the last fault", vm.name, soakRecoveryTimeout)
		return
	}
	for _, isStaged := range []bool{false, true} {
		for successes := 0; successes < 3; {
			if call := s.send(http.DefaultClient, vm, isStaged); call.status == http.StatusOK {
				successes++
			} else {
				successes = 0
			}
			if time.Now().After(deadline) {
				s.t.Errorf("%s did not serve three requests in a row within %v after the last fault (staged: %v)", vm.name, soakRecoveryTimeout, isStaged)
				return
			}
		}
	}
}

// checkCalls compares the responses that callers got with the requests that ran at the targets. Individual late responses
// are tolerated: it fails if most of at least 8 overdue requests had none even after soakResponseGrace.
func (s *soak) checkCalls() {
	runs := make(map[string]int)
	for _, target := range append(s.plainTargets, s.engineTargets...) {
		for id, n := range target.Executions() {
			runs[id] += n
		}
	}
	overdue, unanswered := 0, 0
	statuses := make(map[int]int)
	for _, c := range s.calls {
		statuses[c.status]++
		s.checkCall(c, runs[c.id])
		if c.undisturbed && c.duration > soakDeadline {
			overdue++
			if c.duration > soakDeadline+soakResponseGrace {
				unanswered++
			}
		}
	}
	if overdue >= 8 && 2*unanswered > overdue {
		s.t.Errorf("%d of %d overdue requests had no response within %v after their deadline", unanswered, overdue, soakResponseGrace)
	}
	s.t.Logf("%d requests, by status: %v; %d overdue, %d of them without a response within the grace period", len(s.calls), statuses, overdue, unanswered)
	if statuses[http.StatusOK] == 0 {
		s.t.Error("no request succeeded")
	}
	for _, target := range append(s.plainTargets, s.engineTargets...) {
		for _, header := range target.Headers() {
			if header.Get("Tenant") != "roads" || header.Get("Authorization") != "" {
				s.t.Errorf("%s got the headers %v", target.ID, header)
			}
		}
	}
}

// isLost reports whether a request got no response in time from a VM that was neither killed nor paused. A VM knows that a plain response is whole
// before it passes it on; a stream may be broken off by its target.
func (c *soakCall) isLost(isPlain bool) bool {
	isWhole := c.status != 0
	return c.unharmed && c.duration < soakDeadline && !isWhole && (isPlain || !c.isAnswered)
}

// completeStream is the body of a complete streamed response.
const completeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"

// checkCall checks the response of one request, which ran the given number of times at plain targets and engines.
func (s *soak) checkCall(c soakCall, runs int) {
	isPlain := strings.HasPrefix(c.path, "/plain/")
	want := completeStream
	if isPlain {
		want = "POST " + c.path + " " + c.id
	}
	switch {
	case isPlain && runs > 1:
		s.t.Errorf("request %s at %s ran %d times, want at most once", c.id, c.vm, runs)
	case runs > 0 && c.isLost(isPlain):
		s.t.Errorf("request %s at %s ran and got no whole response after %v, though the VM was neither killed nor paused", c.id, c.vm, c.duration)
	case c.status == http.StatusOK && c.body != want:
		s.t.Errorf("request %s at %s: got body %q, want %q", c.id, c.vm, c.body, want)
	case c.status == http.StatusOK && isPlain && runs != 1:
		s.t.Errorf("request %s at %s succeeded, but ran %d times, want once", c.id, c.vm, runs)
	case isPlain && runs > 0 && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		s.t.Errorf("request %s at %s was refused as not run, but ran", c.id, c.vm)
	case c.status == http.StatusUnauthorized || c.status == http.StatusNotFound || c.status == http.StatusBadRequest:
		s.t.Errorf("request %s at %s was refused with status %d: %s", c.id, c.vm, c.status, c.body)
	}
}
