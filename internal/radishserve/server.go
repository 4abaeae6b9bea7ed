package radishserve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"radishramp.example/radishramp/internal/radishburn"
	"radishramp.example/radishramp/internal/radishconn"
	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishgroup"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/internal/radishsetting"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishclaim"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishlease"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpermit"
	"radishramp.example/radishramp/pkg/radishplatform"
	"radishramp.example/radishramp/pkg/radishroster"
	"radishramp.example/radishramp/pkg/radishrule"
)

const (
	// configWatchersPerDataCentre is the number of VMs per data centre that watch the platform for new configurations.
	configWatchersPerDataCentre = 2
	// stewardCandidates is the number of VMs per data centre that compete for the steward's lease. The steward grants the
	// permits for attempts at cold targets.
	stewardCandidates = 2
	// claimForwardTimeout is the timeout of a call to the VM that batches the updates of a claim object.
	claimForwardTimeout = 1500 * time.Millisecond
	// readHeaderTimeout is the timeout for reading the headers of an HTTP request.
	readHeaderTimeout = 5 * time.Second
)

// Server is an entry VM. The exported fields must be set before Build or Run.
type Server struct {
	Settings *radishsetting.Settings
	Log      hclog.Logger
	// Platform is the client of the platform; if nil, Build creates one from the settings. Tests replace it.
	Platform radish.Platform
	// Listen and Dial open listeners and connections; if nil, TCP is used. Tests replace them.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// Targets is the client of the targets; if nil, Build creates an HTTP client. Tests replace it.
	Targets radish.TargetClient

	ctx          context.Context
	platform     radish.Platform
	targets      radish.TargetClient
	metrics      *radishmetric.Metrics
	burn         radishburn.Recorder
	costs        radishpipeline.Costs
	configHolder radishconfig.Holder
	roster       *radishroster.Roster
	targetTable  *radishtarget.Table
	peerNode     *radishpeer.Node
	lease        *radishlease.Lease
	steward      *radishpermit.Granter
	claimLedger  *radishclaim.Ledger
	claimWriter  *radishclaim.BatchWriter
	heartbeats   *heartbeatSender
	poller       *loadPoller
	drains       LocalDrains
	admission    *radishentry.Admission
	entry        *radishentry.API
	// fetchingConfig is set while a configuration is being fetched from a peer.
	fetchingConfig atomic.Bool
	shuttingDown   atomic.Bool

	stewardMu sync.Mutex
	// reportedSteward is the steward with the newest term that peers have reported.
	reportedSteward radishlease.State
}

// Run serves until ctx is cancelled, then shuts down gracefully: accepted requests are completed within the grace
// period.
func (s *Server) Run(ctx context.Context) error {
	if err := s.Build(); err != nil {
		return err
	}
	listeners, err := s.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	s.ctx = background
	s.peerNode.Listener = listeners.peer
	s.connectPeers()
	caller, operator := s.newCallerEndpoint(listeners.caller), s.newOperatorEndpoint(listeners.operator)
	var group run.Group
	s.addBackgroundTasks(background, &group)
	operator.addTo(&group)
	caller.addTo(&group)
	group.Add(func() error { return s.waitAndShutDown(ctx, background, caller.conns, operator.conns) }, func(error) { stop() })
	s.Log.Info("serving", "caller", listeners.caller.Addr().String(), "operator", listeners.operator.Addr().String(),
		"peer", listeners.peer.Addr().String())
	err = group.Run()
	s.claimWriter.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// PeerTraffic returns the bytes sent and received over the peer links so far.
func (s *Server) PeerTraffic() (sent, received int64) { return s.peerNode.Traffic() }

// CallerHandler returns the HTTP handler for callers, for use within the same process. Build must be called first.
func (s *Server) CallerHandler() http.Handler { return s.entry.Handler() }

// listeners holds the listeners for callers, operators and peers.
type listeners struct {
	caller, operator, peer net.Listener
}

func (s *Server) listen() (listeners, error) {
	var l listeners
	var err error
	listen := s.Listen
	if listen == nil {
		listen = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	}
	for _, endpoint := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.Settings.Caller.Listen, &l.caller}, {s.Settings.Operator.Listen, &l.operator}, {s.Settings.Peer.Listen, &l.peer},
	} {
		if *endpoint.listener, err = listen(endpoint.address); err != nil {
			return l, trace.ConvertSystemError(err)
		}
	}
	return l, nil
}

