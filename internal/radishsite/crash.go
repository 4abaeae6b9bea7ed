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

// encodeCrashes encodes crashes for other VMs; their ages are counted from the given time.
func encodeCrashes(crashes []radishquarantine.Crash, now time.Time) []*radishpeerpb.TargetCrash {
	var encoded []*radishpeerpb.TargetCrash
	for _, c := range crashes {
		m := &radishpeerpb.TargetCrash{
			Target: c.Target, Service: c.Service, StartedUnixMs: c.StartedUnixMilli, AgeMs: uint32(min(now.Sub(c.At).Milliseconds(), math.MaxUint32)),
		}
		for _, part := range c.Parts {
			m.Parts = append(m.Parts, &radishpeerpb.SuspectedPart{Id: part.ID, Known: part.Known, Cleared: part.Cleared})
		}
		encoded = append(encoded, m)
	}
	return encoded
}

// decodeCrashes decodes crashes from another VM, no more than are kept.
func decodeCrashes(reports []*radishpeerpb.TargetCrash, now time.Time) []radishquarantine.Crash {
	crashes := make([]radishquarantine.Crash, 0, min(len(reports), radishquarantine.MaxCrashes))
	for _, m := range reports[:cap(crashes)] {
		c := radishquarantine.Crash{
			Target: m.GetTarget(), Service: m.GetService(), StartedUnixMilli: m.GetStartedUnixMs(),
			At: now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
		for _, part := range m.GetParts() {
			c.Parts = append(c.Parts, radishquarantine.Part{ID: part.GetId(), Known: part.GetKnown(), Cleared: part.GetCleared()})
		}
		crashes = append(crashes, c)
	}
	return crashes
}

// mergeCrashes takes over evidence from the source, which is a peer or the store, and passes on what is new.
func (p *peerManager) mergeCrashes(reports []*radishpeerpb.TargetCrash, source string) {
	if len(reports) == 0 {
		return
	}
	now := time.Now()
	crashes := decodeCrashes(reports, now)
	if p.quarantine.Merge(crashes, now) {
		p.log.Info("crashes of targets reported", "source", source, "crashes", len(crashes))
		p.shareReports()
	}
}
