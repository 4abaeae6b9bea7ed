package main

import "time"

// config is the operator's configuration.
type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path_prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeout_ms"`
	TargetLatencyMs int     `json:"target_latency_ms"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"max_attempts"`
	Stages          []stage `json:"stages"`
	AllowAnonymous  bool    `json:"allow_anonymous"`
	SessionAffinity bool    `json:"session_affinity"`
	Resumable       bool    `json:"resumable"`
}

type stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Bytes   int    `json:"bytes"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"health_path"`
	MaxConnections int     `json:"max_connections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	ColdStartS     float64 `json:"cold_start_s"`
	ColdPerS       float64 `json:"cold_per_s"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
}

// Figures of the deployment that the cases use. The cold figures are those of the sheets.
const (
	coldStart     = 3 * time.Second
	coldPerSecond = 8.9
	coldOver      = 1.5
	coldSlack     = 5.0
)

// newConfig returns the first configuration: one service with a route for orders, which may run once, and one for reads.
func newConfig() config {
	return config{
		Version: 3,
		Routes: []route{
			{
				Name: "r-order", Host: "desk.example", PathPrefix: "/order/", Kind: "unsafe", TimeoutMs: 5000, TargetLatencyMs: 300, Priority: 1,
				Service: "desk", MaxAttempts: 1, Stages: []stage{},
			},
			{
				Name: "r-read", Host: "desk.example", PathPrefix: "/read/", Kind: "safe", TimeoutMs: 5000, TargetLatencyMs: 300, Priority: 2,
				Service: "desk", MaxAttempts: 2, Stages: []stage{},
			},
		},
		Services: []service{{
			Name: "desk", HealthPath: "/healthz", MaxConnections: 600, Protocol: "h1", ColdStartS: coldStart.Seconds(), ColdPerS: coldPerSecond,
		}},
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenant{
			{Name: "north", APIKeys: []string{"key-north-1", "key-north-2"}},
			{Name: "south", APIKeys: []string{"key-south-1", "key-south-2"}},
		},
	}
}

// publish writes a configuration as the operator does and notes the acknowledgement.
func (l *lab) publish(c config, what string) time.Time {
	o := l.store.put("config", "main", c)
	l.note("operator: version %d acknowledged at revision %d: %s", c.Version, o.Metadata.Revision, what)
	return time.Now()
}
