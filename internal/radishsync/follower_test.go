package radishsync

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishmirror"
)

// fakeStore is an in-memory store whose calls can be made to fail.
type fakeStore struct {
	mu       sync.Mutex
	revision radish.Revision
	records  map[string]radish.Record
	// changed is closed and replaced at each change.
	changed chan struct{}
	// watchSilent makes watches return no changes.
	watchSilent bool
	// watchHangs makes watches end without any response, some time after wait has passed.
	watchHangs bool
	// historyGone makes the next watch fail with [radish.ErrHistoryGone].
	historyGone bool
	// unavailable makes all calls fail with [radish.ErrUnavailable].
	unavailable bool
	// cutInterval is the time between two moments at which all waiting watches fail; 0 means that they do not.
	cutInterval time.Duration
	// leftToPeers makes the follower under test leave the store to other VMs.
	leftToPeers bool
	calls       int
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: 1, records: make(map[string]radish.Record), changed: make(chan struct{})}
}

func (s *fakeStore) put(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.records[name] = radish.Record{Kind: radish.RecordConfig, Name: name, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore makes the store come back empty in the era, at the revision number. Watches that wait go on waiting.
func (s *fakeStore) restore(era radish.Era, number int64) {
	revision, err := radish.NewRevision(era, number)
	if err != nil {
		panic(err)
	}
	s.update(func() { s.revision, s.records = revision, make(map[string]radish.Record) })
}

func (s *fakeStore) isLeftToPeers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leftToPeers
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// update calls change with the lock held.
func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) List(context.Context, radish.RecordKind) ([]radish.Record, radish.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return nil, 0, radish.ErrUnavailable
	}
	var list []radish.Record
	for _, r := range s.records {
		list = append(list, r)
	}
	return list, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ radish.RecordKind, after radish.Revision, wait time.Duration) ([]radish.Record, radish.Revision, error) {
	timeout := time.After(wait)
	hangs := false
	var cut <-chan time.Time
	s.update(func() {
		s.calls++
		hangs = s.watchHangs
		if s.cutInterval > 0 {
			cut = time.After(s.cutInterval)
		}
	})
	if hangs {
		time.Sleep(wait + time.Second)
		return nil, 0, fmt.Errorf("%w: %w", radish.ErrUnavailable, context.DeadlineExceeded)
	}
	for {
		s.mu.Lock()
		changed, watchSilent, historyGone, unavailable, revision := s.changed, s.watchSilent, s.historyGone, s.unavailable, s.revision
		historyGone = historyGone || revision.Era() != after.Era()
		var changes []radish.Record
		for _, r := range s.records {
			if r.Revision > after {
				changes = append(changes, r)
			}
		}
		s.historyGone = false
		s.mu.Unlock()
		switch {
		case unavailable:
			return nil, 0, radish.ErrUnavailable
		case historyGone:
			return nil, 0, radish.ErrHistoryGone
		case len(changes) > 0 && !watchSilent:
			return changes, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-cut:
			return nil, 0, radish.ErrUnavailable
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *fakeStore) Save(context.Context, radish.RecordKind, string, []byte) error { return nil }
func (s *fakeStore) Create(context.Context, radish.RecordKind, string, []byte) error {
	return nil
}
func (s *fakeStore) Drop(context.Context, radish.RecordKind, string) error { return nil }

// startFollower runs a follower until the test ends and returns its mirror.
func startFollower(t *testing.T, store *fakeStore, isChecker bool) *radishmirror.Mirror {
	return startFollowerWith(t, store, isChecker, func(time.Time, bool) {})
}

// startFollowerWith is startFollower with a callback for the outcome of each call to the store.
func startFollowerWith(t *testing.T, store *fakeStore, isChecker bool, onStoreCall func(startedAt time.Time, reached bool)) *radishmirror.Mirror {
	ctx, cancel := context.WithCancel(t.Context())
	mirror := &radishmirror.Mirror{}
	f := &Follower{
		Kind: radish.RecordConfig, Store: store, Mirror: mirror, WatchDelay: 500 * time.Millisecond, CheckerWatchDelay: 100 * time.Millisecond,
		RelistInterval: time.Second, IsChecker: func() bool { return isChecker }, IsWatcher: func() bool { return !store.isLeftToPeers() },
		OnChanges: func([]radish.Record) {}, OnStoreCall: onStoreCall, Log: hclog.NewNullLogger(),
	}
	done := make(chan struct{})
	go func() {
		_ = f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return mirror
}

func recordCount(m *radishmirror.Mirror) int { return len(m.Records(radish.RecordConfig)) }

func TestFollowerAppliesChangeImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		store.put("a")
		synctest.Wait()
		if recordCount(mirror) != 1 {
			t.Error("the change was not applied immediately")
		}
	})
}

