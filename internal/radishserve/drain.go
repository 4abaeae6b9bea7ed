package radishserve

import (
	"sync"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishrule"
)

// LocalDrains holds the drains of data centres and targets that operators requested from a VM directly instead of by a
// rule, for example while the platform is unreachable. The VMs exchange them in their heartbeats and merge them by ID.
// A lifted drain cannot be reinstated.
type LocalDrains struct {
	mu     sync.Mutex
	drains map[string]*radishpeerpb.LocalDrain
}

// Merge adds new drains, marks drains as lifted, and reports whether anything changed.
func (d *LocalDrains) Merge(drains []*radishpeerpb.LocalDrain) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, drain := range drains {
		known := d.drains[drain.GetId()]
		if known != nil && (known.GetLifted() || !drain.GetLifted()) {
			continue
		}
		if d.drains == nil {
			d.drains = make(map[string]*radishpeerpb.LocalDrain)
		}
		d.drains[drain.GetId()] = drain
		changed = true
	}
	return changed
}

// List returns all drains, including lifted ones.
func (d *LocalDrains) List() []*radishpeerpb.LocalDrain {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*radishpeerpb.LocalDrain, 0, len(d.drains))
	for _, drain := range d.drains {
		list = append(list, drain)
	}
	return list
}

// IsDrained reports whether the target is drained by a rule or by a local drain that has not been lifted.
func (d *LocalDrains) IsDrained(t radish.Target, rules *radishrule.RuleSet) bool {
	if rules != nil && (rules.IsDataCentreDrained(t.DataCentre) || rules.IsTargetDrained(t.Name)) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, drain := range d.drains {
		if drain.GetLifted() {
			continue
		}
		if drain.GetDataCentre() == t.DataCentre || drain.GetTarget() == t.Name {
			return true
		}
	}
	return false
}
