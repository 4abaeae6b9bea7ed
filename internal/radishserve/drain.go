package radishserve

import (
	"sync"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishrule"
)

// LocalDrains are orders to take a data centre or a target out that an operator gave to a VM directly, as when the
// platform cannot be reached. Peers merge them: an order is known by its id, and lifting it is final.
type LocalDrains struct {
	mu     sync.Mutex
	drains map[string]*radishpeerpb.LocalDrain
}

// Merge takes in orders and tells whether any was new.
func (d *LocalDrains) Merge(orders []*radishpeerpb.LocalDrain) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for _, order := range orders {
		known := d.drains[order.GetId()]
		if known != nil && (known.GetLifted() || !order.GetLifted()) {
			continue
		}
		if d.drains == nil {
			d.drains = make(map[string]*radishpeerpb.LocalDrain)
		}
		d.drains[order.GetId()] = order
		changed = true
	}
	return changed
}

// List returns all orders, lifted ones included.
func (d *LocalDrains) List() []*radishpeerpb.LocalDrain {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]*radishpeerpb.LocalDrain, 0, len(d.drains))
	for _, order := range d.drains {
		list = append(list, order)
	}
	return list
}

// IsDrained tells whether an order or a rule in force takes the target out.
func (d *LocalDrains) IsDrained(t radish.Target, rules *radishrule.RuleSet) bool {
	if rules != nil && (rules.IsDataCentreDrained(t.DataCentre) || rules.IsTargetDrained(t.Name)) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, order := range d.drains {
		if order.GetLifted() {
			continue
		}
		if order.GetDataCentre() == t.DataCentre || order.GetTarget() == t.Name {
			return true
		}
	}
	return false
}
