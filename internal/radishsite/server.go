package radishsite

import (
	"context"
	"encoding/json"
	"errors"
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
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishrelay"
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/internal/radishsync"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishroute"
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
	// saveRetry is the pause before the VM's own record is written again after a failure.
	saveRetry = 500 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long a caller's connection may stay idle; callers reuse theirs for less.
	idleTimeout = 2 * time.Minute
)

// pauses collect changes of a kind into one call to the store. Configurations and targets must be in force within two
// seconds, also when no checker can be reached.
var pauses = map[radish.RecordKind]time.Duration{
	radish.RecordConfig: 500 * time.Millisecond, radish.RecordTarget: 1200 * time.Millisecond,
	radish.RecordEvacuation: time.Second, radish.RecordVM: 2 * time.Second,
}

// checkerPause is the pause of the VMs from which the others learn of changes first.
const checkerPause = 150 * time.Millisecond

// checkIntervals are how often a checker reads a kind again.
var checkIntervals = map[radish.RecordKind]time.Duration{
	radish.RecordConfig: time.Second, radish.RecordTarget: time.Second,
	radish.RecordEvacuation: 2 * time.Second, radish.RecordVM: 5 * time.Second,
}

// FrontEnd makes the handler of callers' requests.
type FrontEnd func(handler radish.CallHandler, maxBody func() int64, isLeaving func() bool) http.Handler

// Server is one entry VM on the users' platform; set the exported fields before Run.
type Server struct {
	Site *radish.Site
	// Reload returns the settings as they are now; nil keeps those of the start.
	Reload func() (*radish.Site, error)
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
	site     atomic.Pointer[radish.Site]

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
		Name: s.Site.VM, Address: s.Site.PeerAddress, DataCentre: s.Site.DataCentre, Incarnation: time.Now().UnixMilli(),
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
		Budget: &radishtarget.RetryBudget{Burst: s.retryBurst}, RetryShare: func() float64 { return s.site.Load().RetryShare }, Metrics: s.metrics, Log: s.Log.Named("call"),
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
		{"radishramp_store_away", "1 while the store does not answer.", func() float64 { return boolGauge(s.beliefs.isStoreAway()) }},
		{"radishramp_is_ready", "1 while the VM says that it is ready.", func() float64 { return boolGauge(s.isReady()) }},
	}
	for _, g := range gauges {
		if err := s.metrics.Gauge(g.name, g.description, g.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (s *Server) configVersion() int64 {
	if cfg := s.beliefs.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// coordinator returns the VM's own coordinator of the shard.
func (s *Server) coordinator(shard, shards int) *radishstage.Coordinator {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]int{shard, shards}
	c := s.coordinators[key]
	if c == nil {
		c = &radishstage.Coordinator{
			Fleet: s.fleet, Client: s.Stages, Batch: s.batchOf, Shard: shard, Shards: shards, Metrics: s.metrics, Log: s.Log.Named("stage").With("shard", shard),
		}
		s.coordinators[key] = c
	}
	return c
}

func (s *Server) batchOf(service string) *radishroute.Batch {
	cfg := s.beliefs.config.Load()
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}
	return cfg.Services[service].Batch
}

// targetsPerShard is how many targets of each stage service one coordinator has at least.
const targetsPerShard = 5

// shards returns how many shards the stage targets are divided into.
func (s *Server) shards() int {
	cfg := s.beliefs.config.Load()
	if cfg == nil {
		return 1
	}
	var services []string
	for name, service := range cfg.Services {
		if service.Batch != nil {
			services = append(services, name)
		}
	}
	return max(1, s.fleet.LeastCount(services)/targetsPerShard)
}

func (s *Server) wakeCoordinators() {
	s.mu.Lock()
	coordinators := make([]*radishstage.Coordinator, 0, len(s.coordinators))
	for _, c := range s.coordinators {
		coordinators = append(coordinators, c)
	}
	s.mu.Unlock()
	for _, c := range coordinators {
		c.Wake()
	}
}

// retryBurst is the VM's part of the repeats that all VMs may save up.
func (s *Server) retryBurst() float64 { return s.site.Load().RetrySlack / float64(s.peers.count()) }

// coldMargin keeps the VMs' parts below the bound of all, for the time that a call is on its way.
const coldMargin = 0.8

// coldQuota is the VM's part of what the cold target bears in a second.
func (s *Server) coldQuota(t radish.Target) int {
	cfg := s.beliefs.config.Load()
	if cfg == nil || cfg.Services[t.Service] == nil {
		return 0
	}
	site := s.site.Load()
	all := int(coldMargin * (cfg.Services[t.Service].ColdPerSec*site.ColdFactor + site.ColdSlack))
	names := s.peers.names()
	quota := all / len(names)
	for _, name := range radish.RendezvousOwners(names, "cold/"+t.Name, all%len(names)) {
		if name == s.Site.VM {
			quota++
		}
	}
	return quota
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
		"memory_mb", s.Site.MemoryMB, "incarnation", s.peers.self.Incarnation)
	err := group.Run()
	s.Log.Info("stopped", "error", errorText(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
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
		addHTTP(group, p.server, l)
	}
	return nil
}

// addHTTP serves until the group ends; a server that was shut down leaves the group to who did that.
func addHTTP(group *run.Group, server *http.Server, l net.Listener) {
	stopped := make(chan struct{})
	group.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-stopped
			return nil
		}
		return err
	}, func(error) {
		_ = server.Close()
		close(stopped)
	})
}

func (s *Server) addLoops(background context.Context, group *run.Group) {
	add := func(run func(context.Context) error) {
		ctx, cancel := context.WithCancel(background)
		group.Add(func() error { return run(ctx) }, func(error) { cancel() })
	}
	for _, kind := range radish.RecordKinds {
		f := &radishsync.Follower{
			Kind: kind, Store: s.Store, Mirror: &s.mirror, OnReach: s.beliefs.reach, Log: s.Log.Named("store"),
			Pause: pauses[kind], CheckerPause: checkerPause, CheckInterval: checkIntervals[kind], IsChecker: func() bool { return s.peers.isChecker(kind) },
			IsFollower: func() bool { return s.peers.isFollower(kind) },
			OnNews:     func(news []radish.Record) { s.peers.takeNews(news, "store") },
		}
		add(f.Run)
	}
	add(s.peers.node.Run)
	add(s.peers.Run)
	add(s.saveSelf)
	add(s.followSettings)
	s.peers.update()
}

// saveSelf writes the VM's own record, by which the others find it.
func (s *Server) saveSelf(ctx context.Context) error {
	value, err := json.Marshal(s.peers.self)
	if err != nil {
		return err
	}
	for {
		err := s.Store.Save(ctx, radish.RecordVM, s.Site.VM, value)
		if err == nil {
			break
		}
		s.Log.Warn("own record not written", "error", err.Error())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(saveRetry/2 + rand.N(saveRetry)):
		}
	}
	<-ctx.Done()
	return ctx.Err()
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
	time.Sleep(acceptAfterStop - time.Since(began))
	grace, cancel := context.WithDeadline(background, began.Add(s.Site.ShutdownGrace-stopReserve))
	defer cancel()
	err := caller.Shutdown(grace)
	s.Log.Info("left", "in_flight", s.inFlight.Load(), "took_ms", time.Since(began).Milliseconds(), "error", errorText(err))
	return err
}
