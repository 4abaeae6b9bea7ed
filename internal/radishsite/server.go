package radishsite

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"

	"radishramp.example/radishramp/internal/radishconn"
	"radishramp.example/radishramp/internal/radishdial"
	"radishramp.example/radishramp/internal/radishgroup"
	"radishramp.example/radishramp/internal/radishlog"
	"radishramp.example/radishramp/internal/radishmemory"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishrelay"
	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishengine"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishhedge"
	"radishramp.example/radishramp/pkg/radishmirror"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishquarantine"
	"radishramp.example/radishramp/pkg/radishrollout"
)

const (
	// shutdownAcceptTime is how long a VM that shuts down keeps accepting connections. The load balancer notices the
	// failed readiness probe within about two checks.
	shutdownAcceptTime = 3 * time.Second
	// shutdownMargin is how long before the forced kill all requests must have ended. waitingMargin is how long before the kill calls without
	// a response are ended, and stageMargin how long before it calls are refused whose stages have not finished.
	shutdownMargin = 300 * time.Millisecond
	waitingMargin  = 800 * time.Millisecond
	stageMargin    = 1200 * time.Millisecond
	// headerTimeout limits the time to read a request's header, and idleTimeout how long a caller's connection may stay idle. The
	// configuration may set shorter times, never longer ones.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
)

// CallerHandlerFactory returns the HTTP handler that serves callers.
type CallerHandlerFactory func(handler radish.CallHandler, memory *radishmemory.Account, maxBodyBytes func() int64, isLeaving func() bool) http.Handler

// Server is one entry VM on the users' platform. Set the exported fields before calling Run.
type Server struct {
	InitialSettings *radish.PlatformSettings
	// LoadSettings returns the current settings. If nil, the initial settings remain in use.
	LoadSettings func() (*radish.PlatformSettings, error)
	// SettingsChanged receives a value when the settings may have changed. If nil, the settings are only polled at an
	// interval.
	SettingsChanged <-chan os.Signal
	Store           radish.RecordStore
	// RolloutStore writes the status of the operator's orders. If it is nil, they are not in force.
	RolloutStore radish.RolloutStore
	Decoder      Decoder
	Forwarder    radish.Forwarder
	// Prober checks targets at which an attempt was cut. If it is nil, they are not checked.
	Prober radish.TargetProber
	// HealthChecker asks targets for their health while the store is away. If it is nil, they are not asked.
	HealthChecker    radish.TargetHealthChecker
	StageClient      radish.StageClient
	NewCallerHandler CallerHandlerFactory
	// SendTimeout is how long a caller may leave sent data unread or unacknowledged.
	SendTimeout time.Duration
	// MetricsAddress is the listen address as IP:PORT. If empty, no metrics are served.
	MetricsAddress string
	// HedgeShare limits the copies of slow calls, as a share of the calls of a service; 0 means that none are sent.
	HedgeShare float64
	Log        hclog.Logger

	mirror          radishmirror.Mirror
	membership      membership
	fleet           *radishfleet.Fleet
	quarantine      *radishquarantine.Quarantine
	state           *clusterState
	peers           *peerManager
	rollouts        *rolloutManager
	metrics         *radishmetric.Metrics
	relay           *radishrelay.Relay
	callerConns     *radishconn.Limiter
	memory          *radishmemory.Account
	leaving         atomic.Bool
	inFlight        atomic.Int64
	panics          atomic.Int64
	invalidPauses   atomic.Int64
	invalidEras     atomic.Int64
	currentSettings atomic.Pointer[radish.PlatformSettings]

	mu           sync.Mutex
	coordinators map[[2]int]*radishstage.Coordinator
}

