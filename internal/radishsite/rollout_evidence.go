package radishsite

import (
	"context"
	"fmt"
	"math"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishrollout"
)

// encodeEvidence returns the evidence on all running orders, or only that of this VM.
func (m *rolloutManager) encodeEvidence(onlySelf bool) []*radishpeerpb.RolloutEvidence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var encoded []*radishpeerpb.RolloutEvidence
	for name, s := range m.services {
		if !s.isRunning() {
			continue
		}
		evidence := s.rollout.Evidence()
		for i := range evidence {
			if !onlySelf || evidence[i].Source == m.self {
				encoded = append(encoded, encodeEvidence(name, &evidence[i]))
			}
		}
	}
	return encoded
}

func encodeEvidence(service string, e *radishrollout.Evidence) *radishpeerpb.RolloutEvidence {
	encoded := &radishpeerpb.RolloutEvidence{
		Service: service, OrderId: e.OrderRevision, Vm: e.Source.VM, Incarnation: e.Source.Incarnation,
		AgeMs: uint32(min(e.Age.Milliseconds(), math.MaxUint32)), Phase: string(e.Phase), OldInFlight: uint32(e.OldInFlight), Suspect: e.Suspect,
	}
	for i := range e.Routes {
		r := &e.Routes[i]
		route := &radishpeerpb.RolloutRoute{Route: r.Route, Old: encodeCounts(&r.Old), Candidate: encodeCounts(&r.Candidate)}
		for _, t := range r.Targets {
			route.Targets = append(route.Targets, &radishpeerpb.RolloutTarget{Target: t.Target, Responses: t.Responses, Bad: t.Bad})
		}
		encoded.Routes = append(encoded.Routes, route)
	}
	return encoded
}

func encodeCounts(v *radishrollout.VersionCounts) *radishpeerpb.RolloutCounts {
	return &radishpeerpb.RolloutCounts{Calls: v.Calls, Failures: v.Failures, Times: v.Times}
}

// mergeEvidence takes over the evidence of peers on orders that this VM knows. Invalid evidence is ignored.
func (m *rolloutManager) mergeEvidence(reports []*radishpeerpb.RolloutEvidence, now time.Time) {
	if len(reports) == 0 {
		return
	}
	byService := make(map[string][]radishrollout.Evidence)
	for _, r := range reports {
		byService[r.GetService()] = append(byService[r.GetService()], decodeEvidence(r))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, evidence := range byService {
		if s := m.services[name]; s != nil && s.isRunning() {
			s.rollout.Merge(evidence[:min(len(evidence), radishrollout.MaxSources)], now)
		}
	}
}

func decodeEvidence(r *radishpeerpb.RolloutEvidence) radishrollout.Evidence {
	e := radishrollout.Evidence{
		Source: radishrollout.Source{VM: r.GetVm(), Incarnation: r.GetIncarnation()}, OrderRevision: r.GetOrderId(),
		Age: time.Duration(r.GetAgeMs()) * time.Millisecond, Phase: radishrollout.Phase(r.GetPhase()), OldInFlight: int(r.GetOldInFlight()),
		Suspect: r.GetSuspect(),
	}
	for _, m := range r.GetRoutes() {
		route := radishrollout.RouteEvidence{Route: m.GetRoute(), Old: decodeCounts(m.GetOld()), Candidate: decodeCounts(m.GetCandidate())}
		for _, t := range m.GetTargets() {
			route.Targets = append(route.Targets, radishrollout.TargetEvidence{Target: t.GetTarget(), Responses: t.GetResponses(), Bad: t.GetBad()})
		}
		e.Routes = append(e.Routes, route)
	}
	return e
}

func decodeCounts(c *radishpeerpb.RolloutCounts) radishrollout.VersionCounts {
	return radishrollout.VersionCounts{Calls: c.GetCalls(), Failures: c.GetFailures(), Times: c.GetTimes()}
}

// digest returns a hash of the evidence of all VMs on running orders and of the histories; it is never 0.
func (m *rolloutManager) digest() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := uint64(1)
	for name, s := range m.services {
		digest += s.historyHash(name)
		if !s.isRunning() {
			continue
		}
		evidence := s.rollout.Evidence()
		for i := range evidence {
			e := &evidence[i]
			calls := uint64(0)
			for _, route := range e.Routes {
				calls += route.Old.Calls + route.Candidate.Calls
			}
			digest += radish.RendezvousScore(name+"/"+e.Source.VM, fmt.Sprint(e.OrderRevision, e.Source.Incarnation, e.Phase, calls))
		}
	}
	return max(1, digest)
}

// pushEvidence sends this VM's evidence to all peers. A peer that does not answer gets the next report.
func (p *peerManager) pushEvidence(ctx context.Context) {
	h := p.heartbeat()
	h.Rollouts, h.RolloutHistories = p.rollouts.encodeEvidence(true), p.rollouts.encodeHistories()
	for _, name := range p.node.Linked() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
			defer cancel()
			res, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: h}})
			if err != nil {
				p.log.Debug("peer did not take the evidence on rollouts", "peer", name, "error", err.Error())
				return
			}
			p.handleHeartbeat(res.GetSite())
		}()
	}
}
