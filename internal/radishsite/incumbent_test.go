package radishsite

import (
	"net"
	"slices"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// TestReplayRestartedCoordinatorIsNotGivenWorkBack restarts the coordinator of twelve VMs, as in a rolling restart under load. The VM
// that replaced it still executes queued calls, so that it must remain the only coordinator, also for the restarted VM.
func TestReplayRestartedCoordinatorIsNotGivenWorkBack(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := &pipeNetwork{listeners: make(map[string]chan net.Conn)}
		vms := startVMsOn(t, network, 12)
		checkOneCoordinator(t, vms)
		time.Sleep(10 * time.Second)
		stopped := vms[slices.IndexFunc(vms, func(vm *testVM) bool { return vm.self.Name == vms[0].coordinatorsFor(0, 1)[0] })]
		network.disconnect(stopped.self.Name)
		stopped.stop()
		time.Sleep(2 * time.Second)
		others := slices.DeleteFunc(slices.Clone(vms), func(vm *testVM) bool { return vm == stopped })
		replacement := checkOneCoordinator(t, others)

		restarted := newTestVM(network, stopped.self.Name, func() []string { return nil })
		restarted.mirror.ApplyUpTo(radish.RecordVM, others[0].mirror.Records(radish.RecordVM), radish.Revision(len(vms)))
		restarted.start(t.Context())
		defer restarted.stop()
		for second := range 30 {
			for _, vm := range others {
				if got := vm.coordinatorsFor(0, 1)[0]; got != replacement {
					t.Fatalf("%d s after the restart, %s chooses coordinator %s, want %s", second, vm.self.Name, got, replacement)
				}
			}
			time.Sleep(time.Second)
			if got := restarted.coordinatorsFor(0, 1)[0]; got != replacement {
				t.Fatalf("%d s after the restart, the restarted VM chooses coordinator %s, want %s", second+1, got, replacement)
			}
		}
	})
}

// TestReplayCoordinatorsAfterPartition gives two halves of the VMs different coordinators, as when they were cut off from each other. All
// VMs must choose the one that has coordinated for longer within three seconds.
func TestReplayCoordinatorsAfterPartition(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 24)
		for i, vm := range vms {
			name, age := "vm-3", 20*time.Second
			if i%2 == 0 {
				name, age = "vm-4", 5*time.Second
			}
			vm.mu.Lock()
			vm.incumbents = radishfleet.Incumbents{}
			vm.incumbents.Merge(0, 1, radishfleet.Incumbent{Name: name, Since: time.Now().Add(-age)})
			vm.mu.Unlock()
		}
		time.Sleep(3 * time.Second)
		if got := checkOneCoordinator(t, vms); got != "vm-3" {
			t.Errorf("%s coordinates, want vm-3", got)
		}
	})
}

// TestInvalidCoordinatorsOfPeersAreIgnored reports coordinators that do not exist and shards beyond any limit.
func TestInvalidCoordinatorsOfPeersAreIgnored(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vm := startVMs(t, 3)[0]
		want := vm.coordinatorsFor(0, 1)[0]
		vm.mergeCoordinators([]*radishpeerpb.ShardCoordinator{
			{Shard: 0, Shards: 1, Vm: "unknown", AgeMs: 1 << 40},
			{Shard: 1, Shards: 1, Vm: "vm-1", AgeMs: 1 << 63},
			{Shard: 7, Shards: 4_000_000_000, Vm: "vm-1", AgeMs: 1 << 40},
			{Shard: 0, Shards: 0, Vm: "vm-1", AgeMs: 1 << 40},
		})
		if got := vm.coordinatorsFor(0, 1)[0]; got != want {
			t.Errorf("coordinator %s, want %s", got, want)
		}
		vm.mu.Lock()
		defer vm.mu.Unlock()
		if byShard, shards := vm.incumbents.All(); len(byShard) != 1 || shards != 1 {
			t.Errorf("%d of %d shards are recorded, want 1 of 1", len(byShard), shards)
		}
	})
}

// checkOneCoordinator checks that all VMs choose the same coordinator, and returns it.
func checkOneCoordinator(t *testing.T, vms []*testVM) string {
	t.Helper()
	coordinator := vms[0].coordinatorsFor(0, 1)[0]
	for _, vm := range vms {
		if got := vm.coordinatorsFor(0, 1)[0]; got != coordinator {
			t.Fatalf("%s chooses coordinator %s, %s chooses %s", vm.self.Name, got, vms[0].self.Name, coordinator)
		}
	}
	return coordinator
}
