package radishrule

import (
	"maps"
	"slices"
	"time"
)

// Line is one rule as the operator wrote it.
type Line struct {
	// Number is the line number, from 1, in the file or listing that the line was read from. It is not stored.
	Number  int    `json:"-"`
	Text    string `json:"text"`
	Comment string `json:"comment"`
	// Since is the time at which the line was accepted; it stays the same while the line is unchanged. It is zero for
	// a line that is not accepted yet.
	Since time.Time `json:"since"`
}

// equalContent reports whether the lines have the same text and comment, regardless of their numbers and times.
func (l Line) equalContent(other Line) bool {
	return l.Text == other.Text && l.Comment == other.Comment
}

// Stage is one stage of a pipeline.
type Stage struct {
	Kind    string
	Service string
}

// Pipeline is a sequence of stages with one deadline.
type Pipeline struct {
	Name     string        `rule:"name" validate:"required,max=64"`
	Stages   []string      `rule:"stages" validate:"required,min=1,max=6"`
	Deadline time.Duration `rule:"deadline" validate:"min=10ms,max=30s"`
	// ParsedStages holds the stages parsed from the kind/service texts in Stages.
	ParsedStages []Stage `rule:"-"`
	Line         Line    `rule:"-"`
}

// Service is a group of interchangeable targets.
type Service struct {
	Name         string `rule:"name" validate:"required,max=64"`
	Idempotent   bool   `rule:"idempotent"`
	ColdCapacity int    `rule:"cold_capacity" validate:"min=1,max=1000"`
	MaxInFlight  int    `rule:"max_in_flight" validate:"min=1,max=100000"`
	Line         Line   `rule:"-"`
}

// Team is a customer, identified by the SHA-256 digest of its bearer token.
type Team struct {
	Name        string `rule:"name" validate:"required,max=64"`
	TokenSHA256 string `rule:"token_sha256" validate:"len=64,hexadecimal,lowercase"`
	Share       int    `rule:"share" validate:"min=1,max=1000"`
	Line        Line   `rule:"-"`
}

// Limit limits the request rate of a team on one pipeline, or on all pipelines together if Pipeline is empty.
type Limit struct {
	Team           string  `rule:"team" validate:"required"`
	Pipeline       string  `rule:"pipeline"`
	RequestsPerSec float64 `rule:"requests_per_s" validate:"gt=0,max=100000"`
	Burst          int     `rule:"burst" validate:"min=0,max=100000"`
	Line           Line    `rule:"-"`
}

// Priority is the priority under load of requests to a pipeline, from level 1, the most urgent, to 9. An empty Team
// applies to all teams without a rule of their own.
type Priority struct {
	Team     string `rule:"team"`
	Pipeline string `rule:"pipeline" validate:"required"`
	Level    int    `rule:"level" validate:"min=1,max=9"`
	Line     Line   `rule:"-"`
}

// Retry limits the second attempts at a service to a share, Budget, of its first attempts.
type Retry struct {
	Service string  `rule:"service" validate:"required"`
	Budget  float64 `rule:"budget" validate:"min=0,max=0.2"`
	Line    Line    `rule:"-"`
}

// Drain takes either a data centre or one target out of service.
type Drain struct {
	DataCentre string `rule:"data_centre" validate:"required_without=Target,excluded_with=Target"`
	Target     string `rule:"target"`
	Line       Line   `rule:"-"`
}

// Objective is the service-level objective of a pipeline. Attainment is the share of requests that must receive a
// complete response within the deadline.
type Objective struct {
	Pipeline   string  `rule:"pipeline" validate:"required"`
	Attainment float64 `rule:"attainment" validate:"gt=0,lt=1"`
	Line       Line    `rule:"-"`
}

// RuleSet is a set of validated rules. It must not be modified after it has been returned.
type RuleSet struct {
	Lines      []Line
	Pipelines  map[string]*Pipeline
	Services   map[string]*Service
	Teams      map[string]*Team
	Tokens     map[string]*Team
	Limits     map[TeamPipelineKey]*Limit
	Priorities map[TeamPipelineKey]*Priority
	Retries    map[string]*Retry
	Objectives map[string]*Objective
	Drains     []*Drain

	// referringRules are the rules that refer to other rules. Their references are checked again after each change.
	referringRules []parsedRule
}

