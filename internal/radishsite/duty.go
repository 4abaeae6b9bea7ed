package radishsite

import (
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// coordinatorCandidates is the number of VMs returned as candidates for a shard, so that one remains if a data centre
// is cut off.
const coordinatorCandidates = 10

// coordinatorsFor returns the available VMs that may coordinate the shard, in order of preference.
func (p *peerManager) coordinatorsFor(shard, shards int) []string {
	names := p.availableVMs()
	cores := make(map[string]float64, len(names))
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		cores[name] = p.vms[name].Cores
		if name == p.self.Name {
			cores[name] = p.self.Cores
		}
	}
	incumbent, _ := p.incumbents.Get(shard, shards)
	owners := radishfleet.Coordinators(cores, radishfleet.ShardKey(shard, shards), incumbent.Name, coordinatorCandidates)
	// Before it has the list of VMs, this VM knows too few of them to choose for the others.
	if len(owners) > 0 && p.hasVMList() && p.incumbents.Record(shard, shards, owners[0], time.Now()) {
		p.log.Info("coordinator chosen", "shard", shard, "shards", shards, "coordinator", owners[0], "previous", incumbent.Name, "available", len(names))
	}
	return owners
}

const (
	// watcherCount is the number of VMs that watch the store for changes of each kind of record, and evidenceWatcherCount that for the evidence on
	// crashes, which the VMs also exchange by themselves.
	watcherCount         = 8
	evidenceWatcherCount = 2
	// peerSilenceLimit is how long a VM relies on peers to report changes after the last heartbeat of a peer that can
	// reach the store.
	peerSilenceLimit = 900 * time.Millisecond
)

// isWatcher reports whether this VM watches the store for changes of the kind. It does if it is one of the selected
// VMs, or if it has had no recent heartbeat of a peer that can reach the store.
func (p *peerManager) isWatcher(kind radish.RecordKind) bool {
	n := watcherCount
	if kind == radish.RecordCrashEvidence {
		n = evidenceWatcherCount
	}
	return p.lacksStorePeer() || p.isSelected("follow/"+string(kind), n)
}

// lacksStorePeer reports whether this VM has had no recent heartbeat of a peer that can reach the store.
func (p *peerManager) lacksStorePeer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastStorePeerHeartbeat) > peerSilenceLimit
}

// checkerCount is the number of VMs that periodically list all records of each kind again.
const checkerCount = 2

// isChecker reports whether this VM is one of those that periodically list the kind again. Peers that cannot reach the
// store are not selected.
func (p *peerManager) isChecker(kind radish.RecordKind) bool {
	return p.isSelected("check/"+string(kind), checkerCount)
}

// isSelected reports whether this VM is one of the n VMs that rendezvous hashing selects for the key, of those that reach the store.
func (p *peerManager) isSelected(key string, n int) bool {
	return slices.Contains(radish.RendezvousOwners(p.storeVMs(), key, n), p.self.Name)
}

// storeVMs returns the available VMs without the peers that cannot reach the store.
func (p *peerManager) storeVMs() []string {
	names := p.availableVMs()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(names, func(name string) bool { return name != p.self.Name && p.storeUnreachable[name] })
}

// writerRank returns the number of VMs that write what belongs to the key before this one, of those that are available and reach the store.
func (p *peerManager) writerRank(key string) int {
	names := p.storeVMs()
	owners := radish.RendezvousOwners(names, key, len(names))
	if rank := slices.Index(owners, p.self.Name); rank >= 0 {
		return rank
	}
	return len(owners)
}

// maxCores returns the largest CPU limit of all entry VMs, including this one, in cores.
func (p *peerManager) maxCores() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	cores := p.self.Cores
	for _, vm := range p.vms {
		cores = max(cores, vm.Cores)
	}
	return cores
}
