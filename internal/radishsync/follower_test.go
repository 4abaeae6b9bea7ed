package radishsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishmirror"
)

// fakeStore is a store in memory whose watches can be made silent.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	records  map[string]radish.Record
	changed  chan struct{}
	silent   bool
	gone     bool
	away     bool
	toOthers bool
	calls    int
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

// left tells whether the follower leaves the store to others.
func (s *fakeStore) left() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.toOthers
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) List(context.Context, radish.RecordKind) ([]radish.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away {
		return nil, 0, radish.ErrUnavailable
	}
	var list []radish.Record
	for _, r := range s.records {
		list = append(list, r)
	}
	return list, s.revision, nil
}

func (s *fakeStore) Watch(ctx context.Context, _ radish.RecordKind, after int64, wait time.Duration) ([]radish.Record, int64, error) {
	end := time.After(wait)
	s.set(func() { s.calls++ })
	for {
		s.mu.Lock()
		changed, silent, gone, away, revision := s.changed, s.silent, s.gone, s.away, s.revision
		var news []radish.Record
		for _, r := range s.records {
			if r.Revision > after {
				news = append(news, r)
			}
		}
		s.gone = false
		s.mu.Unlock()
		switch {
		case away:
			return nil, 0, radish.ErrUnavailable
		case gone:
			return nil, 0, radish.ErrHistoryGone
		case len(news) > 0 && !silent:
			return news, revision, nil
		}
		select {
		case <-changed:
		case <-end:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

func (s *fakeStore) Save(context.Context, radish.RecordKind, string, []byte) error { return nil }
func (s *fakeStore) Drop(context.Context, radish.RecordKind, string) error         { return nil }

// follow runs a follower for the test's length and returns its mirror.
func follow(t *testing.T, store *fakeStore, isChecker bool) *radishmirror.Mirror {
	ctx, cancel := context.WithCancel(t.Context())
	mirror := &radishmirror.Mirror{}
	f := &Follower{
		Kind: radish.RecordConfig, Store: store, Mirror: mirror, Pause: 500 * time.Millisecond, CheckerPause: 100 * time.Millisecond,
		CheckInterval: time.Second, IsChecker: func() bool { return isChecker }, IsFollower: func() bool { return !store.left() }, OnNews: func([]radish.Record) {}, OnReach: func(bool) {},
		Log: hclog.NewNullLogger(),
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

func known(m *radishmirror.Mirror) int { return len(m.Records(radish.RecordConfig)) }

func TestFollowerTakesChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := follow(t, store, false)
		time.Sleep(time.Second)
		store.put("a")
		synctest.Wait()
		if known(mirror) != 1 {
			t.Error("a change is not known at once")
		}
	})
}

// TestCheckerHearsWhatASilentWatchMisses plays a history that is being dropped: watches stay silent for seconds while
// changes are made.
func TestCheckerHearsWhatASilentWatchMisses(t *testing.T) {
	for _, isChecker := range []bool{false, true} {
		t.Run(fmt.Sprint("checker ", isChecker), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				mirror := follow(t, store, isChecker)
				time.Sleep(time.Second)
				store.set(func() { store.silent = true })
				store.put("a")
				time.Sleep(2 * time.Second)
				if got := known(mirror) == 1; got != isChecker {
					t.Errorf("the change is known: %v, want %v", got, isChecker)
				}
			})
		})
	}
}

func TestLostHistoryIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := follow(t, store, false)
		time.Sleep(time.Second)
		store.set(func() { store.gone, store.silent = true, true })
		store.put("a")
		time.Sleep(time.Second)
		if known(mirror) != 1 {
			t.Error("the list after a lost history is not known")
		}
	})
}

func TestOutageIsOutlived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.put("a")
		mirror := follow(t, store, false)
		time.Sleep(time.Second)
		store.set(func() { store.away = true })
		store.put("b")
		before := store.callCount()
		time.Sleep(30 * time.Second)
		if known(mirror) != 1 {
			t.Error("what was known is lost in the outage")
		}
		// A second apart at most: the store's return must be noticed soon, without a stampede.
		if calls := store.callCount() - before; calls < 20 || calls > 80 {
			t.Errorf("%d calls in 30 s of outage", calls)
		}
		store.set(func() { store.away = false })
		time.Sleep(2 * time.Second)
		if known(mirror) != 2 {
			t.Error("the change is not known 2 s after the store's return")
		}
	})
}

// TestStormOfChangesIsCollected makes a change every 10 ms: calls are far fewer than changes.
func TestStormOfChangesIsCollected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := follow(t, store, false)
		time.Sleep(time.Second)
		before := store.callCount()
		for n := range 500 {
			store.put(fmt.Sprint(n))
			time.Sleep(10 * time.Millisecond)
		}
		if calls := store.callCount() - before; calls > 12 {
			t.Errorf("%d calls for 500 changes in 5 s", calls)
		}
		time.Sleep(time.Second)
		if known(mirror) != 500 {
			t.Errorf("%d of 500 changes are known", known(mirror))
		}
	})
}

// TestVMThatLearnsFromPeersMakesNoCalls leaves the store to others; when it is cut off from them it goes on from what
// they told.
func TestVMThatLearnsFromPeersMakesNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.set(func() { store.toOthers = true })
		mirror := follow(t, store, false)
		time.Sleep(time.Second)
		before := store.callCount()
		store.put("a")
		time.Sleep(time.Minute)
		if calls := store.callCount() - before; calls > 0 || known(mirror) != 0 {
			t.Errorf("%d calls, %d changes known", calls, known(mirror))
		}
		mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "a", Revision: 2}}, 2)
		store.put("b")
		store.set(func() { store.toOthers = false })
		time.Sleep(300 * time.Millisecond)
		if calls := store.callCount() - before; calls > 2 || known(mirror) != 2 {
			t.Errorf("%d calls, %d changes known after it was cut off", calls, known(mirror))
		}
	})
}

// TestCheckerHearsOfChangesAfterASilentOutage takes the store away, first with failures and then in silence, so that a
// watch is left that is never answered: a VM that is alone hears of a change within two seconds of the store's return.
func TestCheckerHearsOfChangesAfterASilentOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		mirror := follow(t, store, true)
		time.Sleep(time.Second)
		store.set(func() { store.away = true })
		store.put("a")
		time.Sleep(100 * time.Millisecond)
		store.set(func() { store.away, store.silent = false, true })
		time.Sleep(5 * time.Second)
		store.put("b")
		time.Sleep(2 * time.Second)
		if known(mirror) != 2 {
			t.Errorf("%d of 2 changes are known", known(mirror))
		}
	})
}
