package radishsite

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

// evidenceStore keeps the evidence on crashes and passes it to the VMs at once.
type evidenceStore struct {
	radish.RecordStore
	mu       sync.Mutex
	revision radish.Revision
	records  []radish.Record
	writes   int
	// isAway makes writes fail.
	isAway bool
	vms    []*testVM
}

// Save implements radish.RecordStore.
func (s *evidenceStore) Save(_ context.Context, kind radish.RecordKind, name string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		return radish.ErrUnavailable
	}
	s.writes++
	s.put(radish.Record{Kind: kind, Name: name, Value: value})
	return nil
}

func (s *evidenceStore) put(r radish.Record) {
	s.revision++
	r.Revision = s.revision
	s.records = []radish.Record{r}
	for _, vm := range s.vms {
		go vm.list(s.records, s.revision)
	}
}

// list gives the VM a list of the evidence.
func (vm *testVM) list(records []radish.Record, revision radish.Revision) {
	vm.applyChanges(vm.mirror.Replace(radish.RecordCrashEvidence, records, revision), "store")
}

// writeCount returns the number of writes so far.
func (s *evidenceStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// setAway makes writes fail, or ends that.
func (s *evidenceStore) setAway(isAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = isAway
}

// listing returns what a list of the evidence contains, and its revision.
func (s *evidenceStore) listing() ([]radish.Record, radish.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records, s.revision
}

// startVMs starts VMs that follow the store and write to it, and that know nothing else. It returns what ends all of them at once.
func (s *evidenceStore) startVMs(t *testing.T, n int) (stop func()) {
	network := &pipeNetwork{listeners: make(map[string]chan net.Conn)}
	ctx, cancel := context.WithCancel(t.Context())
	vms := newListedVMs(t, network, n)
	for _, vm := range vms {
		vm.start(ctx)
		vm.list(s.listing())
		go func() { _ = (&crashWriter{peers: vm.peerManager, store: s, log: hclog.NewNullLogger()}).Run(ctx) }()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vms
	return func() {
		s.mu.Lock()
		s.vms = nil
		s.mu.Unlock()
		cancel()
		for _, vm := range vms {
			vm.stop()
		}
		time.Sleep(time.Second)
		synctest.Wait()
	}
}

func crashTarget(i int) radish.Target {
	return radish.Target{Name: fmt.Sprint("target-", i), Service: "s", StartedUnixMilli: int64(1000 + i)}
}

// TestEvidenceOutlastsAllVMs guards against VMs that all end at once and lose what they know of a part of prompts that crashes targets, so that it
// crashes some more. It does so three times, once with a store that is away while the targets crash.
func TestEvidenceOutlastsAllVMs(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		store := &evidenceStore{revision: 1}
		stop := store.startVMs(t, 4)
		store.setAway(true)
		for i := range 3 {
			store.vms[i].quarantine.RecordCrash(crashTarget(i), []string{"first", "harmful"}, time.Now())
			store.vms[i].shareReports()
			time.Sleep(time.Second)
		}
		store.vms[3].quarantine.RecordAnswer("s", []string{"first"}, time.Now())
		store.vms[3].shareReports()
		time.Sleep(3 * time.Second)
		store.setAway(false)
		time.Sleep(3 * time.Second)
		for round := range 3 {
			writes := store.writeCount()
			stop()
			stop = store.startVMs(t, 4)
			for _, vm := range store.vms {
				if d := vm.quarantine.Check([]string{"first", "harmful"}, time.Now()); d.Verdict != radishquarantine.Refused {
					t.Errorf("round %d, %s: verdict %v on a call with the part", round, vm.self.Name, d.Verdict)
				}
				if d := vm.quarantine.Check([]string{"first"}, time.Now()); d.Verdict != radishquarantine.Allowed {
					t.Errorf("round %d, %s: verdict %v on a sound call", round, vm.self.Name, d.Verdict)
				}
			}
			time.Sleep(5 * time.Second)
			if n := store.writeCount() - writes; n != 0 {
				t.Errorf("round %d: %d writes without new evidence", round, n)
			}
		}
		stop()
		if n := store.writeCount(); n > 4 {
			t.Errorf("%d writes for three crashes", n)
		}
	})
}

// TestEvidenceIsWrittenAgain has the store come back from an older copy without the evidence, or with a record that cannot be read. The VMs must
// write it again, few of them, and lose nothing.
func TestEvidenceIsWrittenAgain(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		store := &evidenceStore{revision: 1}
		stop := store.startVMs(t, 8)
		defer stop()
		for i := range 3 {
			store.vms[0].quarantine.RecordCrash(crashTarget(i), []string{"harmful"}, time.Now())
			time.Sleep(time.Second)
		}
		store.vms[0].shareReports()
		time.Sleep(5 * time.Second)
		for _, value := range []string{"{}", `{"crashes": 7}`, "torn"} {
			store.mu.Lock()
			writes := store.writes
			store.put(radish.Record{Kind: radish.RecordCrashEvidence, Name: crashRecordName, Value: []byte(value)})
			store.mu.Unlock()
			time.Sleep(5 * time.Second)
			vm := store.vms[7]
			stored := decodeCrashes(vm.decodeCrashRecord(vm.crashRecord()), time.Now())
			if n := store.writeCount() - writes; len(stored) != 3 || n < 1 || n > 2 {
				t.Errorf("%s: the store has %d crashes after %d writes, want 3 after one or two", value, len(stored), n)
			}
		}
	})
}

// TestVMWaitsForEvidence guards against a VM that sends a part of prompts that crashes targets before it has the evidence, and against one that
// never serves since the store has no list of it.
func TestVMWaitsForEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, isListed := range []bool{true, false} {
			state := newTestState()
			state.keepsEvidence = true
			state.applyNew(radish.Record{Kind: radish.RecordConfig, Name: "main", Revision: 1})
			state.mirror.ApplyUpTo(radish.RecordTarget, nil, 1)
			if state.isSynced() || state.servedConfig() != nil {
				t.Error("the VM serves without the evidence")
			}
			if isListed {
				state.mirror.Replace(radish.RecordCrashEvidence, nil, 1)
			} else {
				time.Sleep(maxEvidenceWait + time.Second)
			}
			if !state.isSynced() || state.servedConfig() == nil {
				t.Errorf("the VM does not serve, listed %v", isListed)
			}
		}
	})
}