// TestCheckerFindsChangesMissedByWatch guards against changes that go unnoticed while the store discards its history:
// watches then return nothing for seconds although changes are made. Only the periodic list finds such a change.
func TestCheckerFindsChangesMissedByWatch(t *testing.T) {
	for _, isChecker := range []bool{false, true} {
		t.Run(fmt.Sprint("checker ", isChecker), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				mirror := startFollower(t, store, isChecker)
				time.Sleep(time.Second)
				store.update(func() { store.watchSilent = true })
				store.put("a")
				time.Sleep(2 * time.Second)
				if got := recordCount(mirror) == 1; got != isChecker {
					t.Errorf("the change was applied: %v, want %v", got, isChecker)
				}
			})
		})
	}
}

func TestFollowerListsAgainWhenHistoryIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		store.update(func() { store.historyGone, store.watchSilent = true, true })
		store.put("a")
		time.Sleep(time.Second)
		if recordCount(mirror) != 1 {
			t.Error("the records were not listed again after the history was gone")
		}
	})
}

func TestFollowerRecoversFromStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a")
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		store.update(func() { store.unavailable = true })
		store.put("b")
		before := store.callCount()
		time.Sleep(30 * time.Second)
		if recordCount(mirror) != 1 {
			t.Error("the record applied before the outage was lost")
		}
		// Retries are at most a second apart on average, to notice a recovered store soon without overloading it.
		if calls := store.callCount() - before; calls < 20 || calls > 80 {
			t.Errorf("%d calls in an outage of 30 s, want 20 to 80", calls)
		}
		store.update(func() { store.unavailable = false })
		time.Sleep(2 * time.Second)
		if recordCount(mirror) != 2 {
			t.Error("the change was not applied within 2 s after the store recovered")
		}
	})
}

// TestSilentWatchIsNoOutage guards against taking a watch that the store dropped without a response for an outage of the store,
// while the store answers all other calls: a target that leaves at that moment would be kept in use for the time in which
// targets write their records again after an outage.
func TestSilentWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.update(func() { store.watchHangs = true })
		failures := 0
		mirror := startFollowerWith(t, store, false, func(_ time.Time, reached bool) {
			if !reached {
				failures++
			}
		})
		time.Sleep(time.Second)
		store.put("a")
		time.Sleep(2 * watchTimeout)
		synctest.Wait()
		if failures > 0 {
			t.Errorf("%d calls counted as failed at a store that answers every list", failures)
		}
		if recordCount(mirror) != 1 {
			t.Error("the change was not applied by a list after the silent watch")
		}
	})
}

// TestCutWatchIsNoOutage guards against taking watches that are cut off while they wait for an outage of the store, which answers all other calls.
// Changes must be applied all the same, and the calls stay few.
func TestCutWatchIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.update(func() { store.cutInterval = 300 * time.Millisecond })
		var failures atomic.Int64
		mirror := startFollowerWith(t, store, false, func(_ time.Time, reached bool) {
			if !reached {
				failures.Add(1)
			}
		})
		time.Sleep(time.Second)
		const seconds = 20
		before := store.callCount()
		for n := range seconds {
			store.put(fmt.Sprint(n))
			time.Sleep(time.Second)
		}
		if n := failures.Load(); n > 0 {
			t.Errorf("%d calls counted as failed at a store that answers", n)
		}
		if got := recordCount(mirror); got != seconds {
			t.Errorf("%d of %d changes were applied", got, seconds)
		}
		if calls := store.callCount() - before; calls > 6*seconds {
			t.Errorf("%d calls in %d s, want at most 6 a second", calls, seconds)
		}
		store.update(func() { store.unavailable = true })
		time.Sleep(time.Second)
		if failures.Load() == 0 {
			t.Error("no call counted as failed at a store that answers none")
		}
	})
}

