package radishsite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishrollout"
)

// Limits and load of the tests of rollouts.
const (
	testShare    = 0.1
	testSlack    = 50
	testRevert   = 5 * time.Second
	testDuration = 12 * time.Second
	// callInterval is the time between two calls of a VM, and callTime how long a call usually takes.
	callInterval = 20 * time.Millisecond
	callTime     = 40 * time.Millisecond
)

// rolloutVM is a VM with the limits on exposure in force.
type rolloutVM struct {
	*testVM
	manager  *rolloutManager
	reporter *rolloutReporter
	cancel   context.CancelFunc
}

// sentCall is a call that a target got.
type sentCall struct {
	version, vm, route string
	at, endedAt        time.Time
	bad                bool
}

// rolloutCluster is some VMs with callers, targets of two or more versions of the service "s", and a store.
type rolloutCluster struct {
	t       *testing.T
	ctx     context.Context
	network *pipeNetwork
	store   *orderStore
	vms     []*rolloutVM
	records []radish.Record
	targets []radish.Target
	// fault returns how a version answers a call: whether it fails, and the factor by which it takes longer.
	fault func(c sentCall, inFlight int) (failed bool, slow float64)

	mu       sync.Mutex
	calls    []sentCall
	refused  int
	inFlight map[string]int
	running  sync.WaitGroup
	// oldResults is the number of results that each VM has at old targets.
	oldResults atomic.Int64
}

// newRolloutCluster starts n VMs, with n targets each of the versions v1 and v2. The callers end before the VMs.
func newRolloutCluster(t *testing.T, n int) *rolloutCluster {
	ctx, cancel := context.WithCancel(t.Context())
	c := &rolloutCluster{
		t: t, ctx: ctx, network: &pipeNetwork{listeners: make(map[string]chan net.Conn)}, store: newOrderStore(), inFlight: make(map[string]int),
		fault: func(sentCall, int) (bool, float64) { return false, 1 },
	}
	for i, vm := range newListedVMs(t, c.network, n) {
		c.records = vm.mirror.Records(radish.RecordVM)
		c.vms = append(c.vms, nil)
		c.startVM(i, vm)
	}
	c.addTargets("v1")
	c.addTargets("v2")
	t.Cleanup(func() {
		cancel()
		for _, vm := range c.vms {
			c.stopVM(vm)
		}
		c.running.Wait()
		time.Sleep(5 * time.Second)
	})
	time.Sleep(time.Second)
	return c
}

// startVM starts a VM, which knows the targets and the orders.
func (c *rolloutCluster) startVM(i int, vm *testVM) {
	manager := &rolloutManager{
		self: radishrollout.Source{VM: vm.self.Name, Incarnation: vm.self.Incarnation},
		settings: func() *radish.PlatformSettings {
			return &radish.PlatformSettings{HasExposureLimit: true, ExposureShare: testShare, ExposureSlack: testSlack, RevertWithin: testRevert}
		},
		vmCount: vm.listedVMCount, log: hclog.NewNullLogger(),
	}
	vm.rollouts, vm.state.rollouts, vm.state.fleet.Versions = manager, manager, manager
	for _, t := range c.targets {
		vm.state.fleet.Set(t, time.Now())
	}
	view := &storeView{orderStore: c.store, vm: vm.self.Name}
	ctx, cancel := context.WithCancel(c.ctx)
	r := &rolloutVM{testVM: vm, manager: manager, cancel: cancel}
	r.reporter = &rolloutReporter{manager: manager, peers: vm.peerManager, store: view, records: view, onChange: func() {},
		oldResults: func(string, string) int { return int(c.oldResults.Load()) }, log: hclog.NewNullLogger()}
	c.vms[i] = r
	c.store.mu.Lock()
	c.store.vms[vm.self.Name] = r
	c.store.mu.Unlock()
	records, revision, _ := view.List(ctx, radish.RecordRollout)
	vm.applyChanges(vm.mirror.Replace(radish.RecordRollout, records, revision), "store")
	vm.start(ctx)
	c.running.Go(func() { _ = r.reporter.Run(ctx) })
	c.running.Go(func() { c.runCallers(ctx, r) })
}

// stopVM ends a VM as a kill does.
func (c *rolloutCluster) stopVM(vm *rolloutVM) {
	c.store.mu.Lock()
	delete(c.store.vms, vm.self.Name)
	c.store.mu.Unlock()
	c.network.disconnect(vm.self.Name)
	vm.cancel()
	vm.stop()
}

// restart starts the VM again, with another incarnation and without what it knew.
func (c *rolloutCluster) restart(i int) {
	vm := newTestVM(c.network, c.vms[i].self.Name, func() []string { return nil })
	vm.self.Incarnation = c.vms[i].self.Incarnation + 1
	vm.mirror.ApplyUpTo(radish.RecordVM, c.records, radish.Revision(len(c.records)))
	c.startVM(i, vm)
}

// vm returns the VM with the name.
func (c *rolloutCluster) vm(name string) *rolloutVM {
	for _, vm := range c.vms {
		if vm.self.Name == name {
			return vm
		}
	}
	return nil
}

// addTargets registers targets of another version.
func (c *rolloutCluster) addTargets(version string) {
	for i := range c.vms {
		t := radish.Target{
			Name: fmt.Sprint(version, "-", i), Address: fmt.Sprintf("10.0.%s.%d:80", version[1:], i+1), DataCentre: "a", Service: "s", Slots: 8, Version: version,
		}
		c.targets = append(c.targets, t)
		for _, vm := range c.vms {
			vm.state.fleet.HoldNewVersions()
			vm.state.fleet.Set(t, time.Now())
		}
	}
}

