package radishroute

import (
	"strings"
	"time"
)

// Kind tells what may be repeated of a route's calls.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent calls may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce calls may run at most once.
	KindOnce Kind = "once"
	// KindStream calls answer with events and may run at most once unless the route is resumable.
	KindStream Kind = "stream"
)

// Config is one version of the operator's configuration; it does not change once it is made.
type Config struct {
	Version  int64
	Routes   []*Route
	Services map[string]*Service
	// Teams holds the teams by API key.
	Teams map[string]*Team
	// RequiresKey tells whether calls need a key unless their route is open.
	RequiresKey bool
	Limits      Limits

	byHost map[string][]*Route
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is the holder of API keys.
type Team struct {
	Name string
	// Priority goes before that of the route; nil leaves the route's.
	Priority *int
}

// Route is where the calls of a host and path go.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Split holds the services that share the route's calls, by weight.
	Split []Share
	// Timeout is the longest time that a caller may be kept waiting; 0 sets no bound.
	Timeout time.Duration
	// Aim is the time to the answer, or to a stream's first event, that earns full credit.
	Aim         time.Duration
	GapAim      time.Duration
	MaxAttempts int
	Priority    int
	IsOpen      bool
	IsSticky    bool
	IsResumable bool
	Stages      []Stage
}

// Share is a service's part of a route's calls.
type Share struct {
	Service string
	Weight  float64
}

// Stage is work that must be done before a call of the route can run.
type Stage struct {
	Service string
	// After are the numbers of the stages whose results this one needs.
	After []int
	// ResultBytes is about the size of one result.
	ResultBytes int64
}

// Service is a group of targets that do the same work.
type Service struct {
	Name           string
	MaxConnections int
	// ColdPerSec is how many calls a second a cold target bears.
	ColdPerSec float64
	// Batch is set when the service runs pieces of stages.
	Batch *Batch
	// IsEngine tells whether the targets are model engines.
	IsEngine bool
}

// Batch is how a target of a stage service works; the values hold for each target.
type Batch struct {
	Slots      int
	Queue      int
	MaxPieces  int
	CallTime   time.Duration
	PieceTime  time.Duration
	RoomBytes  int64
	ResultLife time.Duration
}

// IsIdempotent tells whether a call of the route may run more than once.
func (r *Route) IsIdempotent() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.IsResumable
}

// LastStages returns the numbers of the stages that no other stage follows.
func (r *Route) LastStages() []int {
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

// Match returns the route of the host whose prefix begins the path and is the longest; nil when there is none.
func (c *Config) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// Index prepares Match; call it once after the routes are set.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for _, r := range c.Routes {
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

// PickService returns the service for a draw from 0 up to 1.
func (r *Route) PickService(draw float64) string {
	if len(r.Split) == 0 {
		return ""
	}
	total := 0.0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Split {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// PriorityOf returns the rank of the team's calls on the route, 0 first.
func (r *Route) PriorityOf(team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return r.Priority
}
