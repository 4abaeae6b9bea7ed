package radishsite

import (
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrollout"
)

// toRolloutOrder returns the part of the order that decisions about its rollout use.
func toRolloutOrder(o radish.RolloutOrder) radishrollout.Order {
	return radishrollout.Order{
		Service: o.Service, Version: o.Version, Duration: o.Duration, CreatedRevision: o.CreatedRevision, Revision: int64(o.Revision),
	}
}

// setOrder applies an order's record. A record with another object or specification than before is a new order; the evidence on the one
// before is dropped.
func (m *rolloutManager) setOrder(o radish.RolloutOrder, source string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(o.Service)
	if previous, ok := m.serviceOf[o.Name]; ok && previous != o.Service {
		m.withdraw(m.service(previous), o.Name, source)
	}
	m.serviceOf[o.Name] = o.Service
	if s.hasOrder && s.order.Name == o.Name && s.order.Revision > o.Revision {
		return
	}
	if !s.hasOrder || s.orderID != toRolloutOrder(o).ID() {
		m.start(s, o, source, now)
	}
	s.order = o
	if o.Status != s.staleStatus {
		s.staleStatus = radish.RolloutStatus{}
	}
	if o.Status.Version != o.Version || !o.Status.State.IsFinal() || o.Status == s.staleStatus || s.finished != "" {
		return
	}
	s.finish(o.Status.State)
	m.log.Info("rollout has its final state", "service", o.Service, "version", o.Version, "state", string(o.Status.State),
		"revision", o.Revision.String(), "source", source)
}

// start begins a new order.
func (m *rolloutManager) start(s *serviceVersions, o radish.RolloutOrder, source string, now time.Time) {
	// The status of an earlier order of the same object remains until the next one is written.
	isSameObject := s.hasOrder && s.order.Name == o.Name && s.order.CreatedRevision == o.CreatedRevision
	s.staleStatus = radish.RolloutStatus{}
	if isSameObject && s.order.Status == o.Status && o.Status.State == radish.RolloutReverted {
		s.staleStatus = o.Status
	}
	if o.Status.State == radish.RolloutCompleted {
		s.served = o.Status.Version
	}
	s.bar()
	s.unbar(o.Version)
	settings := m.settings()
	s.hasOrder, s.order, s.orderID, s.finished = true, o, toRolloutOrder(o).ID(), ""
	s.writer, s.decision, s.loggedAt = statusWriter{}, radishrollout.Decision{}, time.Time{}
	s.rollout = &radishrollout.Rollout{
		Order: toRolloutOrder(o), Self: m.self, StartedAt: now, VMs: max(1, m.vmCount()),
		Limits: radishrollout.Limits{MaxShare: settings.ExposureShare, Slack: settings.ExposureSlack, RevertWithin: settings.RevertWithin},
	}
	if o.Version == s.served {
		s.rollout.Finish(radishrollout.PhaseCompleted)
	}
	m.log.Info("rollout ordered", "service", o.Service, "version", o.Version, "served", s.served, "duration_ms", o.Duration.Milliseconds(),
		"created_revision", o.CreatedRevision, "revision", o.Revision.String(), "status", string(o.Status.State), "source", source)
}

// maxBarred is the number of versions of a service that stay barred.
const maxBarred = 64

// bar keeps calls from the version of the order, which ends without having been completed, until it is ordered again.
func (s *serviceVersions) bar() {
	if !s.hasOrder || s.order.Version == s.served {
		return
	}
	s.unbar(s.order.Version)
	// Filters may still use the slice.
	s.barred = append(slices.Clone(s.barred[max(0, len(s.barred)-maxBarred+1):]), s.order.Version)
}

// unbar lets the version get calls again.
func (s *serviceVersions) unbar(version string) {
	s.barred = slices.DeleteFunc(slices.Clone(s.barred), func(other string) bool { return other == version })
}

// finish records the final state that the store has. The evidence is no longer needed.
func (s *serviceVersions) finish(state radish.RolloutState) {
	s.finished, s.rollout = state, nil
	if state == radish.RolloutCompleted {
		s.served = s.order.Version
	}
}

// removeOrder applies the removal of an order's record.
func (m *rolloutManager) removeOrder(name, source string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	service, ok := m.serviceOf[name]
	if !ok {
		return
	}
	delete(m.serviceOf, name)
	m.withdraw(m.service(service), name, source)
}

// withdraw ends the order of the record. The version of an order that did not complete gets no more calls until it is ordered again.
func (m *rolloutManager) withdraw(s *serviceVersions, name, source string) {
	if !s.hasOrder || s.order.Name != name {
		return
	}
	s.bar()
	s.hasOrder, s.rollout, s.finished = false, nil, ""
	m.log.Info("rollout withdrawn", "service", s.order.Service, "version", s.order.Version, "served", s.served, "source", source)
}
