package radishsite

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

func inEra(t *testing.T, era radish.Era, number int64) radish.Revision {
	t.Helper()
	r, err := radish.NewRevision(era, number)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// startEraKeeper runs the keeper of a VM that has the state, until the test ends.
func startEraKeeper(t *testing.T, state *clusterState, store radish.RecordStore) {
	t.Helper()
	s := newQuotaServer("vm-0")
	s.peers.mirror, s.peers.state, s.peers.gossipNow = state.mirror, state, make(chan struct{}, 1)
	s.peers.isLeaving = func() bool { return false }
	go func() {
		_ = (&eraKeeper{peers: s.peers, store: store, log: hclog.NewNullLogger()}).Run(t.Context())
	}()
}

// TestConfigurationStaysInForceInDrill guards against a store that comes back from an older copy and takes the VMs back to an older configuration, in
// which a key that was dropped is valid, and against VMs that do not follow the versions after that.
func TestConfigurationStaysInForceInDrill(t *testing.T) {
	state := newTestState()
	list := func(revision radish.Revision) {
		records := []radish.Record{{Kind: radish.RecordConfig, Name: "main", Revision: revision, Value: []byte(revision.String())}}
		state.apply(state.mirror.Replace(radish.RecordConfig, records, revision), "test")
	}
	for _, c := range []struct {
		revision radish.Revision
		want     int64
	}{{inEra(t, 1, 8), 8}, {inEra(t, 2, 5), 8}, {inEra(t, 2, 8), 8}, {inEra(t, 2, 9), 9}, {inEra(t, 3, 6), 9}, {inEra(t, 3, 10), 10}} {
		// The fake decoder takes the number of the revision for the version.
		list(c.revision)
		if got := state.config.Load().Version; got != c.want {
			t.Errorf("revision %v: version %d is in force, want %d", c.revision, got, c.want)
		}
	}
}

// TestTargetsInDrill guards against targets that live and are dropped since the store has lost their records, targets that are gone and stay in use
// for ever, and targets that left before the drill and come back into use from the copy.
func TestTargetsInDrill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := newTestState()
		startEraKeeper(t, state, &recordSink{})
		replace := func(revision radish.Revision, records ...radish.Record) {
			state.apply(state.mirror.Replace(radish.RecordTarget, records, revision), "test")
		}
		replace(
			inEra(t, 1, 10), targetRecord("left", inEra(t, 1, 9), "leaving"), targetRecord("living", inEra(t, 1, 7), "ready"),
			targetRecord("crashed", inEra(t, 1, 8), "ready"), targetRecord("listed", inEra(t, 1, 2), "ready"),
		)
		time.Sleep(time.Minute)
		replace(inEra(t, 2, 5), targetRecord("left", inEra(t, 2, 3), "ready"), targetRecord("listed", inEra(t, 2, 2), "ready"))
		for _, step := range []struct {
			after time.Duration
			apply func()
			want  int
		}{
			{time.Second, func() {}, 3},
			{time.Second, func() { state.applyNew(targetRecord("living", inEra(t, 2, 6), "ready")) }, 3},
			{100 * time.Millisecond, func() { state.applyNew(targetRecord("left", inEra(t, 2, 7), "leaving")) }, 3},
			{time.Second, func() {}, 2},
		} {
			time.Sleep(step.after)
			step.apply()
			synctest.Wait()
			if got := state.usableCount(); got != step.want {
				t.Errorf("%d usable targets, want %d", got, step.want)
			}
		}
	})
}

// vmStore keeps the records of VMs and passes each change to the VMs that follow it.
type vmStore struct {
	radish.RecordStore
	mu       sync.Mutex
	revision radish.Revision
	records  map[string]radish.Record
	// writes counts the writes of each record.
	writes map[string]int
	// followers are the VMs that follow the store.
	followers []*Server
}

// Save implements radish.RecordStore.
func (s *vmStore) Save(_ context.Context, kind radish.RecordKind, name string, value []byte) error {
	s.mu.Lock()
	s.revision++
	s.records[name] = radish.Record{Kind: kind, Name: name, Revision: s.revision, Value: value}
	s.writes[name]++
	s.mu.Unlock()
	s.pass()
	return nil
}

