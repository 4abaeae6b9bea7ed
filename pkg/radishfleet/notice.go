package radishfleet

import (
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Observe records what a target says about itself in a response and reports whether this changes whether it may be sent to. A target
// without a name is the one that started last at the address. A report of its load alone changes nothing in this sense.
func (f *Fleet) Observe(t radish.Target, n radish.TargetNotice, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t.Name == "" {
		s := f.newestAt[t.Address]
		if s == nil {
			return false
		}
		t = s.target
	}
	isNew := n.IsLeaving && f.recordLeaving(LeavingTarget{Name: t.Name, StartedUnixMilli: t.StartedUnixMilli, At: now}, now)
	s := f.targets[t.Name]
	if n.Load.Reported && s != nil && s.target.StartedUnixMilli == t.StartedUnixMilli {
		f.recordReport(s, n.Load, now)
	}
	if n.Cold > 0 && f.recordCold(ColdTarget{Name: t.Name, StartedUnixMilli: t.StartedUnixMilli, Until: now.Add(n.Cold)}, now) {
		isNew = true
	}
	if n.Pause > 0 && s != nil && s.target.StartedUnixMilli == t.StartedUnixMilli && s.pause(now.Add(n.Pause)) {
		isNew = true
	}
	return isNew
}