// relist has all VMs read the orders, as followers do.
func (c *rolloutCluster) relist() {
	for _, vm := range c.vms {
		records, revision, err := vm.reporter.records.List(c.ctx, radish.RecordRollout)
		if err == nil {
			vm.applyChanges(vm.mirror.Replace(radish.RecordRollout, records, revision), "store")
		}
	}
}

// runCallers sends the VM's calls until ctx ends.
func (c *rolloutCluster) runCallers(ctx context.Context, vm *rolloutVM) {
	for !vm.manager.knowsHistory() && radish.Sleep(ctx, callInterval) {
	}
	for radish.Sleep(ctx, callInterval/2+rand.N(callInterval)) {
		route := []string{"first", "second"}[rand.IntN(2)]
		t, ok := vm.state.fleet.Pick(radishfleet.Query{Service: "s", Route: route}, time.Now())
		if !ok {
			c.mu.Lock()
			c.refused++
			c.mu.Unlock()
			continue
		}
		c.running.Go(func() { c.call(vm, t, route) })
	}
}

// call lets the target answer a call.
func (c *rolloutCluster) call(vm *rolloutVM, t radish.Target, route string) {
	call := sentCall{version: t.Version, vm: vm.self.Name, route: route, at: time.Now()}
	c.mu.Lock()
	c.inFlight[t.Name]++
	failed, slow := c.fault(call, c.inFlight[t.Name])
	c.mu.Unlock()
	call.bad = failed || slow > 1
	time.Sleep(time.Duration(slow * float64(callTime/2+rand.N(callTime))))
	call.endedAt = time.Now()
	c.mu.Lock()
	c.inFlight[t.Name]--
	c.calls = append(c.calls, call)
	c.mu.Unlock()
	result := radishfleet.VersionResult{Route: route, Calls: 1, Took: call.endedAt.Sub(call.at)}
	if failed {
		result.Failed = 1
	}
	// Without load reports, a VM with few calls sends all of them to the first target.
	load := radish.TargetLoad{Running: rand.IntN(t.Slots), Slots: t.Slots, Reported: true}
	vm.state.fleet.Done(t.Name, radishfleet.Outcome{ErrorResponse: failed, Load: load}, call.endedAt)
	vm.state.fleet.RecordVersionResult(t, result, call.endedAt)
}

// setFault makes calls of the version bad.
func (c *rolloutCluster) setFault(version string, fault func(c sentCall, inFlight int) (bool, float64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = func(call sentCall, inFlight int) (bool, float64) {
		if call.version != version {
			return false, 1
		}
		return fault(call, inFlight)
	}
}

// allCalls returns the calls that have ended.
func (c *rolloutCluster) allCalls() []sentCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]sentCall(nil), c.calls...)
}

// count returns the number of calls that the condition selects.
func (c *rolloutCluster) count(condition func(sentCall) bool) int {
	n := 0
	for _, call := range c.allCalls() {
		if condition(call) {
			n++
		}
	}
	return n
}

// checkFinal checks that the order ended in the state before its deadline, that running was written before, and that no final state was
// overwritten. It returns when the final state was written.
func (c *rolloutCluster) checkFinal(want radish.RolloutState, version string, deadline time.Time) time.Time {
	c.t.Helper()
	var states []string
	var finalAt time.Time
	for _, w := range c.store.statuses() {
		if w.Version == version {
			states = append(states, string(w.State))
			finalAt = w.at
		}
	}
	if got, wanted := strings.Join(states, " "), "running "+string(want); got != wanted {
		c.t.Errorf("%s: got states %q, want %q", version, got, wanted)
		return finalAt
	}
	if finalAt.After(deadline) {
		c.t.Errorf("%s: %s was written %v after the deadline", version, want, finalAt.Sub(deadline))
	}
	return finalAt
}

// checkNoCalls checks that the version got no call after the time.
func (c *rolloutCluster) checkNoCalls(version string, after time.Time) {
	c.t.Helper()
	if n := c.count(func(call sentCall) bool { return call.version == version && call.at.After(after) }); n > 0 {
		c.t.Errorf("%s got %d calls after it was to get none", version, n)
	}
}

// checkExposure checks the limits on what a bad version gets.
func (c *rolloutCluster) checkExposure(version string, orderedAt, deadline time.Time) {
	c.t.Helper()
	sent, exposed, bad := 0, 0, 0
	var fiftieth time.Time
	for _, call := range c.allCalls() {
		if call.at.Before(orderedAt) || call.at.After(deadline) {
			continue
		}
		sent++
		if call.version != version {
			continue
		}
		exposed++
		if call.bad {
			if bad++; bad == 50 {
				fiftieth = call.endedAt
			}
		}
	}
	if limit := testShare*float64(sent) + testSlack; float64(exposed) > limit {
		c.t.Errorf("%s got %d of %d calls, at most %.0f are allowed", version, exposed, sent, limit)
	}
	if !fiftieth.IsZero() {
		c.checkNoCalls(version, fiftieth.Add(testRevert))
	}
	c.t.Logf("%s got %d of %d calls, %d of them bad", version, exposed, sent, bad)
}
