package radishfleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"radishramp.example/radishramp/pkg/radish"
)

// incumbencyMargin is the difference up to which two VMs count as having coordinated a shard for the same time.
const incumbencyMargin = time.Second

// Incumbent is a VM that coordinates a shard.
type Incumbent struct {
	Name string
	// Since is when the VM was chosen, by the monotonic clock of the VM that records it.
	Since time.Time
}

// Incumbents records the VM that coordinates each shard of the stage targets. A restarted VM must not take the work back from the VM
// that replaced it: that one still executes the calls it was sent, and two coordinators of the same targets delay each other's
// calls. It is for VMs that are restarted one after another under load. The zero value is empty. It is not safe for concurrent use.
type Incumbents struct {
	// shards is the number of shards that the incumbents belong to.
	shards  int
	byShard map[int]Incumbent
}

// All returns a copy of the recorded incumbents by shard, and the number of shards.
func (c *Incumbents) All() (byShard map[int]Incumbent, shards int) {
	return maps.Clone(c.byShard), c.shards
}

// Get returns the incumbent of the shard; ok is false if none is recorded.
func (c *Incumbents) Get(shard, shards int) (incumbent Incumbent, ok bool) {
	if shards != c.shards {
		return Incumbent{}, false
	}
	incumbent, ok = c.byShard[shard]
	return incumbent, ok
}

// Digest returns a hash of the shards and the names of their incumbents; equal incumbents have equal digests.
func (c *Incumbents) Digest() uint64 {
	digest := xxhash.New()
	for _, shard := range slices.Sorted(maps.Keys(c.byShard)) {
		_, _ = fmt.Fprintf(digest, "%d/%d %s\n", shard, c.shards, c.byShard[shard].Name)
	}
	return digest.Sum64()
}

// Record records that the VM coordinates the shard from now on, unless it is the incumbent already. Incumbents of another division
// into shards are dropped. It reports whether another VM is the incumbent now.
func (c *Incumbents) Record(shard, shards int, name string, now time.Time) bool {
	if current, ok := c.Get(shard, shards); ok && current.Name == name {
		return false
	}
	c.put(shard, shards, Incumbent{Name: name, Since: now})
	return true
}

func (c *Incumbents) put(shard, shards int, incumbent Incumbent) {
	if shards != c.shards {
		c.shards, c.byShard = shards, make(map[int]Incumbent)
	}
	c.byShard[shard] = incumbent
}

// Merge records an incumbent that another VM reports, if none is recorded or if the reported one has coordinated for longer; for the
// same time, the one that the order of coordinators prefers. All VMs that hear of both choose the same one. Incumbents of another
// division into shards, which one of the two VMs is about to leave, are ignored. It reports whether another VM is the incumbent now.
func (c *Incumbents) Merge(shard, shards int, reported Incumbent) bool {
	current, ok := c.Get(shard, shards)
	isOtherDivision := c.shards != 0 && c.shards != shards
	if isOtherDivision || ok && !reported.precedes(current, shard, shards) {
		return false
	}
	c.put(shard, shards, reported)
	return current.Name != reported.Name
}

// precedes reports whether the incumbent replaces the other one if both claim the shard.
func (i Incumbent) precedes(other Incumbent, shard, shards int) bool {
	if i.Name == other.Name {
		return i.Since.Before(other.Since)
	}
	if difference := other.Since.Sub(i.Since); difference.Abs() > incumbencyMargin {
		return difference > 0
	}
	return radish.RendezvousOwners([]string{i.Name, other.Name}, ShardKey(shard, shards), 1)[0] == i.Name
}

// ShardKey returns the key by which the coordinators of a shard are ordered.
func ShardKey(shard, shards int) string { return fmt.Sprintf("stages/%d/%d", shard, shards) }
