package radishrule

import (
	"fmt"
	"slices"
	"strings"

	"radishramp.example/radishramp/pkg/radish"
)

// Kind defines a kind of rule. The first word of a line names its kind.
type Kind struct {
	// New returns a pointer to a rule with default values, into which the fields of a line are decoded.
	New func() any
	// Finish sets the line of a decoded rule and computes its derived fields. A finished rule is shared between rule
	// sets and must not be modified.
	Finish func(rule any, line Line) error
	// Add adds a finished rule to the set and returns an error if it is a duplicate.
	Add func(s *RuleSet, rule any) error
	// Remove removes a rule that Add added to the set.
	Remove func(s *RuleSet, rule any)
	// Check returns an error if the rule refers to a rule that is not in the set. It is called after all rules are
	// added, and is nil for kinds that refer to no other rules.
	Check func(s *RuleSet, rule any) error
}

// Kinds holds the registered rule kinds.
var Kinds radish.Registry[Kind]

func init() {
	Kinds.Register("pipeline", Kind{
		Remove: func(s *RuleSet, rule any) { delete(s.Pipelines, rule.(*Pipeline).Name) },
		New:    func() any { return &Pipeline{} },
		Finish: finishPipeline,
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Pipeline)
			return addUnique(s.Pipelines, r.Name, r, "name")
		},
		Check: checkPipeline,
	})
	Kinds.Register("service", Kind{
		Remove: func(s *RuleSet, rule any) { delete(s.Services, rule.(*Service).Name) },
		New:    func() any { return &Service{Idempotent: true, ColdCapacity: 1, MaxInFlight: 64} },
		Finish: func(rule any, line Line) error { rule.(*Service).Line = line; return nil },
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Service)
			return addUnique(s.Services, r.Name, r, "name")
		},
	})
	Kinds.Register("team", Kind{
		Remove: func(s *RuleSet, rule any) {
			delete(s.Teams, rule.(*Team).Name)
			delete(s.Tokens, rule.(*Team).TokenSHA256)
		},
		New:    func() any { return &Team{Share: 1} },
		Finish: func(rule any, line Line) error { rule.(*Team).Line = line; return nil },
		Add:    addTeam,
	})
	Kinds.Register("limit", Kind{
		Remove: func(s *RuleSet, rule any) {
			delete(s.Limits, TeamPipelineKey{rule.(*Limit).Team, rule.(*Limit).Pipeline})
		},
		New:    func() any { return &Limit{} },
		Finish: func(rule any, line Line) error { rule.(*Limit).Line = line; return nil },
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Limit)
			return addUnique(s.Limits, TeamPipelineKey{r.Team, r.Pipeline}, r, "team and pipeline")
		},
		Check: func(s *RuleSet, rule any) error {
			r := rule.(*Limit)
			return checkTeamAndPipeline(s, r.Team, r.Pipeline)
		},
	})
	Kinds.Register("priority", Kind{
		Remove: func(s *RuleSet, rule any) {
			delete(s.Priorities, TeamPipelineKey{rule.(*Priority).Team, rule.(*Priority).Pipeline})
		},
		New:    func() any { return &Priority{} },
		Finish: func(rule any, line Line) error { rule.(*Priority).Line = line; return nil },
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Priority)
			return addUnique(s.Priorities, TeamPipelineKey{r.Team, r.Pipeline}, r, "team and pipeline")
		},
		Check: func(s *RuleSet, rule any) error {
			r := rule.(*Priority)
			return checkTeamAndPipeline(s, r.Team, r.Pipeline)
		},
	})
	Kinds.Register("retry", Kind{
		Remove: func(s *RuleSet, rule any) { delete(s.Retries, rule.(*Retry).Service) },
		New:    func() any { return &Retry{} },
		Finish: func(rule any, line Line) error { rule.(*Retry).Line = line; return nil },
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Retry)
			return addUnique(s.Retries, r.Service, r, "service")
		},
		Check: func(s *RuleSet, rule any) error {
			return checkReference(s.Services, "service", rule.(*Retry).Service)
		},
	})
	Kinds.Register("drain", Kind{
		Remove: func(s *RuleSet, rule any) {
			s.Drains = slices.DeleteFunc(slices.Clone(s.Drains), func(d *Drain) bool { return d.Line.equalContent(rule.(*Drain).Line) })
		},
		New:    func() any { return &Drain{} },
		Finish: func(rule any, line Line) error { rule.(*Drain).Line = line; return nil },
		Add:    addDrain,
	})
	Kinds.Register("objective", Kind{
		Remove: func(s *RuleSet, rule any) { delete(s.Objectives, rule.(*Objective).Pipeline) },
		New:    func() any { return &Objective{} },
		Finish: func(rule any, line Line) error { rule.(*Objective).Line = line; return nil },
		Add: func(s *RuleSet, rule any) error {
			r := rule.(*Objective)
			return addUnique(s.Objectives, r.Pipeline, r, "pipeline")
		},
		Check: func(s *RuleSet, rule any) error {
			return checkReference(s.Pipelines, "pipeline", rule.(*Objective).Pipeline)
		},
	})
}

func addUnique[K comparable, V any](m map[K]V, key K, value V, field string) error {
	if _, exists := m[key]; exists {
		return fmt.Errorf("field %s: duplicate of an earlier line", field)
	}
	m[key] = value
	return nil
}

func checkReference[V any](m map[string]V, field, name string) error {
	if _, ok := m[name]; ok || name == "" {
		return nil
	}
	return fmt.Errorf("field %s: %q is not defined by any line", field, name)
}

func checkTeamAndPipeline(s *RuleSet, team, pipeline string) error {
	if err := checkReference(s.Teams, "team", team); err != nil {
		return err
	}
	return checkReference(s.Pipelines, "pipeline", pipeline)
}

func finishPipeline(rule any, line Line) error {
	r := rule.(*Pipeline)
	r.Line = line
	for _, stage := range r.Stages {
		kind, service, found := strings.Cut(stage, "/")
		if !found || service == "" {
			return fmt.Errorf("field stages: %q is not of the form kind/service", stage)
		}
		if _, exists := radish.StageKinds.Lookup(kind); !exists {
			return fmt.Errorf("field stages: unknown stage kind %q (allowed: %s)", kind, strings.Join(radish.StageKinds.Names(), ", "))
		}
		r.ParsedStages = append(r.ParsedStages, Stage{Kind: kind, Service: service})
	}
	return nil
}

func checkPipeline(s *RuleSet, rule any) error {
	for _, stage := range rule.(*Pipeline).ParsedStages {
		if err := checkReference(s.Services, "stages", stage.Service); err != nil {
			return err
		}
	}
	return nil
}

func addTeam(s *RuleSet, rule any) error {
	r := rule.(*Team)
	if err := addUnique(s.Tokens, r.TokenSHA256, r, "token_sha256"); err != nil {
		return err
	}
	return addUnique(s.Teams, r.Name, r, "name")
}

func addDrain(s *RuleSet, rule any) error {
	r := rule.(*Drain)
	if r.DataCentre != "" && s.IsDataCentreDrained(r.DataCentre) {
		return fmt.Errorf("field data_centre: duplicate of an earlier line")
	}
	if r.Target != "" && s.IsTargetDrained(r.Target) {
		return fmt.Errorf("field target: duplicate of an earlier line")
	}
	s.Drains = append(s.Drains, r)
	return nil
}
