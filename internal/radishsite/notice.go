package radishsite

import (
	"math"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// ObserveTarget implements radish.TargetObserver.
func (s *Server) ObserveTarget(t radish.Target, n radish.TargetNotice) {
	if n.InvalidPause != "" {
		s.invalidPauses.Add(1)
		s.Log.Warn("target asked for an invalid pause", "target", t.Name, "address", t.Address, "retry_after", n.InvalidPause, "granted_ms", n.Pause.Milliseconds())
	}
	if !s.fleet.Observe(t, n, time.Now()) {
		return
	}
	if n.IsLeaving {
		s.Log.Info("target announced that it leaves", "target", t.Name, "address", t.Address, "source", "response")
		s.peers.shareReports()
	}
	if n.Cold > 0 {
		s.Log.Info("target said that it is cold", "target", t.Name, "address", t.Address, "cold_ms", n.Cold.Milliseconds(), "source", "response")
		s.peers.shareReports()
	}
	if n.Pause > 0 {
		s.Log.Info("target asked for a pause", "target", t.Name, "address", t.Address, "pause_ms", n.Pause.Milliseconds())
	}
	s.redispatchAll()
}

func (p *peerManager) encodeLeaving() []*radishpeerpb.LeavingTarget {
	now := time.Now()
	var encoded []*radishpeerpb.LeavingTarget
	for _, t := range p.state.fleet.LeavingTargets(now) {
		encoded = append(encoded, &radishpeerpb.LeavingTarget{
			Target: t.Name, StartedUnixMs: t.StartedUnixMilli, AgeMs: uint32(min(now.Sub(t.At).Milliseconds(), math.MaxUint32)),
		})
	}
	return encoded
}

// mergeLeaving takes over the announcements of targets that a peer reports and passes on what is new.
func (p *peerManager) mergeLeaving(reports []*radishpeerpb.LeavingTarget, peer string) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	targets := make([]radishfleet.LeavingTarget, 0, min(len(reports), radishfleet.MaxLeavingTargets))
	for _, m := range reports[:cap(targets)] {
		targets = append(targets, radishfleet.LeavingTarget{
			Name: m.GetTarget(), StartedUnixMilli: m.GetStartedUnixMs(), At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		})
	}
	recorded := p.state.fleet.MergeLeaving(targets, now)
	for _, t := range recorded {
		p.log.Info("target announced that it leaves", "target", t.Name, "source", peer, "age_ms", now.Sub(t.At).Milliseconds())
	}
	if len(recorded) > 0 {
		p.state.onChange()
		p.shareReports()
	}
}

func (p *peerManager) encodeCold() []*radishpeerpb.ColdTarget {
	now := time.Now()
	var encoded []*radishpeerpb.ColdTarget
	for _, c := range p.state.fleet.ColdTargets(now) {
		encoded = append(encoded, &radishpeerpb.ColdTarget{
			Target: c.Name, StartedUnixMs: c.StartedUnixMilli, RemainingMs: uint32(min(c.Until.Sub(now).Milliseconds(), math.MaxUint32)),
		})
	}
	return encoded
}

// mergeCold takes over the cold targets that a peer reports and passes on what is new.
func (p *peerManager) mergeCold(reports []*radishpeerpb.ColdTarget, peer string) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	targets := make([]radishfleet.ColdTarget, 0, len(reports))
	for _, m := range reports {
		targets = append(targets, radishfleet.ColdTarget{
			Name: m.GetTarget(), StartedUnixMilli: m.GetStartedUnixMs(), Until: now.Add(time.Duration(m.GetRemainingMs()) * time.Millisecond),
		})
	}
	recorded := p.state.fleet.MergeCold(targets, now)
	for _, c := range recorded {
		p.log.Info("target said that it is cold", "target", c.Name, "source", peer, "cold_ms", c.Until.Sub(now).Milliseconds())
	}
	if len(recorded) > 0 {
		p.state.onChange()
		p.shareReports()
	}
}
