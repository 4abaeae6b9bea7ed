package radishsite

import (
	"fmt"
	"slices"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// The history of a service is the served version and the barred versions that its earlier orders have left. The store holds only the last
// order, so VMs that start get the history from their peers. While the order stays the same, versions are only added to the history.

const (
	// maxHistories is the number of services whose histories are taken from a peer.
	maxHistories = 1024
	// maxVersionBytes limits the names of services and versions that are taken from peers.
	maxVersionBytes = 128
)

// recordAnswer records that a peer has answered what it knows of orders.
func (m *rolloutManager) recordAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hasPeerAnswer = true
}

// knowsHistory reports whether a peer has answered, or whether there is none.
func (m *rolloutManager) knowsHistory() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasPeerAnswer || m.vmCount() == 1
}

// hasHistory reports whether an order has left versions that get no calls.
func (s *serviceVersions) hasHistory() bool {
	return s.orderID != 0 && (s.served != "" || len(s.barred) > 0)
}

// historyHash returns a hash of the service's history; 0 if there is none.
func (s *serviceVersions) historyHash(service string) uint64 {
	if !s.hasHistory() {
		return 0
	}
	barred := slices.Sorted(slices.Values(s.barred))
	return radish.RendezvousScore(service, fmt.Sprint(s.orderID, s.hasOrder, s.served, barred))
}

// encodeHistories returns the histories of all services that have one.
func (m *rolloutManager) encodeHistories() []*radishpeerpb.RolloutHistory {
	m.mu.Lock()
	defer m.mu.Unlock()
	var encoded []*radishpeerpb.RolloutHistory
	for name, s := range m.services {
		if s.hasHistory() {
			encoded = append(encoded, &radishpeerpb.RolloutHistory{
				Service: name, OrderId: s.orderID, Withdrawn: !s.hasOrder, Served: s.served, Barred: s.barred,
			})
		}
	}
	return encoded
}

// mergeHistories takes over what a peer knows of earlier orders.
func (m *rolloutManager) mergeHistories(reports []*radishpeerpb.RolloutHistory, peer string) {
	if len(reports) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxHistories)] {
		isValid := r.GetService() != "" && len(r.GetService()) <= maxVersionBytes && r.GetOrderId() != 0 && len(r.GetServed()) <= maxVersionBytes
		if !isValid || m.services[r.GetService()] == nil && len(m.services) >= maxHistories {
			continue
		}
		s := m.service(r.GetService())
		if s.mergeHistory(r) {
			m.log.Info("rollout history reported by a peer", "service", r.GetService(), "served", s.served, "barred", s.barred, "peer", peer)
		}
	}
}

// mergeHistory adds a peer's history that belongs to the order that this VM knows, or to one that was withdrawn before this VM knew any. It
// reports whether anything was new.
func (s *serviceVersions) mergeHistory(r *radishpeerpb.RolloutHistory) bool {
	isSame := s.orderID == r.GetOrderId() && s.hasOrder != r.GetWithdrawn()
	if !isSame && (s.orderID != 0 || !r.GetWithdrawn()) {
		return false
	}
	s.orderID = r.GetOrderId()
	isNew := false
	if served := r.GetServed(); s.served == "" && served != "" && !s.isOrdered(served) {
		s.served, isNew = served, true
		s.unbar(served)
	}
	for _, version := range r.GetBarred() {
		isKnown := version == s.served || s.isOrdered(version) || slices.Contains(s.barred, version)
		if isKnown || len(version) > maxVersionBytes || len(s.barred) >= maxBarred {
			continue
		}
		// Filters may still use the slice.
		s.barred, isNew = append(slices.Clone(s.barred), version), true
	}
	return isNew
}

// isOrdered reports whether the service has an order of the version.
func (s *serviceVersions) isOrdered(version string) bool {
	return s.hasOrder && s.order.Version == version
}
