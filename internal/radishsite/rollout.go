package radishsite

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishrollout"
)

// rolloutManager keeps the state of the operator's orders to move services to other versions. It decides which versions get this VM's
// calls, and reports the state of the orders. It exists only where the settings limit the exposure of versions.
type rolloutManager struct {
	self     radishrollout.Source
	settings func() *radish.PlatformSettings
	// vmCount returns the number of VMs, or 0 while it is not known.
	vmCount func() int
	metrics *radishmetric.Metrics
	log     hclog.Logger

	mu       sync.Mutex
	services map[string]*serviceVersions
	// serviceOf holds the service of each order by the name of its record.
	serviceOf map[string]string
	// hasPeerAnswer is whether a peer has answered what it knows of orders.
	hasPeerAnswer bool
}

// serviceVersions is what is known of the versions of one service. Its order stays until its record is removed.
type serviceVersions struct {
	order radish.RolloutOrder
	// orderID identifies the order, also after its removal; 0 if there has been none.
	orderID int64
	// hasOrder is whether the order's record exists. rollout is the order's state, nil once the store has its final state, which is then
	// in finished.
	hasOrder bool
	rollout  *radishrollout.Rollout
	finished radish.RolloutState
	// staleStatus is a final status of an earlier order that is still in the record.
	staleStatus radish.RolloutStatus
	// served is the version of the last completed order. barred lists the versions of orders that were reverted, withdrawn or replaced
	// before they were completed; they get no calls until they are ordered again.
	served string
	barred []string
	// inFlight counts the calls in flight by version.
	inFlight map[string]int
	decision radishrollout.Decision
	loggedAt time.Time
	writer   statusWriter
}

func (m *rolloutManager) service(name string) *serviceVersions {
	if m.services == nil {
		m.services = make(map[string]*serviceVersions)
		m.serviceOf = make(map[string]string)
	}
	s := m.services[name]
	if s == nil {
		s = &serviceVersions{inFlight: make(map[string]int)}
		m.services[name] = s
	}
	return s
}

// Versions implements radishfleet.VersionGate.
func (m *rolloutManager) Versions(service, route string, calls int, now time.Time) radishfleet.VersionRule {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil {
		return radishfleet.VersionRule{}
	}
	if !s.hasOrder {
		return radishfleet.VersionRule{Served: s.served, Barred: s.barred, IsLenient: true}
	}
	rule := radishfleet.VersionRule{Candidate: s.order.Version, Served: s.served, Barred: s.barred}
	if s.rollout == nil {
		if s.finished == radish.RolloutCompleted {
			rule.Use = radishfleet.CandidateOnly
		}
		return rule
	}
	rule.Avoid, rule.MayServeAlone = s.rollout.SuspectTarget(), true
	switch {
	case s.rollout.MustUse(now):
		rule.Use = radishfleet.CandidateOnly
	case calls > 0:
		m.admit(s, &rule, route, calls, now)
	}
	return rule
}

// admit completes the rule for calls that may go to the candidate. Without the list of VMs, this VM cannot compute its part of the limits.
func (m *rolloutManager) admit(s *serviceVersions, rule *radishfleet.VersionRule, route string, calls int, now time.Time) {
	vms := m.vmCount()
	if vms == 0 || !s.rollout.AdmitCalls(route, calls, vms, now) {
		return
	}
	rule.Use, rule.Share, rule.Key = radishfleet.CandidateAdmitted, s.rollout.Decide(now).Share, s.order.Service+"/"+s.order.Version
}

// RecordSend implements radishfleet.VersionGate.
func (m *rolloutManager) RecordSend(t radish.Target, route string, calls int, now time.Time) {
	m.metrics.RecordVersionCalls(t.Service, t.Version, calls)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(t.Service)
	s.inFlight[t.Version] += calls
	if s.rollout != nil {
		s.rollout.RecordSend(route, t.Version == s.order.Version, calls, now)
	}
}

// RecordResult implements radishfleet.VersionGate.
func (m *rolloutManager) RecordResult(t radish.Target, r radishfleet.VersionResult, now time.Time) {
	m.metrics.RecordVersionFailures(t.Service, t.Version, r.Failed)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(t.Service)
	if s.inFlight[t.Version] -= r.Calls; s.inFlight[t.Version] <= 0 {
		delete(s.inFlight, t.Version)
	}
	if s.rollout == nil || r.Inconclusive {
		return
	}
	sample := radishrollout.Sample{Route: r.Route, Candidate: t.Version == s.order.Version, Took: r.Took, Target: t.Name}
	for i := range r.Calls {
		sample.Failed = i < r.Failed
		s.rollout.RecordResult(sample, now)
	}
}

// oldInFlight returns the number of calls in flight at targets of other versions than the order's.
func (s *serviceVersions) oldInFlight() int {
	n := 0
	for version, calls := range s.inFlight {
		if version != s.order.Version {
			n += calls
		}
	}
	return n
}

// isRunning reports whether the order has no final state yet.
func (s *serviceVersions) isRunning() bool { return s.hasOrder && s.rollout != nil }

// runningCount returns the number of orders without a final state.
func (m *rolloutManager) runningCount() int {
	if m == nil {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, s := range m.services {
		if s.isRunning() {
			n++
		}
	}
	return n
}

// runningOrders returns the orders without a final state.
func (m *rolloutManager) runningOrders() []radish.RolloutOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var orders []radish.RolloutOrder
	for _, s := range m.services {
		if s.isRunning() {
			orders = append(orders, s.order)
		}
	}
	return orders
}
