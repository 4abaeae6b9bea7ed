package radishsite

import (
	"slices"
	"time"

	"radishramp.example/radishramp/internal/radishstage"
	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// maxIncumbencyAge is the age from which on it does not matter; a larger one in a message is reduced to it.
const maxIncumbencyAge = 24 * time.Hour

// coordinatorsDigest returns a hash of the coordinators of all shards. Those that are no longer available are replaced first.
func (p *peerManager) coordinatorsDigest() uint64 {
	p.replaceUnavailableIncumbents()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incumbents.Digest()
}

// shardCoordinators returns the VMs that coordinate the shards.
func (p *peerManager) shardCoordinators() []*radishpeerpb.ShardCoordinator {
	p.mu.Lock()
	byShard, shards := p.incumbents.All()
	p.mu.Unlock()
	var coordinators []*radishpeerpb.ShardCoordinator
	for shard, incumbent := range byShard {
		coordinators = append(coordinators, &radishpeerpb.ShardCoordinator{
			Shard: uint32(shard), Shards: uint32(shards), Vm: incumbent.Name, AgeMs: uint64(time.Since(incumbent.Since).Milliseconds()),
		})
	}
	return coordinators
}

// replaceUnavailableIncumbents chooses other coordinators for the shards whose coordinator is no longer available.
func (p *peerManager) replaceUnavailableIncumbents() {
	p.mu.Lock()
	byShard, shards := p.incumbents.All()
	p.mu.Unlock()
	if len(byShard) == 0 {
		return
	}
	available := p.availableVMs()
	for shard, incumbent := range byShard {
		if !slices.Contains(available, incumbent.Name) {
			p.coordinatorsFor(shard, shards)
		}
	}
}

// mergeCoordinators takes over the coordinators that a peer reports, if they are available to this VM and have coordinated for
// longer than those that it knows.
func (p *peerManager) mergeCoordinators(reports []*radishpeerpb.ShardCoordinator) {
	if len(reports) == 0 {
		return
	}
	available := p.availableVMs()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range reports {
		if !radishstage.IsShard(c.GetShard(), c.GetShards()) || !slices.Contains(available, c.GetVm()) {
			continue
		}
		age := time.Duration(min(c.GetAgeMs(), uint64(maxIncumbencyAge.Milliseconds()))) * time.Millisecond
		reported := radishfleet.Incumbent{Name: c.GetVm(), Since: now.Add(-age)}
		if p.incumbents.Merge(int(c.GetShard()), int(c.GetShards()), reported) {
			p.log.Info("coordinator reported by a peer", "shard", c.GetShard(), "shards", c.GetShards(), "coordinator", reported.Name,
				"age_ms", age.Milliseconds())
		}
	}
}