// Create implements radish.RecordStore.
func (s *vmStore) Create(ctx context.Context, kind radish.RecordKind, name string, value []byte) error {
	s.mu.Lock()
	_, exists := s.records[name]
	s.mu.Unlock()
	if exists {
		return radish.ErrConflict
	}
	return s.Save(ctx, kind, name, value)
}

// restore makes the store come back in the era with only the named records.
func (s *vmStore) restore(revision radish.Revision, names ...string) {
	s.mu.Lock()
	s.revision = revision
	maps.DeleteFunc(s.records, func(name string, _ radish.Record) bool { return !slices.Contains(names, name) })
	for name, r := range s.records {
		r.Revision = revision
		s.records[name] = r
	}
	s.writes = make(map[string]int)
	s.mu.Unlock()
	s.pass()
}

// pass gives the followers a list of the records.
func (s *vmStore) pass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, vm := range s.followers {
		vm.peers.mirror.Replace(radish.RecordVM, slices.Collect(maps.Values(s.records)), s.revision)
		vm.peers.updateLinks()
	}
}

// follow passes the changes from now on to the VM too.
func (s *vmStore) follow(vm *Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followers = append(s.followers, vm)
}

// written returns how often the record was written since the store came back.
func (s *vmStore) written(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[name]
}

// startVMsWithStore starts n VMs that have joined before and follow the store, with a target that is cold.
func startVMsWithStore(t *testing.T, n int) ([]*coldCaller, *vmStore) {
	t.Helper()
	store := &vmStore{revision: inEra(t, 1, 100), records: make(map[string]radish.Record), writes: make(map[string]int)}
	var vms []*coldCaller
	for i := range n {
		vm := startColdCallerWith(t, i, n, store)
		vm.peers.isLeaving, vm.peers.gossipNow, vm.peers.state = func() bool { return false }, make(chan struct{}, 1), vm.state
		vms = append(vms, vm)
		store.follow(vm.Server)
		go func() { _ = (&eraKeeper{peers: vm.peers, store: store, log: hclog.NewNullLogger()}).Run(t.Context()) }()
	}
	return vms, store
}

// TestLostRecordsOfVMsAreWrittenAgain guards against VMs that do not know each other any more after the store has lost their records in a drill, and
// against writes of VMs whose record the copy has. The store comes back twice in a row; one VM cannot write.
func TestLostRecordsOfVMsAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms, store := startVMsWithStore(t, 4)
		time.Sleep(5 * time.Second)
		dark := vms[3]
		dark.cancel()
		for i, pause := range []time.Duration{time.Second, 20 * time.Second} {
			store.restore(inEra(t, radish.Era(2+i), 50), "vm-0")
			time.Sleep(pause)
		}
		for i, vm := range vms {
			if got := vm.peers.vmCount(); got != 4 {
				t.Errorf("vm-%d knows %d VMs, want 4", i, got)
			}
		}
		want := []int{0, 1, 1, 1}
		for i := range vms {
			if got := store.written(vms[i].InitialSettings.VM); got != want[i] {
				t.Errorf("the record of vm-%d was written %d times, want %d", i, got, want[i])
			}
		}
	})
}

// TestReplayDrillWhileTargetIsCold guards against VMs that each use the whole limit of a cold target, since the store has lost the records of the
// others in a drill.
func TestReplayDrillWhileTargetIsCold(t *testing.T) {
	const coldLimit, step = 20, 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		vms, store := startVMsWithStore(t, 4)
		var sentAt []time.Time
		for at := step; at < 40*time.Second; at += step {
			time.Sleep(step)
			synctest.Wait()
			if at == 10*time.Second {
				store.restore(inEra(t, 2, 50))
			}
			for _, vm := range vms {
				if _, ok := vm.fleet.Pick(radishfleet.Query{Service: "s", HasColdLimit: true}, time.Now()); ok {
					sentAt = append(sentAt, time.Now())
				}
			}
		}
		if most := mostInSecond(sentAt); most > coldLimit || len(sentAt) == 0 {
			t.Errorf("%d calls within a second of %d, at most %d are allowed", most, len(sentAt), coldLimit)
		}
		for _, vm := range vms {
			vm.cancel()
		}
	})
}
