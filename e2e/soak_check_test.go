package e2e_test

import (
	"net/http"
	"strings"
	"time"
)

// checkRecovery checks that all VMs serve both kinds of request soon after the last fault, and follow changes.
func (s *soak) checkRecovery() {
	end := time.Now().Add(soakRecover)
	for _, vm := range s.vms {
		if !vm.isReady(time.Until(end)) {
			s.t.Errorf("%s is not ready %v after the last fault", vm.name, soakRecover)
			continue
		}
		for _, isStaged := range []bool{false, true} {
			for inRow := 0; inRow < 3; {
				if call := s.send(http.DefaultClient, vm, isStaged); call.status == http.StatusOK {
					inRow++
				} else {
					inRow = 0
				}
				if time.Now().After(end) {
					s.t.Errorf("%s does not serve %v after the last fault (staged: %v)", vm.name, soakRecover, isStaged)
					return
				}
			}
		}
	}
}

// checkCalls compares what callers saw with what ran at targets.
func (s *soak) checkCalls() {
	ran := make(map[string]int)
	for _, target := range s.plain {
		for id, n := range target.Ran() {
			ran[id] += n
		}
	}
	overdue, held := 0, 0
	statuses := make(map[int]int)
	for _, c := range s.calls {
		statuses[c.status]++
		s.checkCall(c, ran[c.id])
		if c.calm && c.took > soakDeadline {
			overdue++
			if c.took > soakDeadline+soakAnswer {
				held++
			}
		}
	}
	if overdue >= 8 && 2*held > overdue {
		s.t.Errorf("%d of %d requests past their deadline had no answer %v later", held, overdue, soakAnswer)
	}
	s.t.Logf("%d requests, by status: %v; %d past their deadline, %d of them held", len(s.calls), statuses, overdue, held)
	if statuses[http.StatusOK] == 0 {
		s.t.Error("no request was answered")
	}
	for _, target := range append(s.plain, s.engines...) {
		for _, h := range target.Headers() {
			if h.Get("Tenant") != "roads" || h.Get("Authorization") != "" {
				s.t.Errorf("%s got the headers %v", target.ID, h)
			}
		}
	}
}

const wholeStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\nid: 5\ndata: token 5\n\n"

func (s *soak) checkCall(c soakCall, ran int) {
	isPlain := strings.HasPrefix(c.path, "/plain/")
	want := wholeStream
	if isPlain {
		want = "POST " + c.path + " " + c.id
	}
	switch {
	case isPlain && ran > 1:
		s.t.Errorf("%s at %s ran %d times", c.id, c.vm, ran)
	case c.status == http.StatusOK && c.body != want:
		s.t.Errorf("%s at %s got %q, want %q", c.id, c.vm, c.body, want)
	case c.status == http.StatusOK && isPlain && ran != 1:
		s.t.Errorf("%s at %s was answered and ran %d times", c.id, c.vm, ran)
	case isPlain && ran > 0 && (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests):
		s.t.Errorf("%s at %s was refused as not run and ran", c.id, c.vm)
	case c.status == http.StatusUnauthorized || c.status == http.StatusNotFound || c.status == http.StatusBadRequest:
		s.t.Errorf("%s at %s was refused with %d: %s", c.id, c.vm, c.status, c.body)
	}
}
