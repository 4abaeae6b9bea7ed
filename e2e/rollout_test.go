package e2e_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"radishramp.example/radishramp/platform/radishadaptertest"
)

// Limits of the orders that TestRollouts plays.
const (
	rolloutDuration = 12 * time.Second
	exposeShare     = 0.1
	exposeSlack     = 50
)

// playedRollout is an order and what is expected of it.
type playedRollout struct {
	service, version, want string
	// old and candidate are the targets of the version that is served and of the order's version.
	old, candidate []*radishadaptertest.Target
	orderedAt      time.Time
}

func (s *siteCluster) order(r *playedRollout) {
	r.orderedAt = time.Now()
	s.store.Put("rollouts", r.service, map[string]any{"service": r.service, "target": r.version, "duration_s": rolloutDuration.Seconds()})
}

// addVersion starts targets of a version.
func (s *siteCluster) addVersion(service, version string, n int, fault *radishadaptertest.VersionFault) []*radishadaptertest.Target {
	var targets []*radishadaptertest.Target
	for i := range n {
		targets = append(targets, s.addTarget(&radishadaptertest.Target{
			ID: fmt.Sprint(service, "-", version, "-", i), Version: version, Fault: fault, Delay: 20 * time.Millisecond, BatchDelay: 30 * time.Millisecond,
		}, service))
	}
	return targets
}

// callsBetween returns the number of calls and pieces that the targets got in the time, and the number of those that were bad.
func callsBetween(targets []*radishadaptertest.Target, from, to time.Time) (n, bad int) {
	for _, target := range targets {
		for _, call := range target.Calls() {
			if call.At.Before(from) || call.At.After(to) {
				continue
			}
			n += call.Calls
			if call.Bad {
				bad += call.Calls
			}
		}
	}
	return n, bad
}

// check checks the order's statuses, when they were written, and what the targets of both versions got.
func (s *siteCluster) check(r *playedRollout) {
	s.t.Helper()
	deadline := r.orderedAt.Add(rolloutDuration)
	var states []string
	var finalAt time.Time
	for _, w := range s.store.Statuses("rollouts", r.service) {
		var status struct{ State, Target string }
		if err := json.Unmarshal(w.Status, &status); err != nil {
			s.t.Fatal(err)
		}
		if status.Target == r.version {
			states, finalAt = append(states, status.State), w.At
		}
	}
	if got, want := fmt.Sprint(states), fmt.Sprint([]string{"running", r.want}); got != want {
		s.t.Errorf("%s %s: got states %s, want %s", r.service, r.version, got, want)
	}
	if finalAt.After(deadline) {
		s.t.Errorf("%s %s: the last state was written %v after the deadline", r.service, r.version, finalAt.Sub(deadline))
	}
	old, _ := callsBetween(r.old, r.orderedAt, deadline)
	exposed, bad := callsBetween(r.candidate, r.orderedAt, deadline)
	s.t.Logf("%s %s: %s after %v, %d of %d calls, %d of them bad", r.service, r.version, r.want, finalAt.Sub(r.orderedAt), exposed, old+exposed, bad)
	unused := r.old
	if r.want == "reverted" {
		unused = r.candidate
		if limit := exposeShare*float64(old+exposed) + exposeSlack; float64(exposed) > limit {
			s.t.Errorf("%s %s got %d calls, at most %.0f are allowed", r.service, r.version, exposed, limit)
		}
	}
	if n, _ := callsBetween(unused, finalAt, time.Now()); n > 0 {
		s.t.Errorf("%s %s: %d calls were sent to targets of the version that is not served after %s", r.service, r.version, n, r.want)
	}
}

// TestRollouts has three VMs as processes play orders for a service and for a stage service at the same time: first a bad version of the
// one and a good one of the other, then the other way round. It guards against bad versions that get more than their part of the calls,
// and against states that are wrong or late, by what the targets and the store saw. During the second orders, one VM is killed and started
// again.
func TestRollouts(t *testing.T) {
	s := newSiteCluster(t)
	s.settings = fmt.Sprintf("bounds.expose_share=%g\nbounds.expose_slack=%d\nbounds.rollback_ms=5000\n", exposeShare, exposeSlack)
	vms := []*siteVM{s.startVM("vm-1"), s.startVM("vm-2"), s.startVM("vm-3")}
	var callers sync.WaitGroup
	var stopped, isDisturbed atomic.Bool
	var failures atomic.Int64
	for n := range 12 {
		callers.Go(func() {
			path, headers := "/plain/x", map[string]string(nil)
			if n%2 == 0 {
				path, headers = "/stream/x", stagedHeaders
			}
			for !stopped.Load() {
				wasDisturbed := isDisturbed.Load()
				status, _ := s.call(vms[n%len(vms)], path, headers)
				isAnswered := status == http.StatusOK || status == http.StatusInternalServerError
				if !isAnswered && !wasDisturbed && !isDisturbed.Load() {
					failures.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	defer callers.Wait()
	defer stopped.Store(true)
	failing := &radishadaptertest.VersionFault{Every: 3}
	badPlain := &playedRollout{service: "plain", version: "v2", want: "reverted", old: s.plainTargets, candidate: s.addVersion("plain", "v2", 2, failing)}
	goodStage := &playedRollout{service: "stage", version: "v2", want: "completed", old: s.stageTargets, candidate: s.addVersion("stage", "v2", 2, nil)}
	s.order(badPlain)
	s.order(goodStage)
	time.Sleep(rolloutDuration + 500*time.Millisecond)
	s.check(badPlain)
	s.check(goodStage)
	goodPlain := &playedRollout{service: "plain", version: "v3", want: "completed", old: s.plainTargets, candidate: s.addVersion("plain", "v3", 2, nil)}
	badStage := &playedRollout{service: "stage", version: "v3", want: "reverted", old: goodStage.candidate, candidate: s.addVersion("stage", "v3", 2, failing)}
	s.order(goodPlain)
	s.order(badStage)
	time.Sleep(2 * time.Second)
	isDisturbed.Store(true)
	_ = vms[2].cmd.Process.Kill()
	_, _ = vms[2].cmd.Process.Wait()
	s.startProcess(vms[2])
	if !vms[2].waitUntilReady(readyTimeout) {
		t.Error("the killed VM did not start again")
	}
	time.Sleep(time.Second)
	isDisturbed.Store(false)
	time.Sleep(time.Until(goodPlain.orderedAt.Add(rolloutDuration + 500*time.Millisecond)))
	s.check(goodPlain)
	s.check(badStage)
	if n, _ := callsBetween(badPlain.candidate, goodPlain.orderedAt, time.Now()); n > 0 {
		t.Errorf("the reverted version of the service got %d calls during the next order", n)
	}
	if n := failures.Load(); n > 0 {
		t.Errorf("%d calls were not answered", n)
	}
}
