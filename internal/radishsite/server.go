package radishsite

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/internal/radishgroup"
	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishrelay"
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishpeer"
)

const (
	// memoryShare is the part of the VM's memory that the garbage collector keeps the heap below.
	memoryShare = 0.7
	// acceptAfterStop is how long a VM that leaves goes on accepting: the balancer notices within about two checks.
	acceptAfterStop = 3 * time.Second
	// stopReserve is the time before the kill by which everything has ended, refuseReserve the time before it at which
	// calls that have not run are refused.
	stopReserve   = 300 * time.Millisecond
	refuseReserve = 1200 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle; callers reuse theirs for less.
	idleTimeout = 2 * time.Minute
)

// FrontEnd makes the handler of callers' requests.
type FrontEnd func(handler radish.CallHandler, maxBody func() int64, isLeaving func() bool) http.Handler

// Server is one entry VM on the users' platform; set the exported fields before Run.
type Server struct {
	Site *radish.PlatformSettings
	// Reload returns the settings as they are now; nil keeps those of the start.
	Reload func() (*radish.PlatformSettings, error)
	// Changed receives a value when the settings may have changed; nil only looks at an interval.
	Changed   <-chan os.Signal
	Store     radish.RecordStore
	Decoder   Decoder
	Forwarder radish.Forwarder
	Stages    radish.StageClient
	FrontEnd  FrontEnd
	// MetricsAddress is IP:PORT; "" serves no metrics.
	MetricsAddress string
	Log            hclog.Logger

	mirror   radishmirror.Mirror
	fleet    *radishfleet.Fleet
	beliefs  *beliefs
	peers    *peers
	metrics  *radishmetric.Metrics
	relay    *radishrelay.Relay
	leaving  atomic.Bool
	inFlight atomic.Int64
	site     atomic.Pointer[radish.PlatformSettings]

	mu           sync.Mutex
	coordinators map[[2]int]*radishstage.Coordinator
}

func (s *Server) build() error {
	var err error
	if s.metrics, err = radishmetric.New(); err != nil {
		return err
	}
	s.useSite(s.Site)
	s.coordinators = make(map[[2]int]*radishstage.Coordinator)
	s.fleet = &radishfleet.Fleet{DataCentre: s.Site.DataCentre, ColdQuota: s.coldQuota}
	s.beliefs = &beliefs{decoder: s.Decoder, mirror: &s.mirror, fleet: s.fleet, log: s.Log.Named("belief"), onChange: s.wakeCoordinators}
	self := radish.VMRecord{
		Name: s.Site.VM, Address: s.Site.PeerAddress, DataCentre: s.Site.DataCentre, Incarnation: 1 + rand.Int64N(math.MaxInt64),
		Cores: s.Site.Cores,
	}
	s.peers = &peers{
		self: self, mirror: &s.mirror, beliefs: s.beliefs, seeds: func() []string { return s.site.Load().Seeds }, isClosed: s.leaving.Load, log: s.Log.Named("peer"),
		news: make(chan struct{}, 1),
	}
	s.peers.node = &radishpeer.Node{Name: self.Name, Handler: s.peers, Dial: dialPeer, Log: s.Log.Named("link")}
	s.peers.router = &radishstage.Router{
		Self: self.Name, Owners: s.peers.owners, Peers: s.peers.node, Local: s.coordinator, Shards: s.shards, Log: s.Log.Named("stage"),
	}
	s.relay = &radishrelay.Relay{
		Config: s.beliefs.config.Load, ConfigAge: s.beliefs.configAge, Fleet: s.fleet, Forwarder: s.Forwarder, Stages: s.peers.router,
		Budget: &radishtarget.RetryBudget{Burst: s.retryBurst}, RetryShare: func() float64 { return s.site.Load().RetryBudgetRatio }, Metrics: s.metrics, Log: s.Log.Named("call"),
	}
	return s.addGauges()
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return radishdial.NewDialer().DialContext(ctx, "tcp", address)
}

