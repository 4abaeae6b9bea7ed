package radishsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

// testVM is one VM with a flag that puts it into shutdown.
type testVM struct {
	*peerManager
	shutdown *atomic.Bool
	// stop ends a running VM and waits for that.
	stop func()
}

// newTestVM returns a VM without any records.
func newTestVM(network *pipeNetwork, name string, seeds func() []string) *testVM {
	state, shutdown := newTestState(), &atomic.Bool{}
	p := &peerManager{
		self: radish.VMRecord{Name: name, Address: name + ":1", DataCentre: "a", Incarnation: 1}, mirror: state.mirror, state: state, quarantine: &radishquarantine.Quarantine{},
		seeds: seeds, log: hclog.NewNullLogger(), gossipNow: make(chan struct{}, 1), isLeaving: shutdown.Load,
	}
	listener := network.listen(p.self.Address)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := network.dial(ctx, name+":1", address)
		if err != nil {
			return nil, err
		}
		return network.limitRate(conn, listener.uplink), nil
	}
	p.node = &radishpeer.Node{Name: name, Listener: listener, Handler: p, Dial: dial, Log: hclog.NewNullLogger()}
	return &testVM{peerManager: p, shutdown: shutdown}
}

// start runs the VM until ctx ends or stop is called.
func (vm *testVM) start(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { _ = vm.node.Run(ctx) })
	running.Go(func() { _ = vm.Run(ctx) })
	vm.stop = func() {
		cancel()
		running.Wait()
	}
	synctest.Wait()
	vm.updateLinks()
}

// startVMs runs n VMs that have each other's records from the store.
func startVMs(t *testing.T, n int) []*testVM {
	return startVMsOn(t, &pipeNetwork{listeners: make(map[string]chan net.Conn)}, n)
}

// newListedVMs returns n VMs that have each other's records from the store but do not run yet.
func newListedVMs(t *testing.T, network *pipeNetwork, n int) []*testVM {
	var records []radish.Record
	var vms []*testVM
	for i := range n {
		vm := newTestVM(network, fmt.Sprint("vm-", i), func() []string { return nil })
		value, err := json.Marshal(vm.self)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, radish.Record{Kind: radish.RecordVM, Name: vm.self.Name, Revision: radish.Revision(i + 1), Value: value})
		vms = append(vms, vm)
	}
	for _, vm := range vms {
		vm.mirror.ApplyUpTo(radish.RecordVM, records, radish.Revision(n))
	}
	return vms
}

func startVMsOn(t *testing.T, network *pipeNetwork, n int) []*testVM {
	vms := newListedVMs(t, network, n)
	ctx, cancel := context.WithCancel(t.Context())
	for _, vm := range vms {
		vm.start(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, vm := range vms {
			vm.stop()
		}
		// Data in transit over a slow link arrives a little later.
		time.Sleep(time.Second)
	})
	time.Sleep(time.Second)
	return vms
}

// inBubble runs the test in a synctest bubble. yamux pools its timers, and a timer must not be used in another bubble,
// so the garbage collections empty the pool first.
func inBubble(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// TestConfigurationReachesVMsWithoutStore checks that a configuration that one VM has reaches all others by gossip in
// less than the two seconds within which it must be in force.
func TestConfigurationReachesVMsWithoutStore(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 12)
		changed := vms[0].mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "main", Revision: 70}}, 70)
		vms[0].applyChanges(changed, "store")
		time.Sleep(1500 * time.Millisecond)
		for _, vm := range vms {
			if cfg := vm.state.config.Load(); cfg == nil || cfg.Version != 70 {
				t.Errorf("%s has not received the configuration", vm.self.Name)
			}
		}
	})
}

// TestReplayLargeConfigurationOverSlowLinks gives one VM a configuration of 1,250 routes, as when routes are added
// while the store rejects requests of the other VMs. With uplinks of 10 Mbit/s, all VMs must have the whole
// configuration within the three seconds in which it must be in force, and no link may break.
func TestReplayLargeConfigurationOverSlowLinks(t *testing.T) {
	const deadline = 3 * time.Second
	inBubble(t, func(t *testing.T) {
		network := &pipeNetwork{listeners: make(map[string]chan net.Conn), bytesPerSecond: 10_000_000 / 8}
		vms := startVMsOn(t, network, 24)
		var routes []string
		for n := range 1250 {
			routes = append(routes, fmt.Sprintf(`{"name":"r-%x","host":"%x.example","path_prefix":"/%x/%x/","service":"s-%d","kind":"safe","timeout_ms":%d,`+
				`"target_latency_ms":120,"max_attempts":2,"priority":2,"gap_aim_ms":500,"resumable":false,"stages":[]}`, n*7919, n%40, n*104729, n*1299709, n%5, 800+n))
		}
		value, err := json.Marshal(routes)
		if err != nil {
			t.Fatal(err)
		}
		changed := vms[0].mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{
			{Kind: radish.RecordConfig, Name: "main", Revision: 70, Value: value},
		}, 70)
		vms[0].applyChanges(changed, "store")
		time.Sleep(deadline)
		for _, vm := range vms {
			if cfg := vm.state.config.Load(); cfg == nil || cfg.Version != 70 {
				t.Errorf("%s has not received the configuration of %d bytes", vm.self.Name, len(value))
				continue
			}
			if records := vm.mirror.Records(radish.RecordConfig); string(records[0].Value) != string(value) {
				t.Errorf("%s has a different configuration", vm.self.Name)
			}
			if n := len(vm.node.Linked()); n != len(vms)-1 {
				t.Errorf("%s has links to %d VMs, want %d", vm.self.Name, n, len(vms)-1)
			}
		}
	})
}

