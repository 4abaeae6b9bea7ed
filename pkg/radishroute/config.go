package radishroute

import (
	"maps"
	"strings"
	"time"
)

// Kind defines whether the calls of a route may be retried and whether they are answered with a stream.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent allows calls to execute more than once.
	KindIdempotent Kind = "idempotent"
	// KindAtMostOnce allows calls to execute at most once.
	KindAtMostOnce Kind = "once"
	// KindStream is for calls that are answered with an event stream. They may execute at most once, unless the route
	// is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the operator's configuration. It is immutable once built.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	// Teams maps API keys to teams.
	Teams map[string]*Team
	// RequiresKey is whether calls need an API key, except on routes that are open to all callers.
	RequiresKey bool
	Limits      Limits

	byHost map[string][]*Route
	// stagePriorities holds, by stage service, the priorities of the calls that may use it.
	stagePriorities map[string]map[int]bool
}

// Limits bounds requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is an owner of API keys.
type Team struct {
	Name string
	// Priority overrides the priority of the route unless it is nil.
	Priority *int
}

// Route defines how the calls for a host and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Split distributes the calls over services by weight.
	Split []WeightedService
	// Timeout bounds how long a caller waits for its response; 0 means no limit.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or a stream's first event, must start to count as in time; 0 sets
	// no objective.
	LatencyObjective   time.Duration
	EventGapObjective  time.Duration
	MaxAttempts        int
	Priority           int
	AllowsAnonymous    bool
	HasSessionAffinity bool
	IsResumable        bool
	Stages             []Stage
}

// WeightedService is a service with the weight by which it gets calls of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Stage is a step of preparatory work whose results a call of the route needs as input.
type Stage struct {
	Service string
	// After holds the indexes of the stages whose results this one needs.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name           string
	MaxConnections int
	// ColdCallsPerSec is the rate of calls that a cold target can sustain; 0 means that cold targets are not limited.
	ColdCallsPerSec float64
	// HealthPath is the path at which targets report their health; "" means that they do not.
	HealthPath string
	// Batch is nil unless the targets of the service execute stages.
	Batch *BatchSettings
	// IsEngine is whether the targets serve models.
	IsEngine bool
}

// BatchSettings describes how each target of a stage service executes batches of work items (pieces).
type BatchSettings struct {
	// Slots is the number of calls that a target executes in parallel.
	Slots       int
	QueueLength int
	// MaxPieces is the largest number of pieces in a call.
	MaxPieces int
	// CallTime is the fixed part of a call's duration.
	CallTime time.Duration
	// PieceTime is the additional duration per piece.
	PieceTime time.Duration
	// ResultMemoryBytes is the memory of a target for results.
	ResultMemoryBytes int64
	// ResultTTL is how long a target keeps a result.
	ResultTTL time.Duration
	// LinkBytesPerSec is the rate at which a result can be read from its target; 0 means unknown.
	LinkBytesPerSec float64
}

// IsIdempotent reports whether calls of the route may execute more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.IsResumable
}

// FinalStages returns the indexes of the stages that no other stage depends on.
func (r *Route) FinalStages() []int {
	followed := make([]bool, len(r.Stages))
	for _, s := range r.Stages {
		for _, i := range s.After {
			followed[i] = true
		}
	}
	var last []int
	for i := range r.Stages {
		if !followed[i] {
			last = append(last, i)
		}
	}
	return last
}

// Match returns the route for the host with the longest matching path prefix, or nil if there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// BuildIndex builds the lookup tables for Match, StageRank and HasCompetingStages. It must be called once after the routes, services and teams
// are set.
func (c *Config) BuildIndex() {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.stagePriorities = make(map[string]map[int]bool)
	for _, r := range c.Routes {
		for _, s := range r.Stages {
			c.addStagePriorities(s.Service, r)
		}
	}
}

// addStagePriorities adds the priorities that calls on the route may have to those of the stage service.
func (c *Config) addStagePriorities(service string, r *Route) {
	priorities := c.stagePriorities[service]
	if priorities == nil {
		priorities = make(map[int]bool)
		c.stagePriorities[service] = priorities
	}
	if !c.RequiresKey || r.AllowsAnonymous {
		priorities[r.Priority] = true
	}
	for _, t := range c.Teams {
		priorities[r.PriorityOf(t)] = true
	}
}

// StageRank returns the place of the priority, from 0 on, among those of the calls that use a stage service of the route, and their number.
func (c *Config) StageRank(r *Route, priority int) (rank, ranks int) {
	priorities := make(map[int]bool)
	for _, s := range r.Stages {
		maps.Copy(priorities, c.stagePriorities[s.Service])
	}
	for p := range priorities {
		if p < priority {
			rank++
		}
	}
	return rank, len(priorities)
}

// HasCompetingStages reports whether calls of different priority use a stage service of the route.
func (c *Config) HasCompetingStages(r *Route) bool {
	for _, s := range r.Stages {
		if len(c.stagePriorities[s.Service]) > 1 {
			return true
		}
	}
	return false
}

// PickService returns the service for a random draw from [0, 1).
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return ""
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * total
	for _, s := range r.Split {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// PriorityOf returns the priority of the team's calls on the route; 0 is the highest.
func (r *Route) PriorityOf(team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return r.Priority
}