// clone returns a copy of the set without its lines. The copy shares the rules.
func (s *RuleSet) clone() *RuleSet {
	return &RuleSet{
		Pipelines: maps.Clone(s.Pipelines), Services: maps.Clone(s.Services), Teams: maps.Clone(s.Teams), Tokens: maps.Clone(s.Tokens),
		Limits: maps.Clone(s.Limits), Priorities: maps.Clone(s.Priorities), Retries: maps.Clone(s.Retries),
		Objectives: maps.Clone(s.Objectives), Drains: slices.Clone(s.Drains), referringRules: slices.Clone(s.referringRules),
	}
}

// TeamPipelineKey identifies the team and the pipeline of a rule. An empty field matches all of them.
type TeamPipelineKey struct {
	Team     string
	Pipeline string
}

// newRuleSet returns an empty set with capacity for lineCount teams, because nearly all lines of a large file define
// teams.
func newRuleSet(lineCount int) *RuleSet {
	return &RuleSet{
		Pipelines:  make(map[string]*Pipeline),
		Services:   make(map[string]*Service),
		Teams:      make(map[string]*Team, lineCount),
		Tokens:     make(map[string]*Team, lineCount),
		Limits:     make(map[TeamPipelineKey]*Limit),
		Priorities: make(map[TeamPipelineKey]*Priority),
		Retries:    make(map[string]*Retry),
		Objectives: make(map[string]*Objective),
	}
}

// IsIdempotent reports whether all stages of the pipeline are idempotent.
func (s *RuleSet) IsIdempotent(p *Pipeline) bool {
	for _, stage := range p.ParsedStages {
		if !s.Services[stage.Service].Idempotent {
			return false
		}
	}
	return true
}

// DefaultPriority is the priority level of requests that no priority rule applies to.
const DefaultPriority = 5

// PriorityOf returns the priority level of the team's requests to the pipeline, and the line that sets it or nil if it
// is the default.
func (s *RuleSet) PriorityOf(team, pipeline string) (int, *Line) {
	for _, key := range []TeamPipelineKey{{team, pipeline}, {"", pipeline}} {
		if p, ok := s.Priorities[key]; ok {
			return p.Level, &p.Line
		}
	}
	return DefaultPriority, nil
}

// IsDataCentreDrained reports whether a drain rule names the data centre.
func (s *RuleSet) IsDataCentreDrained(dc string) bool {
	for _, d := range s.Drains {
		if d.DataCentre == dc && dc != "" {
			return true
		}
	}
	return false
}

// IsTargetDrained reports whether a drain rule names the target.
func (s *RuleSet) IsTargetDrained(name string) bool {
	for _, d := range s.Drains {
		if d.Target == name && name != "" {
			return true
		}
	}
	return false
}

// Explain returns the lines that apply to the team's requests to the pipeline, in the order in which they are
// evaluated. Drain rules come last.
func (s *RuleSet) Explain(team, pipeline string) []Line {
	var lines []Line
	if t, ok := s.Teams[team]; ok {
		lines = append(lines, t.Line)
	}
	for _, key := range []TeamPipelineKey{{team, pipeline}, {team, ""}} {
		if l, ok := s.Limits[key]; ok {
			lines = append(lines, l.Line)
		}
	}
	if _, line := s.PriorityOf(team, pipeline); line != nil {
		lines = append(lines, *line)
	}
	if o, ok := s.Objectives[pipeline]; ok {
		lines = append(lines, o.Line)
	}
	p, ok := s.Pipelines[pipeline]
	if !ok {
		return lines
	}
	lines = append(lines, p.Line)
	for _, stage := range p.ParsedStages {
		lines = append(lines, s.Services[stage.Service].Line)
		if r, ok := s.Retries[stage.Service]; ok {
			lines = append(lines, r.Line)
		}
	}
	for _, d := range s.Drains {
		lines = append(lines, d.Line)
	}
	return lines
}