// backgroundTask is a component that runs until its context is cancelled.
type backgroundTask interface {
	Run(ctx context.Context) error
}

func (s *Server) addBackgroundTasks(background context.Context, group *run.Group) {
	watcher := &radishconfig.Watcher{
		Store: &radishconfig.Store{Platform: s.platform}, Holder: &s.configHolder, Log: s.Log.Named("config"),
		ShouldWatch: func() bool { return s.roster.IsOwner("config-watch", configWatchersPerDataCentre) },
	}
	sweeper := &radishclaim.Sweeper{
		Platform: s.platform, Window: s.Settings.Claim.Window, Log: s.Log.Named("claim"),
		ShouldSweep: func() bool { return s.roster.IsOwner("claim-sweep", 1) },
	}
	tasks := []backgroundTask{
		s.roster, s.peerNode, s.lease, watcher, sweeper, s.heartbeats, s.poller, &coldPoller{server: s, steward: s.steward},
	}
	for _, task := range tasks {
		radishgroup.AddLoop(background, group, task.Run)
	}
}

// waitAndShutDown waits until ctx is cancelled, then shuts the VM down in three steps: it reports that it is not ready,
// refuses new requests once the load balancer has had time to notice, and returns when the accepted requests have been
// answered or the grace period is over.
func (s *Server) waitAndShutDown(ctx, background context.Context, callers, operators *radishconn.Limiter) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return background.Err()
	}
	s.Log.Info("leaving", "in_flight", s.admission.InFlight())
	s.shuttingDown.Store(true)
	s.roster.SetLeaving()
	s.heartbeats.triggerSend()
	time.Sleep(s.Settings.Shutdown.BalancerWait)
	grace, cancel := context.WithTimeout(background, s.Settings.Shutdown.Grace)
	defer cancel()
	err := errors.Join(callers.Drain(grace), s.admission.Close(grace))
	s.claimLedger.Wait()
	operatorCtx, cancelOperators := context.WithTimeout(background, operatorDrainTimeout)
	defer cancelOperators()
	if operatorErr := operators.Drain(operatorCtx); operatorErr != nil {
		s.Log.Warn("requests of operators cut off", "error", operatorErr.Error())
	}
	s.Log.Info("left", "in_flight", s.admission.InFlight())
	return err
}

func (s *Server) isReady() bool {
	return !s.shuttingDown.Load() && s.configHolder.Current() != nil && s.roster.HasList()
}

// rules returns the current rules, or nil if this VM has no configuration yet.
func (s *Server) rules() *radishrule.RuleSet {
	if c := s.configHolder.Current(); c != nil {
		return c.Rules
	}
	return nil
}

// updateTargets applies the current list of targets and the drains to the target table.
func (s *Server) updateTargets() {
	rules := s.rules()
	changes := s.targetTable.Update(s.roster.Targets(), func(t radish.Target) bool { return s.drains.IsDrained(t, rules) })
	for _, c := range changes {
		s.Log.Info(c.Message, "target", c.Target, "generation", s.configHolder.Generation())
	}
}

func (s *Server) newPlatformClient() *radishplatform.Client {
	cfg := s.Settings.Platform
	return &radishplatform.Client{
		BaseURL: cfg.URL, Timeout: cfg.Timeout, HTTP: &http.Client{Transport: radishtarget.NewTransport()},
		Limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSec), max(1, int(cfg.CallsPerSec))),
	}
}
