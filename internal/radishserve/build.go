package radishserve

import (
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/internal/radishentry"
	"radishramp.example/radishramp/internal/radishmetric"
	"radishramp.example/radishramp/internal/radishpipeline"
	"radishramp.example/radishramp/internal/radishtarget"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishclaim"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishlease"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpermit"
	"radishramp.example/radishramp/pkg/radishroster"
)

// Build creates and connects the components without starting them. Further calls have no effect.
func (s *Server) Build() error {
	if s.entry != nil {
		return nil
	}
	var err error
	if s.metrics, err = radishmetric.New(); err != nil {
		return err
	}
	s.platform = s.Platform
	if s.platform == nil {
		s.platform = s.newPlatformClient()
	}
	s.buildTargetClients()
	s.buildMembership()
	s.buildSteward()
	s.buildClaims()
	s.buildEntry()
	return s.addGauges()
}

func (s *Server) buildTargetClients() {
	s.targets = s.Targets
	if s.targets == nil {
		s.targets = &radishtarget.Client{HTTP: &http.Client{Transport: radishtarget.NewTransport()}}
	}
}

func (s *Server) buildMembership() {
	vm := s.Settings.VM
	s.heartbeats = newHeartbeatSender(s)
	s.poller = &loadPoller{server: s, last: make(map[string]radishtarget.Observation)}
	s.targetTable = &radishtarget.Table{DataCentre: vm.DataCentre, WarmTTL: s.Settings.Routing.WarmBeliefTTL}
	s.targetTable.OnStateChange = s.shareTargetState
	s.roster = &radishroster.Roster{
		Platform: s.platform, Self: vm.Name, DataCentre: vm.DataCentre, ListInterval: s.Settings.Platform.ListInterval,
		HeartbeatInterval: s.Settings.Peer.HeartbeatInterval, Log: s.Log.Named("roster"),
	}
	s.roster.OnListChange = func() {
		s.updateTargets()
		s.connectPeers()
	}
	s.configHolder.OnChange = func(*radishconfig.ActiveConfig) {
		s.updateTargets()
		s.heartbeats.triggerSend()
	}
	s.peerNode = &radishpeer.Node{Name: vm.Name, Handler: s, Dial: s.Dial, Log: s.Log.Named("link")}
}

// shareTargetState logs a target's change of state. If this VM observed the change itself and the target is no longer
// warm, the new state is sent to the peers immediately, so that they stop using the target as a warm one.
func (s *Server) shareTargetState(observed radishtarget.Observation) {
	s.Log.Info("target state changed", "target", observed.Target, "state", string(observed.State), "source", observed.Peer,
		"age_ms", time.Since(observed.ObservedAt).Milliseconds())
	if observed.Peer != "" || observed.State == radish.TargetWarm {
		return
	}
	s.heartbeats.queueState(observed)
	s.heartbeats.triggerSend()
}

func (s *Server) buildSteward() {
	vm := s.Settings.VM
	key := "steward-" + vm.DataCentre
	s.lease = &radishlease.Lease{
		Platform: s.platform, Key: key, Name: vm.Name, Duration: s.Settings.Permit.Lease, Log: s.Log.Named("lease"),
		IsCandidate: func() bool { return s.roster.IsOwner(key, stewardCandidates) },
	}
	s.steward = &radishpermit.Granter{Lease: s.lease, MaxTTL: s.Settings.Permit.MaxPermit, Capacity: s.coldCapacity}
}

// coldCapacity returns the number of attempts that may run on the target at a time while it is cold.
func (s *Server) coldCapacity(target string) int {
	rules := s.rules()
	t, ok := s.targetTable.Target(target)
	if !ok || rules == nil {
		return 0
	}
	service, ok := rules.Services[t.Service]
	if !ok {
		return 0
	}
	return service.ColdCapacity
}