// TestFrequentChangesAreBatched guards against one call to the store for each change: with a change every 10 ms, each
// call must return many changes.
func TestFrequentChangesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		before := store.callCount()
		for n := range 500 {
			store.put(fmt.Sprint(n))
			time.Sleep(10 * time.Millisecond)
		}
		if calls := store.callCount() - before; calls > 12 {
			t.Errorf("%d calls for 500 changes in 5 s, want at most 12", calls)
		}
		time.Sleep(time.Second)
		if recordCount(mirror) != 500 {
			t.Errorf("%d of 500 changes were applied", recordCount(mirror))
		}
	})
}

// TestNoStoreCallsWhilePeersSendChanges checks that a VM that gets its changes from peers makes no calls to the store
// after its first list. Once it has to watch the store itself, it must continue from the revision that the peers' changes
// reached, without a new list.
func TestNoStoreCallsWhilePeersSendChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.update(func() { store.leftToPeers = true })
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		before := store.callCount()
		store.put("a")
		time.Sleep(time.Minute)
		if calls := store.callCount() - before; calls > 0 || recordCount(mirror) != 0 {
			t.Errorf("%d calls and %d records while the peers send the changes, want none", calls, recordCount(mirror))
		}
		mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "a", Revision: 2}}, 2)
		store.put("b")
		store.update(func() { store.leftToPeers = false })
		time.Sleep(300 * time.Millisecond)
		if calls := store.callCount() - before; calls > 2 || recordCount(mirror) != 2 {
			t.Errorf("%d calls and %d records after switching to the store, want at most 2 calls and 2 records", calls, recordCount(mirror))
		}
	})
}

// TestCheckerFindsChangesAfterSilentOutage guards against a VM without peers that waits for a watch that is never
// answered. The store first fails and then accepts watches without answering them; the periodic list must find a change
// within two seconds all the same.
func TestCheckerFindsChangesAfterSilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := startFollower(t, store, true)
		time.Sleep(time.Second)
		store.update(func() { store.unavailable = true })
		store.put("a")
		time.Sleep(100 * time.Millisecond)
		store.update(func() { store.unavailable, store.watchSilent = false, true })
		time.Sleep(5 * time.Second)
		store.put("b")
		time.Sleep(2 * time.Second)
		if recordCount(mirror) != 2 {
			t.Errorf("%d of 2 changes were applied", recordCount(mirror))
		}
	})
}

// TestFollowerListsAgainInNewEra guards against a VM that waits for a change of an earlier era of the store, which goes on accepting the watch: any
// other response that reports the new era must make it list again. The store comes back twice in a row.
func TestFollowerListsAgainInNewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		for _, name := range []string{"a", "b", "c"} {
			store.put(name)
		}
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		for _, era := range []radish.Era{1, 2} {
			store.restore(era, 1)
			store.update(func() { store.watchSilent = true })
			store.put("new")
			mirror.ObserveEra(era)
			time.Sleep(500 * time.Millisecond)
			if got := mirror.CompleteRevision(radish.RecordConfig).Era(); got != era {
				t.Errorf("the records are those of era %d, want %d", got, era)
			}
		}
		store.update(func() { store.watchSilent = false })
		store.put("newer")
		time.Sleep(time.Second)
		if _, ok := mirror.Record(radish.RecordConfig, "newer"); !ok {
			t.Error("a change in the new era was not applied")
		}
	})
}

// TestFollowerFindsNewEraByItself has no other response report the new era: the watch that follows does.
func TestFollowerFindsNewEraByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a")
		mirror := startFollower(t, store, false)
		time.Sleep(time.Second)
		store.restore(1, 1)
		store.put("new")
		time.Sleep(time.Second)
		if _, ok := mirror.Record(radish.RecordConfig, "new"); !ok || mirror.Era() != 1 {
			t.Errorf("the change was not applied; the era is %d, want 1", mirror.Era())
		}
	})
}
