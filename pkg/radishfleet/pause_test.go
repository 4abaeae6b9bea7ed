package radishfleet

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

func pauseOf(d time.Duration) radish.TargetNotice { return radish.TargetNotice{Pause: d} }

// TestPausedTargetIsNotPicked checks the end of pauses: the latest one in force counts, also if the target is the last one, ejected or
// cold, and a later start of the target ends it.
func TestPausedTargetIsNotPicked(t *testing.T) {
	paused := startedTarget("t1", 5)
	tests := []struct {
		name      string
		set       func(f *Fleet)
		wantPause time.Duration
	}{
		{"0.3 s", func(f *Fleet) { f.Observe(paused, pauseOf(300*time.Millisecond), testStart) }, 300 * time.Millisecond},
		{"30 s", func(f *Fleet) { f.Observe(paused, pauseOf(30*time.Second), testStart) }, 30 * time.Second},
		{"none", func(f *Fleet) { f.Observe(paused, radish.TargetNotice{}, testStart) }, 0},
		{"a longer one, then a shorter one", func(f *Fleet) {
			f.Observe(paused, pauseOf(2*time.Second), testStart)
			f.Observe(paused, pauseOf(time.Second), testStart)
		}, 2 * time.Second},
		{"a shorter one, then a longer one", func(f *Fleet) {
			f.Observe(paused, pauseOf(time.Second), testStart)
			f.Observe(paused, pauseOf(2*time.Second), testStart)
		}, 2 * time.Second},
		{"and its record is stored again", func(f *Fleet) {
			f.Observe(paused, pauseOf(time.Second), testStart)
			f.Set(paused, testStart)
		}, time.Second},
		{"and it is ejected", func(f *Fleet) {
			f.Observe(paused, pauseOf(time.Second), testStart)
			f.Report("t1", Outcome{Failed: true, Down: true}, testStart)
		}, time.Second},
		{"and it is cold", func(f *Fleet) {
			cold := paused
			cold.ColdRemaining = time.Minute
			f.Set(cold, testStart)
			f.Observe(paused, pauseOf(time.Second), testStart)
		}, time.Second},
		{"and it starts again", func(f *Fleet) {
			f.Observe(paused, pauseOf(time.Minute), testStart)
			f.Set(startedTarget("t1", 6), testStart)
		}, 0},
		{"after it started again", func(f *Fleet) {
			f.Set(startedTarget("t1", 6), testStart)
			f.Observe(paused, pauseOf(time.Minute), testStart)
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(paused)
			test.set(f)
			q := Query{Service: "s", HasColdLimit: true}
			if _, ok := f.Pick(q, testStart.Add(test.wantPause-time.Millisecond)); ok && test.wantPause > 0 {
				t.Error("picked before the pause ended")
			}
			if got := f.UntilResumed("s", testStart); got != test.wantPause {
				t.Errorf("resumes after %v, want %v", got, test.wantPause)
			}
			if _, ok := f.Pick(q, testStart.Add(test.wantPause)); !ok {
				t.Error("not picked when the pause has ended")
			}
		})
	}
}

// TestCallsAfterPauseGrowStepByStep replays 200 calls that wait for the only target. Its calls must begin with one and double.
func TestCallsAfterPauseGrowStepByStep(t *testing.T) {
	f := newFleet(startedTarget("t1", 5))
	f.Observe(startedTarget("t1", 5), pauseOf(time.Second), testStart)
	sent := 0
	for step := range rampSteps {
		now := testStart.Add(time.Second + time.Duration(step)*rampStep)
		for range 200 {
			if _, ok := f.Pick(Query{Service: "s"}, now); ok {
				sent++
			}
		}
		if want := 1 << step; sent != want {
			t.Errorf("%d calls %v after the pause, want %d", sent, time.Duration(step)*rampStep, want)
		}
	}
	if _, ok := f.Pick(Query{Service: "s"}, testStart.Add(time.Second+rampSteps*rampStep)); !ok {
		t.Error("the calls are still limited")
	}
}

// TestUntilResumed checks the time until a service can be sent to again.
func TestUntilResumed(t *testing.T) {
	first, second := startedTarget("t1", 5), startedTarget("t2", 5)
	f := newFleet(first, second)
	if got := f.UntilResumed("s", testStart); got != 0 {
		t.Errorf("no pause: %v", got)
	}
	f.Observe(first, pauseOf(3*time.Second), testStart)
	if got := f.UntilResumed("s", testStart); got != 0 || !f.HasUsableTarget("s", testStart) {
		t.Errorf("one of two paused: %v", got)
	}
	f.Observe(second, pauseOf(2*time.Second), testStart)
	if got := f.UntilResumed("s", testStart); got != 2*time.Second || f.HasUsableTarget("s", testStart) {
		t.Errorf("both paused: %v, want the earlier end", got)
	}
	f.Observe(second, radish.TargetNotice{IsLeaving: true}, testStart)
	if got := f.UntilResumed("s", testStart); got != 3*time.Second {
		t.Errorf("one paused, one leaving: %v", got)
	}
	f.Observe(first, radish.TargetNotice{IsLeaving: true}, testStart)
	if got := f.UntilResumed("s", testStart); got != 0 || f.HasUsableTarget("s", testStart) {
		t.Errorf("both leaving: %v", got)
	}
}