func (s *Server) build() error {
	var err error
	if s.metrics, err = radishmetric.New(); err != nil {
		return err
	}
	s.applySettings(s.InitialSettings)
	s.membership.startedAt = time.Now()
	s.coordinators = make(map[[2]int]*radishstage.Coordinator)
	s.fleet = &radishfleet.Fleet{DataCentre: s.InitialSettings.DataCentre, ColdQuota: s.coldQuota}
	s.state = newClusterState(s.Decoder, &s.mirror, s.fleet, s.Log.Named("belief"), s.redispatchAll)
	s.state.keepsEvidence = true
	s.quarantine = &radishquarantine.Quarantine{IsTrialVM: func(group string) bool { return s.peers.isTrialVM(group) }}
	self := radish.VMRecord{
		Name: s.InitialSettings.VM, Address: s.InitialSettings.PeerAddress, DataCentre: s.InitialSettings.DataCentre,
		Incarnation: 1 + rand.Int64N(math.MaxInt64), Cores: s.InitialSettings.Cores,
	}
	s.peers = &peerManager{
		self: self, mirror: &s.mirror, state: s.state, quarantine: s.quarantine, seeds: func() []string { return s.currentSettings.Load().Seeds },
		isLeaving: s.leaving.Load, log: s.Log.Named("peer"), gossipNow: make(chan struct{}, 1),
	}
	s.peers.node = &radishpeer.Node{Name: self.Name, Handler: s.peers, Dial: dialPeer, Log: s.Log.Named("link")}
	s.peers.router = &radishstage.Router{
		Self: self.Name, Owners: s.peers.coordinatorsFor, Peers: s.peers.node, Local: s.coordinator, Shards: s.shardCount,
		Log: s.Log.Named("stage"),
	}
	s.relay = &radishrelay.Relay{
		Config: s.state.servedConfig, ConfigAge: s.state.configAge, Fleet: s.fleet, Forwarder: s.Forwarder, Prober: s.Prober, Stages: s.peers.router,
		RetryBudget: &radishtarget.RetryBudget{Burst: s.retryBurst},
		RetryRatio:  func() float64 { return s.currentSettings.Load().RetryBudgetRatio },
		Engines:     &radishengine.Estimator{}, Quarantine: s.quarantine, OnEvidence: s.peers.shareReports, Metrics: s.metrics, Log: s.Log.Named("call"),
	}
	if s.HedgeShare > 0 {
		s.relay.Hedger = &radishhedge.Hedger{Share: s.HedgeShare}
	}
	s.memory = &radishmemory.Account{Budget: s.memoryBudget}
	s.callerConns = &radishconn.Limiter{
		Max: s.maxCallerConns, HeaderTimeout: s.headerTimeout, IdleTimeout: s.idleTimeout, Log: s.Log.Named("caller"),
	}
	s.addRollouts()
	return errors.Join(s.registerGauges(), s.registerMemoryGauges())
}

// addRollouts puts the operator's orders in force where the settings limit the exposure of versions.
func (s *Server) addRollouts() {
	if !s.InitialSettings.HasExposureLimit || s.RolloutStore == nil {
		return
	}
	s.rollouts = &rolloutManager{
		self: radishrollout.Source{VM: s.peers.self.Name, Incarnation: s.peers.self.Incarnation}, settings: s.currentSettings.Load,
		vmCount: s.peers.listedVMCount, metrics: s.metrics, log: s.Log.Named("rollout"),
	}
	s.fleet.Versions, s.state.rollouts, s.peers.rollouts = s.rollouts, s.rollouts, s.rollouts
}

func dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return radishdial.NewDialer().DialContext(ctx, "tcp", address)
}

