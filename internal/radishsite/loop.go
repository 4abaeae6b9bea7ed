package radishsite

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/oklog/run"

	"radishramp.example/radishramp/internal/radishgroup"
	"radishramp.example/radishramp/internal/radishsync"
	"radishramp.example/radishramp/pkg/radish"
)

// saveRetry is the pause before the VM's own record is written again after a failure.
const saveRetry = 500 * time.Millisecond

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

func (s *Server) addLoops(background context.Context, group *run.Group) {
	add := func(loop func(context.Context) error) { radishgroup.AddLoop(background, group, loop) }
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
	add(s.peers.router.Watch)
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
