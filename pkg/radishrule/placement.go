package radishrule

import (
	"cmp"
	"slices"

	"radishramp.example/radishramp/pkg/radish"
)

// Placement is the wanted state of the engines of a service, or of one of its targets.
type Placement struct {
	Service string `rule:"service" validate:"required"`
	// Target is empty for all targets of the service that have no placement of their own.
	Target   string   `rule:"target"`
	Model    string   `rule:"model" validate:"required,max=128"`
	Version  string   `rule:"version" validate:"max=64"`
	Adapters []string `rule:"adapters" validate:"max=64,unique,dive,min=1,max=128"`
	Role     string   `rule:"role" validate:"max=64"`
	// AtATime is how many targets of the service in a data centre may load at the same time.
	AtATime int  `rule:"at_a_time" validate:"min=1,max=1000"`
	Line    Line `rule:"-"`
}

// PlacementKey names a service and a target; an empty target stands for all of the service.
type PlacementKey struct {
	Service string
	Target  string
}

func init() {
	Kinds.Register("placement", Kind{
		Remove: func(s *RuleSet, rule any) { delete(s.Placements, rule.(*Placement).key()) },
		New:    func() any { return &Placement{AtATime: 1} },
		Finish: finishPlacement,
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Placement)
			return addUnique(s.Placements, r.key(), r, "service and target")
		},
		Check: func(s *RuleSet, rule any) error {
			return checkReference(s.Services, "service", rule.(*Placement).Service)
		},
	})
}

func (p *Placement) key() PlacementKey { return PlacementKey{Service: p.Service, Target: p.Target} }

func finishPlacement(rule any, line Line) error {
	r := rule.(*Placement)
	r.Line = line
	slices.Sort(r.Adapters)
	return nil
}

// Engine returns the wanted state.
func (p *Placement) Engine() radish.Engine {
	return radish.Engine{Model: p.Model, Version: p.Version, Adapters: p.Adapters, Role: p.Role}
}

// Placement returns the rule that places the target, nil when none does.
func (s *RuleSet) Placement(t radish.Target) *Placement {
	if own, ok := s.Placements[PlacementKey{Service: t.Service, Target: t.Name}]; ok {
		return own
	}
	return s.Placements[PlacementKey{Service: t.Service}]
}

// placementLines returns the service's placements, that of all its targets first.
func (s *RuleSet) placementLines(service string) []Line {
	var placements []*Placement
	for key, p := range s.Placements {
		if key.Service == service {
			placements = append(placements, p)
		}
	}
	slices.SortFunc(placements, func(a, b *Placement) int { return cmp.Compare(a.Target, b.Target) })
	var lines []Line
	for _, p := range placements {
		lines = append(lines, p.Line)
	}
	return lines
}
