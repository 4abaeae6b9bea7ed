package radishplacement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishlease"
)

// fakeLease is a lease that a test sets.
type fakeLease struct {
	held   radishlease.Held
	isHeld func() bool
}

func (l *fakeLease) IsHeld() bool              { return l.isHeld == nil || l.isHeld() }
func (l *fakeLease) Current() radishlease.Held { return l.held }

// fakeEngines are targets that take every order and answer it with err.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]radish.EngineReport
	silent  map[string]bool
	ordered []string
	err     error
}

func (f *fakeEngines) Engine(_ context.Context, t radish.Target) (radish.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent[t.Name] {
		return radish.EngineReport{}, radish.ErrUnavailable
	}
	return f.engines[t.Name], nil
}

func (f *fakeEngines) Order(_ context.Context, o *radish.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ordered = append(f.ordered, o.Target.Name)
	return f.err
}

func newTestPlacer(lease *fakeLease, engines *fakeEngines, checksFencing bool) *Placer {
	group := Group{Service: "llm", ChecksFencing: checksFencing}
	for i := range 4 {
		group.Wants = append(group.Wants, Want{Target: radish.Target{Name: fmt.Sprint(i)}, Engine: radish.Engine{Model: "new"}, AtATime: 2})
	}
	return &Placer{
		Lease: lease, Client: engines, Plan: func() Plan { return Plan{Generation: 5, Groups: []Group{group}} },
		Newest:   func(context.Context) (uint64, error) { return 5, nil },
		Interval: time.Second, OrderTimeout: 2 * time.Second, Log: hclog.NewNullLogger(),
	}
}

// TestOrdersOfOneRound covers which orders one round gives.
func TestOrdersOfOneRound(t *testing.T) {
	placed := radish.EngineReport{Engine: radish.Engine{Model: "new"}}
	loading := radish.EngineReport{IsLoading: true}
	for _, test := range []struct {
		name    string
		engines *fakeEngines
		want    string
	}{
		{"as many at a time as may load", &fakeEngines{}, "[0 1]"},
		{"a target that loads counts", &fakeEngines{engines: map[string]radish.EngineReport{"3": loading}}, "[0]"},
		{"a placed target needs nothing", &fakeEngines{engines: map[string]radish.EngineReport{"0": placed, "1": placed}}, "[2 3]"},
		{"a silent target waits", &fakeEngines{silent: map[string]bool{"0": true}}, "[1 2]"},
		{"an order that may have been taken counts", &fakeEngines{err: radish.ErrTargetFailed}, "[0 1]"},
		{"an order that was not sent does not count", &fakeEngines{err: radish.ErrNotSent}, "[0 1 2 3]"},
		{"a fenced order does not count", &fakeEngines{err: radish.ErrFenced}, "[0 1 2 3]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			newTestPlacer(&fakeLease{held: radishlease.Held{Term: 1, Since: time.Now()}}, test.engines, false).round(t.Context())
			if got := fmt.Sprint(test.engines.ordered); got != test.want {
				t.Errorf("ordered %s, want %s", got, test.want)
			}
		})
	}
}

// TestNewHolderWaits covers when a new holder of the lease may order targets that check no fencing number.
func TestNewHolderWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var engines fakeEngines
		lease := &fakeLease{held: radishlease.Held{Term: 2, Since: time.Now()}}
		p := newTestPlacer(lease, &engines, false)
		newest, err := uint64(6), error(nil)
		p.Newest = func(context.Context) (uint64, error) { return newest, err }
		expect := func(want int, when string) {
			p.round(t.Context())
			if len(engines.ordered) != want {
				t.Fatalf("%s: %d orders, want %d", when, len(engines.ordered), want)
			}
		}
		time.Sleep(p.OrderTimeout)
		expect(0, "while orders of the predecessor may arrive")
		time.Sleep(arrivalMargin)
		expect(0, "with a configuration behind the newest")
		err = errors.New("outage")
		expect(0, "without an answer of the platform")
		newest, err = 5, nil
		expect(2, "after all that")
		lease.held = radishlease.Held{Term: 3, Since: time.Now()}
		expect(2, "in a later term")
		p = newTestPlacer(lease, &engines, true)
		expect(4, "at targets that check")
	})
}

// TestLapsedLeaseOrdersNothing lets the lease lapse between the reports and the send.
func TestLapsedLeaseOrdersNothing(t *testing.T) {
	var engines fakeEngines
	asked := 0
	lease := &fakeLease{held: radishlease.Held{Term: 1, Since: time.Now()}, isHeld: func() bool { asked++; return asked == 1 }}
	newTestPlacer(lease, &engines, true).round(t.Context())
	if len(engines.ordered) != 0 {
		t.Errorf("ordered %v without the lease", engines.ordered)
	}
}

// TestOrdersAreNotOvertaken leaves an order without an answer: the next round begins when it cannot arrive any more.
func TestOrdersAreNotOvertaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{err: context.DeadlineExceeded}
		began := time.Now()
		newTestPlacer(&fakeLease{held: radishlease.Held{Term: 1, Since: began}}, engines, false).round(t.Context())
		if took := time.Since(began); took < arrivalMargin {
			t.Errorf("the round ended %v after an order that may still arrive", took)
		}
	})
}
