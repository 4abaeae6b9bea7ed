package radishserve

import (
	"cmp"
	"maps"
	"slices"

	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishplacement"
)

// buildPlacement lets the steward of the data centre also give the orders to its targets.
func (s *Server) buildPlacement() {
	store := &radishconfig.Store{Platform: s.platform}
	s.placer = &radishplacement.Placer{
		Lease: s.lease, Client: s.orders, Plan: s.placementPlan, Newest: store.Newest,
		Interval: s.Settings.Placement.Interval, OrderTimeout: s.Settings.Placement.OrderTimeout,
		OnOrder: s.metrics.Order, Log: s.Log.Named("placement"),
	}
}

// placementPlan returns what the rules in force want of the targets of the own data centre.
func (s *Server) placementPlan() radishplacement.Plan {
	inForce := s.holder.Current()
	if inForce == nil || len(inForce.Rules.Placements) == 0 {
		return radishplacement.Plan{}
	}
	groups := make(map[string]*radishplacement.Group)
	for _, t := range s.table.LocalTargets() {
		rule := inForce.Rules.Placement(t)
		if rule == nil || t.Leaving {
			continue
		}
		g := groups[t.Service]
		if g == nil {
			g = &radishplacement.Group{Service: t.Service, ChecksFencing: inForce.Rules.Services[t.Service].ChecksFencing}
			groups[t.Service] = g
		}
		g.Wants = append(g.Wants, radishplacement.Want{Target: t, Engine: rule.Engine(), AtATime: rule.AtATime})
	}
	plan := radishplacement.Plan{Generation: inForce.Snapshot.Head.Generation}
	for _, service := range slices.Sorted(maps.Keys(groups)) {
		g := groups[service]
		slices.SortFunc(g.Wants, func(a, b radishplacement.Want) int { return cmp.Compare(a.Target.Name, b.Target.Name) })
		plan.Groups = append(plan.Groups, *g)
	}
	return plan
}
