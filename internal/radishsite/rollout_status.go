package radishsite

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishrollout"
)

const (
	// rolloutInterval is the time between two decisions on running orders.
	rolloutInterval = 100 * time.Millisecond
	// evidenceInterval is the time between two reports of this VM's evidence to all peers.
	evidenceInterval = 500 * time.Millisecond
	// statusTakeover is how long a VM waits for the status that another one is to write. Shortly before the deadline it is the
	// time left divided by statusTakeoverDivisor, at least minStatusTakeover.
	statusTakeover        = time.Second
	minStatusTakeover     = 200 * time.Millisecond
	statusTakeoverDivisor = 4
	// revertDelay is the time from the decision that a version is reverted to its write, so that all VMs have stopped sending to it by then:
	// those that the decision does not reach stop when they have heard too few others for 1.5 s. Shortly before the deadline it is the
	// time left divided by revertDelayDivisor, at least minRevertDelay.
	revertDelay        = 2 * time.Second
	minRevertDelay     = 200 * time.Millisecond
	revertDelayDivisor = 4
	// minStatusRetry and maxStatusRetry bound the time after a failed write, which doubles with each failure.
	minStatusRetry = 200 * time.Millisecond
	maxStatusRetry = time.Second
	// statusTimeout limits a write of a status and the list that follows an ambiguous one.
	statusTimeout = 3 * time.Second
)

// statusWriter is the progress of writing the status of one order.
type statusWriter struct {
	wanted      radish.RolloutState
	wantedSince time.Time
	isWriting   bool
	failures    int
	retryAt     time.Time
}

// neededState returns the state that is to be written next, or "" if the store has it. A state is final only after running was written.
func (s *serviceVersions) neededState() radish.RolloutState {
	written := s.order.Status
	if written.Version != s.order.Version || written.State != radish.RolloutRunning {
		return radish.RolloutRunning
	}
	switch s.decision.Phase {
	case radishrollout.PhaseCompleted:
		return radish.RolloutCompleted
	case radishrollout.PhaseReverted:
		return radish.RolloutReverted
	default:
		return radish.RolloutPending
	}
}

// beginWrite returns the status to write now, if the store needs one and it is the turn of this VM, whose rank among the VMs that may
// write it is given. endWrite must follow.
func (m *rolloutManager) beginWrite(service string, rank int, now time.Time) (order radish.RolloutOrder, status radish.RolloutStatus, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[service]
	if s == nil || !s.isRunning() {
		return order, status, false
	}
	w, state := &s.writer, s.neededState()
	left := s.order.Duration - now.Sub(s.rollout.StartedAt)
	if state != w.wanted {
		w.wanted, w.wantedSince = state, now
		if state == radish.RolloutReverted {
			w.wantedSince = now.Add(min(revertDelay, max(minRevertDelay, left/revertDelayDivisor)))
		}
	}
	turn := w.wantedSince.Add(time.Duration(rank) * min(statusTakeover, max(minStatusTakeover, left/statusTakeoverDivisor)))
	if state == radish.RolloutPending || w.isWriting || now.Before(turn) || now.Before(w.retryAt) {
		return order, status, false
	}
	w.isWriting = true
	return s.order, radish.RolloutStatus{State: state, Version: s.order.Version}, true
}

// endWrite records the outcome of a write.
func (m *rolloutManager) endWrite(order radish.RolloutOrder, err error, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.services[order.Service]
	if s == nil || !s.isRunning() || s.orderID != toRolloutOrder(order).ID() {
		return
	}
	w := &s.writer
	w.isWriting = false
	if err == nil {
		w.failures, w.retryAt = 0, time.Time{}
		return
	}
	w.retryAt = now.Add(min(maxStatusRetry, minStatusRetry<<min(w.failures, 8)))
	w.failures++
}

// rolloutReporter decides on running orders, reports this VM's evidence to peers and writes the status.
type rolloutReporter struct {
	manager *rolloutManager
	peers   *peerManager
	store   radish.RolloutStore
	records radish.RecordStore
	// onChange is called when versions get other calls than before.
	onChange func()
	// oldResults returns the number of stage results that this VM's coordinators have at targets of other versions than the given one.
	oldResults func(service, version string) int
	log        hclog.Logger

	reportedAt time.Time
}

// Run decides until ctx ends.
func (r *rolloutReporter) Run(ctx context.Context) error {
	return radish.Every(ctx, rolloutInterval, func(now time.Time) { r.step(ctx, now) })
}

func (r *rolloutReporter) step(ctx context.Context, now time.Time) {
	orders := r.manager.runningOrders()
	if len(orders) == 0 {
		return
	}
	targets := make(map[string]serviceTargets, len(orders))
	for _, o := range orders {
		targets[o.Service] = serviceTargets{
			candidates: r.peers.state.fleet.VersionTargets(o.Service, o.Version), oldResults: r.oldResults(o.Service, o.Version),
		}
	}
	changed, isBad := r.manager.decide(targets, now)
	if changed {
		r.onChange()
	}
	if isBad || now.Sub(r.reportedAt) >= evidenceInterval {
		r.reportedAt = now
		r.peers.pushEvidence(ctx)
	}
	for _, o := range orders {
		if order, status, ok := r.manager.beginWrite(o.Service, r.peers.writerRank("rollout/"+o.Service), now); ok {
			go r.write(ctx, order, status)
		}
	}
}

// write writes a status on the revision that this VM knows. What the store holds after that applies, whoever wrote it.
func (r *rolloutReporter) write(ctx context.Context, order radish.RolloutOrder, status radish.RolloutStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	startedAt := time.Now()
	record, err := r.store.SaveRolloutStatus(ctx, order.Name, order.Revision, status)
	fields := []any{
		"service", order.Service, "version", status.Version, "state", string(status.State), "revision", order.Revision.String(),
		"took_ms", time.Since(startedAt).Milliseconds(),
	}
	if err == nil {
		r.log.Info("rollout status written", fields...)
	} else {
		r.log.Warn("rollout status not written", append(fields, "error", err.Error())...)
	}
	switch {
	case record.Name != "":
		r.peers.applyChanges(r.peers.mirror.Apply([]radish.Record{record}), "status")
	case err == nil || errors.Is(err, radish.ErrAmbiguous) || errors.Is(err, radish.ErrConflict) || errors.Is(err, radish.ErrNotFound):
		r.readOrders(ctx)
	}
	r.manager.endWrite(order, err, time.Now())
}

// readOrders lists the orders again, since it is not known what the store holds.
func (r *rolloutReporter) readOrders(ctx context.Context) {
	records, revision, err := r.records.List(ctx, radish.RecordRollout)
	if err != nil {
		r.log.Warn("cannot read the orders after a write", "error", err.Error())
		return
	}
	r.peers.applyChanges(r.peers.mirror.Replace(radish.RecordRollout, records, revision), "status")
}
