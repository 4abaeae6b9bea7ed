package radishsite

import (
	"math"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

// isTrialVM reports whether this VM is the one that tries a call with a quarantined group of prompt parts again.
func (p *peerManager) isTrialVM(group string) bool {
	owners := radish.RendezvousOwners(p.availableVMs(), "trial/"+group, 1)
	return len(owners) > 0 && owners[0] == p.self.Name
}

func (p *peerManager) encodeCrashes() []*radishpeerpb.TargetCrash {
	now := time.Now()
	var encoded []*radishpeerpb.TargetCrash
	for _, c := range p.quarantine.Crashes() {
		m := &radishpeerpb.TargetCrash{Target: c.Target, Service: c.Service, AgeMs: uint32(min(now.Sub(c.At).Milliseconds(), math.MaxUint32))}
		for _, part := range c.Parts {
			m.Parts = append(m.Parts, &radishpeerpb.SuspectedPart{Id: part.ID, Known: part.Known, Cleared: part.Cleared})
		}
		encoded = append(encoded, m)
	}
	return encoded
}

// mergeCrashes takes over the evidence of a peer and passes on what is new.
func (p *peerManager) mergeCrashes(reports []*radishpeerpb.TargetCrash, peer string) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	crashes := make([]radishquarantine.Crash, 0, min(len(reports), radishquarantine.MaxCrashes))
	for _, m := range reports[:cap(crashes)] {
		c := radishquarantine.Crash{Target: m.GetTarget(), Service: m.GetService(), At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond)}
		for _, part := range m.GetParts() {
			c.Parts = append(c.Parts, radishquarantine.Part{ID: part.GetId(), Known: part.GetKnown(), Cleared: part.GetCleared()})
		}
		crashes = append(crashes, c)
	}
	if p.quarantine.Merge(crashes, now) {
		p.log.Info("crashes of targets reported by a peer", "peer", peer, "crashes", len(crashes))
		p.shareReports()
	}
}
