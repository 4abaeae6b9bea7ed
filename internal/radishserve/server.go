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
	// watchersPerDataCentre is how many VMs of a data centre wait at the platform for configurations.
	watchersPerDataCentre = 2
	// stewardCandidates is how many VMs of a data centre compete for the steward's lease.
	stewardCandidates = 2
	// claimForwardTimeout bounds the wait for the VM that batches claims.
	claimForwardTimeout = 1500 * time.Millisecond
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 5 * time.Second
)

// Server is one entry VM; set the exported fields before Run.
type Server struct {
	Settings *radishsetting.Settings
	Log      hclog.Logger
	// Platform replaces the client of the platform in tests; nil builds one from the settings.
	Platform radish.Platform
	// Listen and Dial replace TCP in tests; nil uses TCP.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	// Targets replaces the client of the targets in tests; nil builds one.
	Targets radish.TargetClient

	ctx         context.Context
	platform    radish.Platform
	targets     radish.TargetClient
	metrics     *radishmetric.Metrics
	burn        radishburn.Recorder
	costs       radishpipeline.Costs
	holder      radishconfig.Holder
	roster      *radishroster.Roster
	table       *radishtarget.Table
	node        *radishpeer.Node
	lease       *radishlease.Lease
	steward     *radishpermit.Steward
	ledger      *radishclaim.Ledger
	claimWriter *radishclaim.BatchWriter
	heartbeats  *heartbeats
	poller      *poller
	drains      LocalDrains
	admission   *radishentry.Admission
	entry       *radishentry.Entry
	pulling     atomic.Bool
	draining    atomic.Bool

	stewardMu   sync.Mutex
	stewardSeen radishlease.Held
}

// Run serves until ctx ends, then leaves without cutting a request.
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
	s.node.Listener = listeners.peer
	s.connectPeers()
	caller := &http.Server{
		Handler: s.entry.Handler(), ReadHeaderTimeout: headerTimeout,
		ReadTimeout: s.Settings.Caller.ReadTimeout, WriteTimeout: s.Settings.Caller.WriteTimeout,
	}
	operator := &http.Server{Handler: s.operatorHandler(), ReadHeaderTimeout: headerTimeout}
	var group run.Group
	s.addLoops(background, &group)
	radishgroup.AddHTTP(&group, operator, listeners.operator)
	radishgroup.AddHTTP(&group, caller, listeners.caller)
	group.Add(func() error { return s.waitAndLeave(ctx, background, caller) }, func(error) { stop() })
	s.Log.Info("serving", "caller", listeners.caller.Addr().String(), "operator", listeners.operator.Addr().String(), "peer", listeners.peer.Addr().String())
	err = group.Run()
	s.claimWriter.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// PeerTraffic returns the bytes sent and received over the peer links so far.
func (s *Server) PeerTraffic() (sent, received int64) { return s.node.Traffic() }

// CallerHandler serves callers in the same process, after Build.
func (s *Server) CallerHandler() http.Handler { return s.entry.Handler() }

// listeners are the VM's open ports.
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
	for _, port := range []struct {
		address string
		into    *net.Listener
	}{
		{s.Settings.Caller.Listen, &l.caller}, {s.Settings.Operator.Listen, &l.operator}, {s.Settings.Peer.Listen, &l.peer},
	} {
		if *port.into, err = listen(port.address); err != nil {
			return l, trace.ConvertSystemError(err)
		}
	}
	return l, nil
}

// loop is a part that runs until its context ends.
type loop interface {
	Run(ctx context.Context) error
}

func (s *Server) addLoops(background context.Context, group *run.Group) {
	watcher := &radishconfig.Watcher{
		Store: &radishconfig.Store{Platform: s.platform}, Holder: &s.holder, Log: s.Log.Named("config"),
		IsWatcher: func() bool { return s.roster.IsOwner("config-watch", watchersPerDataCentre) },
	}
	sweeper := &radishclaim.Sweeper{
		Platform: s.platform, Window: s.Settings.Claim.Window,
		IsChosen: func() bool { return s.roster.IsOwner("claim-sweep", 1) },
	}
	loops := []loop{s.roster, s.node, s.lease, watcher, sweeper, s.heartbeats, s.poller, &coldReporter{server: s, steward: s.steward}}
	for _, l := range loops {
		radishgroup.AddLoop(background, group, l.Run)
	}
}

// waitAndLeave takes the VM out of service once ctx ends: no longer ready, then no new requests after the balancer
// has had time to notice, then the end once the accepted ones are answered.
func (s *Server) waitAndLeave(ctx, background context.Context, caller *http.Server) error {
	select {
	case <-ctx.Done():
	case <-background.Done():
		return background.Err()
	}
	s.Log.Info("leaving", "in_flight", s.admission.InFlight())
	s.draining.Store(true)
	s.roster.SetLeaving()
	s.heartbeats.sendSoon()
	time.Sleep(s.Settings.Shutdown.BalancerWait)
	grace, cancel := context.WithTimeout(background, s.Settings.Shutdown.Grace)
	defer cancel()
	err := errors.Join(caller.Shutdown(grace), s.admission.Close(grace))
	s.ledger.Wait()
	s.Log.Info("left", "in_flight", s.admission.InFlight())
	return err
}

func (s *Server) isReady() bool {
	return !s.draining.Load() && s.holder.Current() != nil && s.roster.HasList()
}

func (s *Server) rules() *radishrule.RuleSet {
	if c := s.holder.Current(); c != nil {
		return c.Rules
	}
	return nil
}

func (s *Server) updateTargets() {
	rules := s.rules()
	changes := s.table.Update(s.roster.Targets(), func(t radish.Target) bool { return s.drains.IsDrained(t, rules) })
	for _, c := range changes {
		s.Log.Info(c.What, "target", c.Target, "generation", s.holder.Generation())
	}
}

func (s *Server) newPlatformClient() *radishplatform.Client {
	cfg := s.Settings.Platform
	return &radishplatform.Client{
		BaseURL: cfg.URL, Timeout: cfg.Timeout, HTTP: &http.Client{Transport: radishtarget.NewTransport()},
		Limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSec), max(1, int(cfg.CallsPerSec))),
	}
}
