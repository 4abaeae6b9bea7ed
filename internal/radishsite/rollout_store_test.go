package radishsite

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// writeFault is what happens to a VM's write of a status.
type writeFault int

const (
	writeServed writeFault = iota
	// writeRefused turns the VM away.
	writeRefused
	// writeLost serves the write; the VM does not learn of it.
	writeLost
	// writeUnanswered neither serves nor answers the write.
	writeUnanswered
)

// statusWrite is a status that the store has.
type statusWrite struct {
	radish.RolloutStatus
	vm string
	at time.Time
}

// orderStore holds the orders and passes their changes to the VMs that reach it.
type orderStore struct {
	mu       sync.Mutex
	revision radish.Revision
	orders   map[string]radish.RolloutOrder
	writes   []statusWrite
	vms      map[string]*rolloutVM
	// fault decides on a VM's write, and delay is how long each call takes. isAway reports whether the VM cannot reach the store.
	fault  func(vm string, s radish.RolloutStatus) writeFault
	delay  time.Duration
	isAway func(vm string) bool
	// losesWatches makes the VMs learn of changes only from the responses to their own requests and from each other.
	losesWatches bool
}

func newOrderStore() *orderStore {
	return &orderStore{revision: 10, orders: make(map[string]radish.RolloutOrder), vms: make(map[string]*rolloutVM)}
}

// put writes an order as the operator does.
func (s *orderStore) put(service, version string, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o, ok := s.orders[service]
	if !ok {
		o.CreatedRevision = s.revision.Number()
	}
	o.Name, o.Service, o.Version, o.Duration, o.Revision = service, service, version, duration, s.revision
	s.orders[service] = o
	s.notify()
}

// remove removes an order as the operator does.
func (s *orderStore) remove(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.orders, service)
	s.notify()
}

func recordOf(o radish.RolloutOrder) radish.Record {
	value, _ := json.Marshal(o)
	return radish.Record{Kind: radish.RecordRollout, Name: o.Name, Revision: o.Revision, Value: value}
}

// notify passes the orders to the VMs that reach the store now.
func (s *orderStore) notify() {
	if s.losesWatches {
		return
	}
	for name, vm := range s.vms {
		if s.isAway == nil || !s.isAway(name) {
			go func() {
				time.Sleep(30 * time.Millisecond)
				s.mu.Lock()
				records, revision := s.list()
				s.mu.Unlock()
				vm.applyChanges(vm.mirror.Replace(radish.RecordRollout, records, revision), "store")
			}()
		}
	}
}

func (s *orderStore) list() (records []radish.Record, revision radish.Revision) {
	for _, o := range s.orders {
		records = append(records, recordOf(o))
	}
	return records, s.revision
}

// status returns the status of the service's order.
func (s *orderStore) status(service string) radish.RolloutStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.orders[service].Status
}

// statuses returns what was written.
func (s *orderStore) statuses() []statusWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.writes)
}

// storeView is the store as one VM reaches it.
type storeView struct {
	radish.RecordStore
	*orderStore
	vm string
}

func (v *storeView) reach() error {
	time.Sleep(v.delay)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isAway != nil && v.isAway(v.vm) {
		return radish.ErrUnavailable
	}
	return nil
}

// SaveRolloutStatus implements radish.RolloutStore.
func (v *storeView) SaveRolloutStatus(ctx context.Context, name string, revision radish.Revision, status radish.RolloutStatus) (radish.Record, error) {
	if err := v.reach(); err != nil {
		return radish.Record{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	fault := writeServed
	if v.fault != nil {
		fault = v.fault(v.vm, status)
	}
	o, ok := v.orders[name]
	switch {
	case fault == writeRefused:
		return radish.Record{}, radish.ErrUnavailable
	case fault == writeUnanswered:
		v.mu.Unlock()
		<-ctx.Done()
		v.mu.Lock()
		return radish.Record{}, radish.ErrAmbiguous
	case !ok:
		return radish.Record{}, radish.ErrNotFound
	case o.Revision != revision:
		return recordOf(o), radish.ErrConflict
	}
	v.revision++
	o.Revision, o.Status = v.revision, status
	v.orders[name] = o
	v.writes = append(v.writes, statusWrite{RolloutStatus: status, vm: v.vm, at: time.Now()})
	v.notify()
	if fault == writeLost {
		return radish.Record{}, radish.ErrAmbiguous
	}
	return recordOf(o), nil
}

// List implements radish.RecordStore.
func (v *storeView) List(context.Context, radish.RecordKind) ([]radish.Record, radish.Revision, error) {
	if err := v.reach(); err != nil {
		return nil, 0, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	records, revision := v.list()
	return records, revision, nil
}
