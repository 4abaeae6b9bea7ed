package radishsite

import (
	"context"
	"time"

	"github.com/oklog/run"

	"radishramp.example/radishramp/internal/radishgroup"
	"radishramp.example/radishramp/internal/radishsync"
	"radishramp.example/radishramp/pkg/radish"
)

// watchDelays is the delay between two store calls for each kind of record, so that one call returns several changes.
// The order of a new version must be known before its targets have waited long enough to be served without one.
// Configuration and target changes must be in force within two seconds, even if no checker can be reached.
var watchDelays = map[radish.RecordKind]time.Duration{
	radish.RecordConfig: 500 * time.Millisecond, radish.RecordTarget: 1200 * time.Millisecond,
	radish.RecordEvacuation: time.Second, radish.RecordVM: 2 * time.Second,
	radish.RecordRollout: 300 * time.Millisecond, radish.RecordCrashEvidence: time.Second,
}

// checkerWatchDelay is the shorter delay of checkers, from which the other VMs get changes first.
const checkerWatchDelay = 150 * time.Millisecond

// relistIntervals is the average interval at which a checker lists all records of each kind again.
var relistIntervals = map[radish.RecordKind]time.Duration{
	radish.RecordConfig: time.Second, radish.RecordTarget: time.Second,
	radish.RecordEvacuation: 2 * time.Second, radish.RecordVM: 5 * time.Second,
	radish.RecordRollout: time.Second, radish.RecordCrashEvidence: 30 * time.Second,
}

func (s *Server) addBackgroundLoops(background context.Context, group *run.Group) {
	add := func(loop func(context.Context) error) { radishgroup.AddLoop(background, group, loop) }
	for _, kind := range s.peers.recordKinds() {
		f := &radishsync.Follower{
			Kind: kind, Store: s.Store, Mirror: &s.mirror, OnStoreCall: s.state.recordStoreCall, Log: s.Log.Named("store"),
			WatchDelay: watchDelays[kind], CheckerWatchDelay: checkerWatchDelay, RelistInterval: relistIntervals[kind],
			IsChecker: func() bool { return s.peers.isChecker(kind) }, IsWatcher: func() bool { return s.peers.isWatcher(kind) },
			OnChanges: func(changed []radish.Record) { s.peers.applyChanges(changed, "store") },
		}
		add(f.Run)
	}
	add(s.callerConns.Run)
	add(s.logMemory)
	add(s.peers.node.Run)
	add(s.peers.Run)
	add(s.peers.router.ProbeSilentPeers)
	add(s.publishVMRecord)
	add(s.watchSettings)
	add((&crashWriter{peers: s.peers, store: s.Store, log: s.Log.Named("crash")}).Run)
	add((&eraKeeper{peers: s.peers, store: s.Store, log: s.Log.Named("era")}).Run)
	if s.HealthChecker != nil {
		add((&coldProber{server: s, checker: s.HealthChecker, log: s.Log.Named("health")}).Run)
	}
	if s.rollouts != nil {
		reporter := &rolloutReporter{
			manager: s.rollouts, peers: s.peers, store: s.RolloutStore, records: s.Store, onChange: s.redispatchAll, oldResults: s.resultsOfOthers,
			log: s.rollouts.log,
		}
		add(reporter.Run)
	}
	s.peers.updateLinks()
}
