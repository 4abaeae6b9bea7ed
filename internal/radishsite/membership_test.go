package radishsite

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// recordSink keeps the records that a VM saves.
type recordSink struct {
	radish.RecordStore
	mu    sync.Mutex
	saved []radish.VMRecord
}

// Save implements radish.RecordStore.
func (s *recordSink) Save(_ context.Context, _ radish.RecordKind, _ string, value []byte) error {
	var vm radish.VMRecord
	if err := json.Unmarshal(value, &vm); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = append(s.saved, vm)
	return nil
}

// last returns the newest record; its name is empty if there is none.
func (s *recordSink) last() radish.VMRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.saved) == 0 {
		return radish.VMRecord{}
	}
	return s.saved[len(s.saved)-1]
}

// coldCaller is a VM that sends as much as it may to a target that is cold.
type coldCaller struct {
	*Server
	sink   *recordSink
	cancel context.CancelFunc
}

// startColdCaller starts the process of the VM number i, which knows the first listed VMs; it joins if it is none of them.
func startColdCaller(t *testing.T, i, listed int) *coldCaller {
	t.Helper()
	sink := &recordSink{}
	vm := startColdCallerWith(t, i, listed, sink)
	vm.sink = sink
	return vm
}

// startColdCallerWith is startColdCaller with the store in which the VM saves its record.
func startColdCallerWith(t *testing.T, i, listed int, store radish.RecordStore) *coldCaller {
	t.Helper()
	s := newQuotaServer(fmt.Sprint("vm-", i))
	s.peers.self.Address = s.peers.self.Name
	s.Store, s.membership = store, membership{startedAt: time.Now()}
	s.fleet = &radishfleet.Fleet{DataCentre: "a", ColdQuota: s.coldQuota}
	s.fleet.Set(radish.Target{Name: "t", Address: "t:1", DataCentre: "a", Service: "s", Slots: 64, ColdRemaining: time.Hour}, time.Now())
	s.setVMList(t, listed)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = s.publishVMRecord(ctx) }()
	return &coldCaller{Server: s, cancel: cancel}
}

// mostInSecond returns the largest number of the times that lie within a second.
func mostInSecond(times []time.Time) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestReplayVMsJoinAndRestartWhileTargetIsCold guards against VMs that join, or start again, and use their share of the limit of a cold target
// although the others, or their last processes, have used it up within the same second.
func TestReplayVMsJoinAndRestartWhileTargetIsCold(t *testing.T) {
	const coldLimit, step = 20, 10 * time.Millisecond
	tests := []struct {
		name  string
		first int
		// change is called after each step and may replace the VMs.
		change func(t *testing.T, at time.Duration, vms []*coldCaller) []*coldCaller
	}{
		{"two VMs join two, which learn of it later", 2, func(t *testing.T, at time.Duration, vms []*coldCaller) []*coldCaller {
			switch at {
			case 10300 * time.Millisecond:
				return append(vms, startColdCaller(t, 2, 2), startColdCaller(t, 3, 2))
			case 10900 * time.Millisecond:
				vms[0].setVMList(t, 4)
				vms[2].setVMList(t, 4)
				vms[3].setVMList(t, 4)
			case 13 * time.Second:
				vms[1].setVMList(t, 4)
			}
			return vms
		}},
		{"a VM that joins starts again", 2, func(t *testing.T, at time.Duration, vms []*coldCaller) []*coldCaller {
			switch at {
			case 10300 * time.Millisecond:
				return append(vms, startColdCaller(t, 2, 2))
			case 10800 * time.Millisecond:
				vms[2].cancel()
				joining := startColdCaller(t, 2, 2)
				joining.setOwnRecord(t, vms[2].sink.last())
				return append(vms[:2:2], joining)
			case 13 * time.Second:
				vms[0].setVMList(t, 3)
				vms[1].setVMList(t, 3)
			}
			return vms
		}},
		{"all VMs start again", 3, func(t *testing.T, at time.Duration, vms []*coldCaller) []*coldCaller {
			if at != 10500*time.Millisecond {
				return vms
			}
			for i := range vms {
				vms[i].cancel()
				vms[i] = startColdCaller(t, i, 3)
			}
			return vms
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var vms []*coldCaller
				for i := range test.first {
					vms = append(vms, startColdCaller(t, i, test.first))
				}
				var sentAt []time.Time
				sentBy := make(map[string]int)
				for at := step; at < 20*time.Second; at += step {
					time.Sleep(step)
					synctest.Wait()
					vms = test.change(t, at, vms)
					for _, vm := range vms {
						if _, ok := vm.fleet.Pick(radishfleet.Query{Service: "s", HasColdLimit: true}, time.Now()); ok {
							sentAt = append(sentAt, time.Now())
							sentBy[vm.InitialSettings.VM]++
						}
					}
				}
				if most := mostInSecond(sentAt); most > coldLimit {
					t.Errorf("%d calls within a second, at most %d are allowed", most, coldLimit)
				}
				for _, vm := range vms {
					if sentBy[vm.InitialSettings.VM] == 0 {
						t.Errorf("%s got no share", vm.InitialSettings.VM)
					}
					vm.cancel()
				}
			})
		})
	}
}

// setOwnRecord adds the record that the VM's last process saved to its list of VMs.
func (c *coldCaller) setOwnRecord(t *testing.T, vm radish.VMRecord) {
	t.Helper()
	value, err := json.Marshal(vm)
	if err != nil {
		t.Fatal(err)
	}
	c.peers.mirror.Apply([]radish.Record{{Kind: radish.RecordVM, Name: vm.Name, Revision: 100, Value: value}})
	c.peers.updateLinks()
}

// TestRecordOfVMThatJoins checks what the record of a VM says after its first start and after further ones, each of which ends when the record was
// saved, or later when all other VMs know of the VM.
func TestRecordOfVMThatJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settled = vmListTimeout + vmListDelay + shareWindow + joinedSpread
		var last radish.VMRecord
		for n, start := range []struct {
			runs              time.Duration
			wantJoining       bool
			wantWrites        int
			wantShareAtTheEnd bool
		}{{100 * time.Millisecond, true, 1, false}, {2 * time.Second, true, 1, false}, {settled, false, 2, true}, {2 * time.Second, false, 1, true}} {
			vm := startColdCaller(t, 0, 0)
			if last.Name != "" {
				vm.setOwnRecord(t, last)
			}
			vm.peers.mirror.ApplyUpTo(radish.RecordVM, nil, 100)
			time.Sleep(start.runs)
			last = vm.sink.last()
			writes := len(vm.sink.saved)
			if holds := vm.membership.holdsShare(time.Now()); last.Joining != start.wantJoining || writes != start.wantWrites || holds != start.wantShareAtTheEnd {
				t.Errorf("start %d: joining %v after %d writes, holds its share %v; want %+v", n, last.Joining, writes, holds, start)
			}
			vm.cancel()
			synctest.Wait()
		}
	})
}

// TestVMWithoutListJoins starts a VM whose list of VMs does not arrive. It must save its record all the same, as one that joins.
func TestVMWithoutListJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newQuotaServer("vm-0")
		sink := &recordSink{}
		s.Store, s.Log = sink, hclog.NewNullLogger()
		s.membership = membership{startedAt: time.Now()}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = s.publishVMRecord(ctx) }()
		time.Sleep(vmListTimeout + time.Second)
		if vm := sink.last(); vm.Name != "vm-0" || !vm.Joining {
			t.Errorf("saved %+v, want the record of a VM that joins", vm)
		}
	})
}