func TestVMsAgreeOnCoordinator(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 6)
		coordinator := vms[0].coordinatorsFor(0, 1)[0]
		for _, vm := range vms {
			if got := vm.coordinatorsFor(0, 1)[0]; got != coordinator {
				t.Errorf("%s chooses coordinator %s, vm-0 chooses %s", vm.self.Name, got, coordinator)
			}
		}
		checkers := 0
		for _, vm := range vms {
			if vm.isChecker(radish.RecordConfig) {
				checkers++
			}
		}
		if checkers != 2 {
			t.Errorf("%d VMs are checkers of the configuration, want 2", checkers)
		}
	})
}

func TestLeavingVMIsNotCoordinator(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 4)
		coordinator := vms[0].coordinatorsFor(0, 1)[0]
		for _, vm := range vms {
			if vm.self.Name == coordinator {
				vm.shutdown.Store(true)
				vm.announceLeaving(t.Context())
			}
		}
		for _, vm := range vms {
			if got := vm.coordinatorsFor(0, 1)[0]; got == coordinator {
				t.Errorf("%s still chooses coordinator %s, which is shutting down", vm.self.Name, got)
			}
		}
	})
}

// TestRestartedVMIsAvailable guards against treating a restarted VM as still shutting down. Its new incarnation is
// smaller than the one that left, as after a jump of the wall clock.
func TestRestartedVMIsAvailable(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 2)
		restarted := vms[1].self
		vms[0].handleHeartbeat(&radishpeerpb.SiteHeartbeat{Vm: restarted.Name, Leaving: true, Incarnation: 9})
		restarted.Incarnation = 4
		value, err := json.Marshal(restarted)
		if err != nil {
			t.Fatal(err)
		}
		vms[0].applyChanges(vms[0].mirror.Apply([]radish.Record{
			{Kind: radish.RecordVM, Name: restarted.Name, Revision: 50, Value: value},
		}), "store")
		if names := vms[0].availableVMs(); !slices.Contains(names, restarted.Name) {
			t.Errorf("available VMs are %v, without the restarted one", names)
		}
	})
}

func TestVMWithoutStoreIsNotChecker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 5)
		var cutOff *testVM
		for _, vm := range vms {
			if vm.isChecker(radish.RecordTarget) {
				cutOff = vm
				break
			}
		}
		cutOff.state.recordStoreCall(time.Now(), false)
		time.Sleep(5 * time.Second)
		checkers := 0
		for _, vm := range vms {
			if vm != cutOff && vm.isChecker(radish.RecordTarget) {
				checkers++
			}
		}
		if checkers != 2 {
			t.Errorf("%d other VMs are checkers of the targets, want 2", checkers)
		}
	})
}

// TestVMStartedInOutageSyncsFromSeed starts a VM that has only the address of one other VM.
func TestVMStartedInOutageSyncsFromSeed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := &pipeNetwork{listeners: make(map[string]chan net.Conn)}
		vms := startVMsOn(t, network, 3)
		changed := vms[0].mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "main", Revision: 70}}, 70)
		vms[0].applyChanges(changed, "store")
		joiner := newTestVM(network, "late", func() []string { return []string{"vm-1:1"} })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = joiner.node.Run(ctx) })
		wg.Go(func() { _ = joiner.Run(ctx) })
		synctest.Wait()
		joiner.updateLinks()
		time.Sleep(3 * time.Second)
		if cfg := joiner.state.config.Load(); cfg == nil || cfg.Version != 70 {
			t.Error("VM started during the outage has no configuration")
		}
		if n := joiner.vmCount(); n != 4 {
			t.Errorf("VM started during the outage lists %d VMs, want 4", n)
		}
		cancel()
		wg.Wait()
	})
}
