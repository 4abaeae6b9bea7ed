package radishfleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// targetsPerShard is how many targets of a service one coordinator has in the mean at least, targetsPerCore how many it
	// can have for a whole core, leastPerShard how many of the smallest service. The mean over all services changes little
	// when a part of one crashes.
	targetsPerShard = 7
	targetsPerCore  = 50
	leastPerShard   = 2
)

// Shards returns into how many shards the targets of the services are divided, at least 1, when coordinators have so much of a
// processor. Few large shards fill their calls better than many small ones.
func (f *Fleet) Shards(services []string, cores float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(services) == 0 {
		return 1
	}
	total, least := 0, math.MaxInt
	for _, service := range services {
		n := len(f.byService[service])
		total += n
		least = min(least, n)
	}
	perShard := max(targetsPerShard, int(targetsPerCore*cores))
	return max(1, min(total/len(services)/perShard, least/leastPerShard))
}

// division tells, by target, to which shard of a service it belongs.
type division struct {
	shards  int
	shardOf map[string]int
}

// UsableShard returns those of the service's targets in the shard that may take work, those out of use left out. All
// targets, usable or not, are dealt out.
func (f *Fleet) UsableShard(service string, shard, shards int, now time.Time) []radish.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.divisions[service]
	if d == nil || d.shards != shards {
		d = divide(f.byService[service], shards)
		if f.divisions == nil {
			f.divisions = make(map[string]*division)
		}
		f.divisions[service] = d
	}
	var usable []radish.Target
	for _, s := range f.byService[service] {
		if d.shardOf[s.target.Name] == shard && f.isUsable(s) && !f.isOut(s, now) {
			usable = append(usable, s.target)
		}
	}
	return usable
}

// divide deals the targets out by data centre: each shard gets the same part of them, and what is left over goes to the
// shards with the fewest. Within that, each target goes to the shard that rendezvous hashing prefers, so that few move when
// one comes or goes.
func divide(states []*state, shards int) *division {
	byPlace := make(map[string][]string)
	for _, s := range states {
		byPlace[s.target.DataCentre] = append(byPlace[s.target.DataCentre], s.target.Name)
	}
	parts := make([]*part, shards)
	for i := range parts {
		parts[i] = &part{shard: i}
	}
	d := &division{shards: shards, shardOf: make(map[string]int, len(states))}
	for _, place := range slices.Sorted(maps.Keys(byPlace)) {
		targets := byPlace[place]
		slices.Sort(targets)
		giveRoom(parts, len(targets))
		for _, target := range targets {
			d.shardOf[target] = take(parts, target).shard
		}
	}
	return d
}

// part is what one shard has got of a service's targets, and how many more it gets of the data centre at hand.
type part struct {
	shard   int
	targets int
	room    int
}

// giveRoom divides n targets among the parts, the rest among those with the fewest.
func giveRoom(parts []*part, n int) {
	fewest := slices.Clone(parts)
	slices.SortStableFunc(fewest, func(a, b *part) int { return cmp.Compare(a.targets, b.targets) })
	for i, p := range fewest {
		p.room = n / len(parts)
		if i < n%len(parts) {
			p.room++
		}
		p.targets += p.room
	}
}

// take gives the target to the part with room that rendezvous hashing prefers for it.
func take(parts []*part, target string) *part {
	var best *part
	bestScore := uint64(0)
	for _, p := range parts {
		score := radish.RendezvousScore(strconv.Itoa(p.shard), target)
		if p.room > 0 && (best == nil || score > bestScore) {
			best, bestScore = p, score
		}
	}
	best.room--
	return best
}
