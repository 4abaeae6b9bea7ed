package e2e_test

import (
	"errors"
	"os/exec"
	"strings"
	"testing"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

// doctor runs the self-check with the VM's settings and returns its lines and whether all checks passed.
func (s *site) doctor(vm *siteVM) (text string, ok bool) {
	s.t.Helper()
	out, err := exec.Command(s.binary, "doctor", "--site", vm.args[2]).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Fatal(err)
	}
	return string(out), err == nil
}

// TestDoctorOnTheUsersPlatform checks a VM that runs, one that has never run, and one whose store does not answer.
func TestDoctorOnTheUsersPlatform(t *testing.T) {
	s := newSite(t)
	s.addTarget(&radishadaptertest.Target{ID: "i-1"}, "plain")
	vm := s.start("front-1")
	if text, ok := s.doctor(vm); !ok || !strings.Contains(text, "ok     own record") || !strings.Contains(text, "routes") {
		t.Errorf("a VM that runs: %s", text)
	}
	if text, ok := s.doctor(s.newVM("front-2", s.address)); ok || !strings.Contains(text, "FAILED own record: not in the store: front-2") {
		t.Errorf("a VM that never ran: %s", text)
	}
	free := system{t: t}
	if text, ok := s.doctor(s.newVM("front-3", free.freePort())); ok || !strings.Contains(text, "FAILED store, config") {
		t.Errorf("a store that does not answer: %s", text)
	}
}
