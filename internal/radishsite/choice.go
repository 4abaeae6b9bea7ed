package radishsite

import (
	"fmt"
	"slices"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishfleet"
)

// ownersKept is how many VMs are named as owners of a key, so that one is left when a data centre is cut off.
const ownersKept = 10

// owners returns the VMs in reach that coordinate the shard, the first choice first.
func (p *peers) owners(shard, shards int) []string {
	names := p.reachable()
	cores := make(map[string]float64, len(names))
	p.mu.Lock()
	for _, name := range names {
		cores[name] = p.known[name].Cores
		if name == p.self.Name {
			cores[name] = p.self.Cores
		}
	}
	p.mu.Unlock()
	return radishfleet.Coordinators(cores, fmt.Sprintf("stages/%d/%d", shard, shards), ownersKept)
}

const (
	// followers is how many VMs ask the store for changes of a kind.
	followers = 8
	// hearTime is how long a VM that hears of no peer counts on them to tell it of changes.
	hearTime = 900 * time.Millisecond
)

// isFollower tells whether this VM asks the store itself for changes: it is one of the VMs chosen for that, or has not
// heard of any peer that the store answers of late.
func (p *peers) isFollower(kind radish.RecordKind) bool {
	p.mu.Lock()
	isAlone := time.Since(p.heardAt) > hearTime
	p.mu.Unlock()
	return isAlone || p.isChosen("follow/"+string(kind), followers)
}

// checkers is how many VMs read each kind of record again at an interval.
const checkers = 2

// isChecker tells whether this VM is one of those that read the kind again, which the store must answer.
func (p *peers) isChecker(kind radish.RecordKind) bool {
	return p.isChosen("check/"+string(kind), checkers)
}

// isChosen tells whether this VM is one of n in reach that the key chooses among those that the store answers.
func (p *peers) isChosen(key string, n int) bool {
	names := p.reachable()
	p.mu.Lock()
	names = slices.DeleteFunc(names, func(name string) bool { return name != p.self.Name && p.storeAway[name] })
	p.mu.Unlock()
	return slices.Contains(radish.RendezvousOwners(names, key, n), p.self.Name)
}

// mostCores returns how much of a processor the largest entry VM has, this one included.
func (p *peers) mostCores() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.self.Cores
	for _, vm := range p.known {
		most = max(most, vm.Cores)
	}
	return most
}
