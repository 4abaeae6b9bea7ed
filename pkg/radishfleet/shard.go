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
	// minMeanTargetsPerShard is the least number of targets per shard in the mean over all services, and
	// targetsPerCoordinatorCore how many targets a coordinator can handle per CPU core. The mean over all services
	// changes little when a part of one service crashes. minTargetsPerShard is the least number per shard for the
	// smallest service.
	minMeanTargetsPerShard    = 7
	targetsPerCoordinatorCore = 50
	minTargetsPerShard        = 2
)

// ShardCount returns the number of shards, at least 1, for the targets of the services, given the CPU cores of a
// coordinator. Few large shards fill batches better than many small ones.
func (f *Fleet) ShardCount(services []string, cores float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(services) == 0 {
		return 1
	}
	total, smallest := 0, math.MaxInt
	for _, service := range services {
		n := f.shardableTargets(service)
		total += n
		smallest = min(smallest, n)
	}
	perShard := max(minMeanTargetsPerShard, int(targetsPerCoordinatorCore*cores))
	return max(1, min(total/len(services)/perShard, smallest/minTargetsPerShard))
}

// shardableTargets returns the number of targets by which the service is divided. While versions are replaced, the targets of the old and
// of the new one run side by side, and only those of one of them get most of the work.
func (f *Fleet) shardableTargets(service string) int {
	if f.Versions == nil {
		return len(f.byService[service])
	}
	most := 0
	counts := make(map[string]int)
	for _, s := range f.byService[service] {
		counts[s.target.Version]++
		most = max(most, counts[s.target.Version])
	}
	return most
}

// shardAssignment maps the targets of a service to shards by name.
type shardAssignment struct {
	shards  int
	shardOf map[string]int
}

// UsableTargetsInShard returns the targets of the service in the shard that may take calls, without ejected and
// unreachable ones. All targets are assigned to shards, whether they are usable or not.
func (f *Fleet) UsableTargetsInShard(service string, shard, shards int, now time.Time) []radish.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := f.versionsFor(service, "", 0, now)
	targets := f.availableTargets(service, versions, now, f.shardCondition(service, shard, shards))
	if len(targets) == 0 && versions != nil && versions.rule.Use == CandidateOnly {
		// The new version may have fewer targets than there are shards.
		return f.availableTargets(service, versions, now, anyTarget)
	}
	return targets
}

// shardCondition returns the condition that a target of the service is in the shard.
func (f *Fleet) shardCondition(service string, shard, shards int) func(s *targetState) bool {
	if shards <= 1 {
		return anyTarget
	}
	assignment := f.assignments[service]
	if assignment == nil || assignment.shards != shards {
		assignment = assignShards(f.byService[service], shards, f.Versions != nil)
		if f.assignments == nil {
			f.assignments = make(map[string]*shardAssignment)
		}
		f.assignments[service] = assignment
	}
	return func(s *targetState) bool { return assignment.shardOf[s.target.Name] == shard }
}

// assignShards spreads the targets of each data centre evenly over the shards; the remainder goes to the shards with
// the fewest targets. Within these quotas, each target goes to its preferred shard by rendezvous hashing, so that few
// targets move when one is added or removed. If byVersion is set, the targets of each version are spread evenly too.
func assignShards(states []*targetState, shards int, byVersion bool) *shardAssignment {
	byGroup := make(map[[2]string][]string)
	for _, s := range states {
		group := [2]string{s.target.DataCentre}
		if byVersion {
			group[1] = s.target.Version
		}
		byGroup[group] = append(byGroup[group], s.target.Name)
	}
	quotas := make([]*shardQuota, shards)
	for i := range quotas {
		quotas[i] = &shardQuota{shard: i}
	}
	assignment := &shardAssignment{shards: shards, shardOf: make(map[string]int, len(states))}
	groups := slices.SortedFunc(maps.Keys(byGroup), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) })
	for _, group := range groups {
		targets := byGroup[group]
		slices.Sort(targets)
		allotQuotas(quotas, len(targets))
		for _, target := range targets {
			assignment.shardOf[target] = assignTarget(quotas, target).shard
		}
	}
	return assignment
}

// shardQuota holds the number of a service's targets in one shard, and how many more targets of the current data
// centre it gets.
type shardQuota struct {
	shard     int
	targets   int
	remaining int
}

// allotQuotas distributes n targets evenly over the shards; the remainder goes to those with the fewest targets.
func allotQuotas(quotas []*shardQuota, n int) {
	byTargetCount := slices.Clone(quotas)
	slices.SortStableFunc(byTargetCount, func(a, b *shardQuota) int { return cmp.Compare(a.targets, b.targets) })
	for i, q := range byTargetCount {
		q.remaining = n / len(quotas)
		if i < n%len(quotas) {
			q.remaining++
		}
		q.targets += q.remaining
	}
}

// assignTarget assigns the target to its preferred shard by rendezvous hashing, among the shards with quota left.
func assignTarget(quotas []*shardQuota, target string) *shardQuota {
	var best *shardQuota
	bestScore := uint64(0)
	for _, q := range quotas {
		score := radish.RendezvousScore(strconv.Itoa(q.shard), target)
		if q.remaining > 0 && (best == nil || score > bestScore) {
			best, bestScore = q, score
		}
	}
	best.remaining--
	return best
}
