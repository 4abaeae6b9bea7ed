package e2e_test

import (
	"errors"
	"os/exec"
	"strings"
	"testing"

	"radishramp.example/radishramp/internal/radishporttest"
	"radishramp.example/radishramp/platform/radishadaptertest"
)

// runDoctor runs the doctor command with the VM's settings file, returns its output and reports whether all checks passed.
func (s *siteCluster) runDoctor(vm *siteVM) (output string, ok bool) {
	s.t.Helper()
	out, err := exec.Command(s.binary, "doctor", "--site", vm.args[2]).CombinedOutput()
	var exitErr *exec.ExitError
	if err != nil && !errors.As(err, &exitErr) {
		s.t.Fatal(err)
	}
	return string(out), err == nil
}

// TestDoctorWithSiteSettings runs doctor for a VM that runs, for one that has never run, and for one whose store does
// not respond.
func TestDoctorWithSiteSettings(t *testing.T) {
	s := newSiteCluster(t)
	s.addTarget(&radishadaptertest.Target{ID: "i-1"}, "plain")
	vm := s.startVM("front-1")
	if output, ok := s.runDoctor(vm); !ok || !strings.Contains(output, "ok     own record") || !strings.Contains(output, "routes") {
		t.Errorf("running VM: doctor printed %s", output)
	}
	if output, ok := s.runDoctor(s.newVM("front-2", s.storeAddress)); ok || !strings.Contains(output, "FAILED own record: not in the store: front-2") {
		t.Errorf("VM that never ran: doctor printed %s", output)
	}
	if output, ok := s.runDoctor(s.newVM("front-3", radishporttest.Address(t))); ok || !strings.Contains(output, "FAILED store, config") {
		t.Errorf("store that does not respond: doctor printed %s", output)
	}
}
