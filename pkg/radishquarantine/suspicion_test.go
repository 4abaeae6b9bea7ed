package radishquarantine

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestPartsOfFirstCrashAreSuspected guards against a call that is sent to two targets at once although a target has ended under its prompt.
func TestPartsOfFirstCrashAreSuspected(t *testing.T) {
	q := &Quarantine{}
	now := time.Unix(1_000_000, 0)
	if q.IsSuspected("s", []string{"a"}, now) || q.IsSuspected("s", nil, now) {
		t.Error("suspected without a crash")
	}
	q.RecordAnswer("s", []string{"known"}, now)
	q.RecordCrash(radish.Target{Name: "t1", Service: "s"}, []string{"a", "known"}, now.Add(time.Second))
	now = now.Add(2 * time.Second)
	if !q.IsSuspected("s", []string{"x", "a"}, now) {
		t.Error("part of a crash is not suspected")
	}
	if q.IsSuspected("other", []string{"a"}, now) || q.IsSuspected("s", []string{"known", "x"}, now) {
		t.Error("suspected at another service, or though it was answered shortly before")
	}
	q.RecordAnswer("s", []string{"a"}, now)
	if q.IsSuspected("s", []string{"a"}, now.Add(time.Second)) {
		t.Error("suspected though it was answered since")
	}
}