// currentSteward returns the name of the VM that holds the steward's lease, and the lease's term. It uses this VM's own
// view of the lease or the one that peers reported, whichever has the newer term.
func (s *Server) currentSteward() (string, uint64) {
	own := s.lease.Current()
	s.stewardMu.Lock()
	defer s.stewardMu.Unlock()
	if own.Term >= s.reportedSteward.Term {
		return own.Holder, own.Term
	}
	return s.reportedSteward.Holder, s.reportedSteward.Term
}

func (s *Server) stewardName() string {
	name, _ := s.currentSteward()
	return name
}

// recordSteward records the steward that a peer reported, if its term is newer than the recorded one.
func (s *Server) recordSteward(holder string, term uint64) {
	s.stewardMu.Lock()
	defer s.stewardMu.Unlock()
	if holder != "" && term > s.reportedSteward.Term {
		s.reportedSteward = radishlease.State{Holder: holder, Term: term}
	}
}

func (s *Server) buildClaims() {
	s.claimWriter = &radishclaim.BatchWriter{Platform: s.platform, Interval: s.Settings.Claim.BatchInterval}
	s.claimLedger = &radishclaim.Ledger{
		Platform: s.platform, VM: s.Settings.VM.Name, Window: s.Settings.Claim.Window, Log: s.Log.Named("claim"),
		Writer: &radishclaim.ForwardingWriter{Local: s.claimWriter, BatchingVM: s.batchingVM, Forward: s.sendClaims},
	}
}

// batchingVM returns the name of the VM that batches the updates of the claim object, or "" if it is this VM.
func (s *Server) batchingVM(object string) string {
	owner := s.roster.Owner("claim-home/" + object)
	if owner == s.Settings.VM.Name {
		return ""
	}
	return owner
}

func (s *Server) buildEntry() {
	picker, _ := radish.Pickers.Lookup(s.Settings.Routing.Picker)
	dispatcher := &radishtarget.Dispatcher{
		Table: s.targetTable, Client: s.targets, Picker: picker(), Permits: permitSource{server: s}, Metrics: s.metrics,
		Log: s.Log.Named("stage"),
	}
	s.admission = &radishentry.Admission{
		MaxInFlight: s.Settings.Caller.MaxInFlight,
		EntryVMs:    func() int { return len(s.roster.EntryVMs()) + 1 },
	}
	s.entry = &radishentry.API{
		Runner:    &radishpipeline.Runner{Dispatcher: dispatcher, Claims: s.claimLedger, Costs: &s.costs},
		Admission: s.admission, Metrics: s.metrics, Burn: &s.burn, Rules: s.rules, IsReady: s.isReady,
		MaxBodyBytes: s.Settings.Caller.MaxBodyBytes, Generation: s.configHolder.Generation, Log: s.Log.Named("request"),
	}
}

func (s *Server) addGauges() error {
	gauges := []struct {
		name, description string
		read              func() float64
	}{
		{"radishramp_config_generation", "Generation of the configuration in force.", func() float64 { return float64(s.configHolder.Generation()) }},
		{"radishramp_peers_linked", "Peers with an open link.", func() float64 { return float64(len(s.peerNode.Linked())) }},
		{"radishramp_peer_bytes_sent", "Bytes sent over the peer links.", func() float64 { sent, _ := s.peerNode.Traffic(); return float64(sent) }},
		{"radishramp_peer_bytes_received", "Bytes received over the peer links.", func() float64 { _, received := s.peerNode.Traffic(); return float64(received) }},
		{"radishramp_in_flight", "Requests in flight.", func() float64 { return float64(s.admission.InFlight()) }},
		{"radishramp_is_steward", "1 while this VM holds the steward's lease.", func() float64 { return radishmetric.BoolValue(s.lease.IsHeld()) }},
		{"radishramp_claim_updates", "Updates of claim objects.", func() float64 { updates, _ := s.claimWriter.Stats(); return float64(updates) }},
		{"radishramp_claim_ops", "Claims and outcomes carried by the updates.", func() float64 { _, ops := s.claimWriter.Stats(); return float64(ops) }},
	}
	for _, g := range gauges {
		if err := s.metrics.RegisterGauge(g.name, g.description, g.read); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