// Run serves until ctx ends, then shuts down without aborting requests.
func (s *Server) Run(ctx context.Context) error {
	if err := s.build(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	callerServer := &http.Server{
		Handler: s.trackInFlight(s.containPanics(s.callerHandler())), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: radishconn.WithConn, ConnState: s.callerConns.ConnState,
	}
	readyServer := &http.Server{Handler: http.HandlerFunc(s.serveReady), ReadHeaderTimeout: headerTimeout}
	var group run.Group
	if err := s.addListeners(ctx, &group, callerServer, readyServer); err != nil {
		return err
	}
	s.addBackgroundLoops(background, &group)
	group.Add(func() error { return s.waitAndShutDown(ctx, background) }, func(error) { stop() })
	s.Log.Info("started", "caller", s.InitialSettings.CallerAddress, "ready", s.InitialSettings.ReadyAddress,
		"peer", s.InitialSettings.PeerAddress, "store", s.InitialSettings.StoreAddress, "memory_mb", s.InitialSettings.MemoryMB,
		"cores", s.InitialSettings.Cores, "incarnation", s.peers.self.Incarnation)
	err := group.Run()
	s.Log.Info("stopped", "error", radishlog.ErrorText(err))
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

func (s *Server) callerHandler() http.Handler {
	return s.NewCallerHandler(s.relay, s.memory, s.maxBodyBytes, s.leaving.Load)
}

func (s *Server) maxBodyBytes() int64 {
	if cfg := s.state.config.Load(); cfg != nil {
		return cfg.Limits.MaxBodyBytes
	}
	return 0
}

func (s *Server) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// containPanics ends only the request whose handler panics, logs the cause and closes the connection, so that the caller does not
// take a partial response for a complete one.
func (s *Server) containPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				s.panics.Add(1)
				s.Log.Error("handler of a request panicked", "path", r.URL.Path, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

func (s *Server) isReady() bool {
	return !s.leaving.Load() && s.state.isSynced() && !s.callerConns.IsFull(time.Now())
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) addListeners(ctx context.Context, group *run.Group, callerServer, readyServer *http.Server) error {
	listenConfig := radishdial.NewListenConfig()
	peerListener, err := listenConfig.Listen(ctx, "tcp", s.InitialSettings.PeerAddress)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	s.peers.node.Listener = peerListener
	servers := []struct {
		server  *http.Server
		address string
	}{{callerServer, s.InitialSettings.CallerAddress}, {readyServer, s.InitialSettings.ReadyAddress}}
	if s.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", s.metrics.Handler())
		servers = append(servers, struct {
			server  *http.Server
			address string
		}{&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, s.MetricsAddress})
	}
	for _, entry := range servers {
		if entry.server == callerServer {
			listenConfig = s.callerListenConfig()
		} else {
			listenConfig = radishdial.NewListenConfig()
		}
		listener, err := listenConfig.Listen(ctx, "tcp", entry.address)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		if entry.server == callerServer {
			listener = s.callerListener(listener)
		}
		radishgroup.AddHTTPServer(group, entry.server, listener)
	}
	return nil
}

// waitAndShutDown takes the VM out of service once ctx ends. It first fails the readiness probe, then stops accepting
// connections after the load balancer has had time to notice, then waits for the accepted requests to finish.
func (s *Server) waitAndShutDown(ctx, background context.Context) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return background.Err()
	}
	startedAt := time.Now()
	s.Log.Info("leaving", "in_flight", s.inFlight.Load())
	s.leaving.Store(true)
	stageTimer := time.AfterFunc(s.InitialSettings.ShutdownGrace-stageMargin, s.relay.StopStages)
	defer stageTimer.Stop()
	waitingTimer := time.AfterFunc(s.InitialSettings.ShutdownGrace-waitingMargin, s.relay.StopWaiting)
	defer waitingTimer.Stop()
	s.peers.announceLeaving(background)
	if s.peers.hasAvailablePeers() {
		for _, c := range s.allCoordinators() {
			c.Leave()
		}
	}
	time.Sleep(shutdownAcceptTime - time.Since(startedAt))
	// Requests still arrive on connections that were accepted before.
	s.relay.RefuseLate(startedAt.Add(s.InitialSettings.ShutdownGrace - waitingMargin))
	shutdownCtx, cancel := context.WithDeadline(background, startedAt.Add(s.InitialSettings.ShutdownGrace-shutdownMargin))
	defer cancel()
	err := s.callerConns.Drain(shutdownCtx)
	s.Log.Info("left", "in_flight", s.inFlight.Load(), "took_ms", time.Since(startedAt).Milliseconds(), "error", radishlog.ErrorText(err))
	return err
}
