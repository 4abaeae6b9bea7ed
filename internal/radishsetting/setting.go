package radishsetting

import "time"

// Settings are all settings of an entry VM.
type Settings struct {
	VM       VM       `setting:"vm"`
	Caller   Caller   `setting:"caller"`
	Operator Operator `setting:"operator"`
	Peer     Peer     `setting:"peer"`
	Platform Platform `setting:"platform"`
	Routing  Routing  `setting:"routing"`
	Claim    Claim    `setting:"claim"`
	Permit   Permit   `setting:"permit"`
	Shutdown Shutdown `setting:"shutdown"`
	Log      Log      `setting:"log"`
}

// VM identifies this VM and its data centre.
type VM struct {
	Name       string `setting:"name" validate:"required,max=64"`
	DataCentre string `setting:"data_centre" validate:"required,max=64"`
}

// Caller configures the listener for callers, who connect through the load balancer.
type Caller struct {
	Listen       string        `setting:"listen" validate:"hostname_port"`
	MaxBodyBytes int64         `setting:"max_body_bytes" validate:"min=1024,max=67108864"`
	ReadTimeout  time.Duration `setting:"read_timeout" validate:"min=100ms,max=60s"`
	WriteTimeout time.Duration `setting:"write_timeout" validate:"min=1s,max=120s"`
	MaxInFlight  int           `setting:"max_in_flight" validate:"min=1,max=100000"`
}

// Operator configures the listener for health checks, metrics and the operator API.
type Operator struct {
	Listen string `setting:"listen" validate:"hostname_port"`
}

// Peer configures the connections between entry VMs.
type Peer struct {
	Listen            string        `setting:"listen" validate:"hostname_port"`
	HeartbeatInterval time.Duration `setting:"heartbeat_interval" validate:"min=100ms,max=10s"`
	// Seeds are peer addresses to connect to while the list of VMs is not available from the platform.
	Seeds []string `setting:"seeds" validate:"dive,hostname_port"`
}

// Platform configures the client of the platform's object API.
type Platform struct {
	URL          string        `setting:"url" validate:"http_url"`
	CallsPerSec  float64       `setting:"calls_per_s" validate:"gt=0,max=1000"`
	Timeout      time.Duration `setting:"timeout" validate:"min=50ms,max=30s"`
	ListInterval time.Duration `setting:"list_interval" validate:"min=100ms,max=60s"`
}

// Routing configures how targets are selected and polled.
type Routing struct {
	Picker         string        `setting:"picker" validate:"picker"`
	ReportInterval time.Duration `setting:"report_interval" validate:"min=50ms,max=10s"`
	// WarmBeliefTTL is how long after its last report as warm a target is treated as warm.
	WarmBeliefTTL time.Duration `setting:"warm_belief_ttl" validate:"min=100ms,max=60s"`
}

// Claim configures the claims by which a non-idempotent request is executed at most once.
type Claim struct {
	// BatchInterval is how long claims are collected before they are written in one update.
	BatchInterval time.Duration `setting:"batch_interval" validate:"min=1ms,max=1s"`
	// Window is how long a used idempotency key is stored.
	Window time.Duration `setting:"window" validate:"min=1m,max=168h"`
}

// Permit configures the permits that limit requests to cold targets. In each data centre, the VM that holds a lease
// grants them.
type Permit struct {
	// Lease is the duration of the lease.
	Lease time.Duration `setting:"lease" validate:"min=500ms,max=60s"`
	// MaxPermit is the maximum duration of one attempt at a cold target.
	MaxPermit time.Duration `setting:"max_permit" validate:"min=100ms,max=60s"`
}

// Shutdown configures the graceful shutdown.
type Shutdown struct {
	// BalancerWait is how long the VM keeps accepting requests after it starts to report that it is not ready, so that
	// the load balancer can take it out of rotation.
	BalancerWait time.Duration `setting:"balancer_wait" validate:"min=0,max=60s"`
	// Grace is how long the VM waits for accepted requests to finish.
	Grace time.Duration `setting:"grace" validate:"min=1s,max=300s"`
}

// Log configures the log, which is written to standard output as JSON lines.
type Log struct {
	Level string `setting:"level" validate:"oneof=trace debug info warn error"`
}

// Default returns the default settings, which are suitable for a single VM on the loopback address.
func Default() *Settings {
	return &Settings{
		VM: VM{Name: "entry-1", DataCentre: "local"},
		Caller: Caller{
			Listen: "127.0.0.1:8080", MaxBodyBytes: 1 << 20, ReadTimeout: 10 * time.Second, WriteTimeout: 40 * time.Second,
			MaxInFlight: 2000,
		},
		Operator: Operator{Listen: "127.0.0.1:8081"},
		Peer:     Peer{Listen: "127.0.0.1:8082", HeartbeatInterval: time.Second},
		Platform: Platform{URL: "http://127.0.0.1:7000", CallsPerSec: 50, Timeout: 2 * time.Second, ListInterval: 2 * time.Second},
		Routing:  Routing{Picker: "power_of_two", ReportInterval: time.Second, WarmBeliefTTL: 3 * time.Second},
		Claim:    Claim{BatchInterval: 40 * time.Millisecond, Window: 24 * time.Hour},
		Permit:   Permit{Lease: 4 * time.Second, MaxPermit: 6 * time.Second},
		Shutdown: Shutdown{BalancerWait: 2 * time.Second, Grace: 35 * time.Second},
		Log:      Log{Level: "info"},
	}
}