func (s *Server) addGauges() error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"radishramp_in_flight", "Requests in flight.", func() float64 { return float64(s.inFlight.Load()) }},
		{"radishramp_config_version", "Version of the configuration in force.", func() float64 { return float64(s.configVersion()) }},
		{"radishramp_config_age_seconds", "Time since the configuration came into force here.", func() float64 { return s.beliefs.configAge().Seconds() }},
		{"radishramp_peers_linked", "Peers with an open link.", func() float64 { return float64(len(s.peers.node.Linked())) }},
		{"radishramp_peer_bytes_sent", "Bytes sent over the peer links.", func() float64 { sent, _ := s.peers.node.Traffic(); return float64(sent) }},
		{"radishramp_peer_bytes_received", "Bytes received over the peer links.", func() float64 { _, received := s.peers.node.Traffic(); return float64(received) }},
		{"radishramp_store_away", "1 while the store does not answer.", func() float64 { return radishmetric.Bool(s.beliefs.isStoreAway()) }},
		{"radishramp_is_ready", "1 while the VM says that it is ready.", func() float64 { return radishmetric.Bool(s.isReady()) }},
	}
	for _, g := range gauges {
		if err := s.metrics.Gauge(g.name, g.description, g.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *Server) configVersion() int64 {
	if cfg := s.beliefs.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Run serves until ctx ends, then leaves without cutting a request.
func (s *Server) Run(ctx context.Context) error {
	if err := s.build(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	caller := &http.Server{Handler: s.count(s.newFrontEnd()), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout}
	var group run.Group
	if err := s.addListeners(ctx, &group, caller, ready); err != nil {
		return err
	}
	s.addLoops(background, &group)
	group.Add(func() error { return s.waitAndLeave(ctx, background, caller) }, func(error) { stop() })
	s.Log.Info("started", "caller", s.Site.CallerAddress, "ready", s.Site.ReadyAddress, "peer", s.Site.PeerAddress, "store", s.Site.StoreAddress,
		"memory_mb", s.Site.MemoryMB, "cores", s.Site.Cores, "incarnation", s.peers.self.Incarnation)
	err := group.Run()
	s.Log.Info("stopped", "error", radishlog.ErrorText(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

func (s *Server) newFrontEnd() http.Handler { return s.FrontEnd(s.relay, s.maxBody, s.leaving.Load) }

func (s *Server) maxBody() int64 {
	if cfg := s.beliefs.config.Load(); cfg != nil {
		return cfg.Limits.MaxBodyBytes
	}
	return 0
}

func (s *Server) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isReady() bool { return !s.leaving.Load() && s.beliefs.isComplete() }

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) addListeners(ctx context.Context, group *run.Group, caller, ready *http.Server) error {
	listen := radishdial.NewListenConfig()
	peer, err := listen.Listen(ctx, "tcp", s.Site.PeerAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.peers.node.Listener = peer
	servers := []struct {
		server  *http.Server
		address string
	}{{caller, s.Site.CallerAddress}, {ready, s.Site.ReadyAddress}}
	if s.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", s.metrics.Handler())
		servers = append(servers, struct {
			server  *http.Server
			address string
		}{&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, s.MetricsAddress})
	}
	for _, p := range servers {
		l, err := listen.Listen(ctx, "tcp", p.address)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		radishgroup.AddHTTP(group, p.server, l)
	}
	return nil
}

// waitAndLeave takes the VM out of service once ctx ends: not ready, then no new connections once the balancer has
// noticed, then the end when the accepted requests are answered.
func (s *Server) waitAndLeave(ctx, background context.Context, caller *http.Server) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return background.Err()
	}
	began := time.Now()
	s.Log.Info("leaving", "in_flight", s.inFlight.Load())
	s.leaving.Store(true)
	refuse := time.AfterFunc(s.Site.ShutdownGrace-refuseReserve, s.relay.Stop)
	defer refuse.Stop()
	s.peers.tellLeaving(background)
	if s.peers.hasOthers() {
		for _, c := range s.allCoordinators() {
			c.Leave()
		}
	}
	time.Sleep(acceptAfterStop - time.Since(began))
	grace, cancel := context.WithDeadline(background, began.Add(s.Site.ShutdownGrace-stopReserve))
	defer cancel()
	err := caller.Shutdown(grace)
	s.Log.Info("left", "in_flight", s.inFlight.Load(), "took_ms", time.Since(began).Milliseconds(), "error", radishlog.ErrorText(err))
	return err
}
