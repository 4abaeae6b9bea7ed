package radishstage

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishbatch"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	// usableTargetsTTL is how long the list of usable targets is reused; a change of the fleet ends it at once.
	usableTargetsTTL = 5 * time.Millisecond
	// slownessStep is the width of the steps to which slowness is rounded down when targets are sorted by it.
	slownessStep = 0.5
)

// targetState is the coordinator's record of one target's calls and stored results.
type targetState struct {
	target       radish.Target
	activeCalls  int
	blockedUntil time.Time
	// expectedEnds are the times at which the active calls are expected to end.
	expectedEnds []time.Time
	space        radishbatch.ResultSpace
	// slowness is the moving average of the ratio of actual to expected call time.
	slowness float64
	// pendingRelease are the handles that the next release call to the target will contain.
	pendingRelease   []string
	releaseScheduled bool
}

// stateOf returns the state of the target. A target that was restarted or replaced at its address starts with a new state.
func (c *Coordinator) stateOf(t radish.Target) *targetState {
	s := c.targets[t.Address]
	if s == nil || s.target.Name != t.Name || s.target.StartedUnixMilli != t.StartedUnixMilli {
		s = &targetState{target: t, slowness: 1}
		c.targets[t.Address] = s
	}
	return s
}

// usableTargets returns the targets of the service in the coordinator's shard that may receive work.
func (c *Coordinator) usableTargets(service string, now time.Time) []radish.Target {
	cached, ok := c.usable[service]
	if ok && now.Sub(cached.at) < usableTargetsTTL {
		return cached.targets
	}
	var targets []radish.Target
	if c.Shards <= 1 {
		targets = c.Fleet.UsableTargets(service, now)
	} else {
		targets = c.Fleet.UsableTargetsInShard(service, c.Shard, c.Shards, now)
	}
	c.usable[service] = usableTargets{targets: targets, at: now}
	return targets
}

// usableTargets is a list of targets as of a point in time.
type usableTargets struct {
	targets []radish.Target
	at      time.Time
}

// shardOf maps the id of a request to a shard.
func shardOf(callID string, shards int) int {
	if shards <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(callID))
	return int(h.Sum32() % uint32(shards))
}

// idleTargets returns the targets that can take a call now, the least slow ones first.
func (c *Coordinator) idleTargets(usable []radish.Target, batch *radishroute.BatchSettings, now time.Time) []radish.Target {
	var idle []radish.Target
	for _, t := range usable {
		if s := c.stateOf(t); s.activeCalls < batch.Slots && !now.Before(s.blockedUntil) {
			idle = append(idle, t)
		}
	}
	slices.SortStableFunc(idle, func(a, b radish.Target) int {
		return cmp.Compare(int(c.stateOf(a).slowness/slownessStep), int(c.stateOf(b).slowness/slownessStep))
	})
	return idle
}
