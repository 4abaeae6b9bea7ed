package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishrule"
)

// configChanges is how many changes are timed at each size.
const configChanges = 10

func rulesOf(teams int) []radishrule.Line {
	text := "service name=llm # asked by operations\npipeline name=report stages=generate/llm deadline=5s # asked by operations\n"
	lines := radishrule.SplitLines(text)
	for i := range teams {
		lines = append(lines, radishrule.Line{Text: fmt.Sprintf("team name=team-%d token_sha256=%064x share=1", i, i), Comment: "asked by sales"})
	}
	slices.SortFunc(lines, func(a, b radishrule.Line) int { return strings.Compare(a.Text, b.Text) })
	return lines
}

// configCost is what configurations of one size cost.
type configCost struct {
	delta, boot           time.Duration
	headBytes, deltaBytes int
	heapBytes             uint64
}

// measureConfiguration times changes of one line in rules of several sizes.
func measureConfiguration() error {
	var delta, boot, memory, head, wire []point
	for _, teams := range []int{1_000, 5_000, 13_000, 26_000} {
		cost, err := changeConfiguration(teams)
		if err != nil {
			return err
		}
		size := float64(teams)
		delta = append(delta, point{size, cost.delta.Seconds() * 1e3})
		boot = append(boot, point{size, cost.boot.Seconds() * 1e3})
		memory = append(memory, point{size, float64(cost.heapBytes) / (1 << 20)})
		head = append(head, point{size, float64(cost.headBytes)})
		wire = append(wire, point{size, float64(cost.deltaBytes)})
	}
	ms := show("change of one line taken in by a VM", "ms of a core", "teams", delta, futureTeams)
	rate := float64(futureChangesDay) / secondsPerDay
	fmt.Printf("slopes: at %.3f changes/s that is %.3f %% of a core a VM\n", rate, ms/1e3*rate*100)
	show("rules read whole by a new VM", "ms of a core", "teams", boot, futureTeams)
	show("memory of the rules in force", "MiB", "teams", memory, futureTeams)
	bytes := show("head object after 20 changes", "bytes", "teams", head, futureTeams)
	fmt.Printf("slopes: a watcher reads %.0f B/s\n", bytes*rate)
	bytes = show("message to a peer one generation behind", "bytes", "teams", wire, futureTeams)
	fmt.Printf("slopes: a VM receives %.0f B/s of changes\n", bytes*rate)
	return nil
}

func changeConfiguration(teams int) (configCost, error) {
	ctx := context.Background()
	platform := radishstandin.NewPlatform()
	store := &radishconfig.Store{Platform: platform}
	lines := rulesOf(teams)
	if _, err := store.Apply(ctx, radishconfig.Change{By: "slopes", Lines: slices.Clone(lines)}); err != nil {
		return configCost{}, err
	}
	var cost configCost
	holder := &radishconfig.Holder{}
	peer := &radishconfig.Holder{}
	before := heap()
	start := processorTime()
	snapshot, err := store.Load(ctx)
	if err != nil {
		return cost, err
	}
	if _, err := holder.UpdateIfNewer(snapshot); err != nil {
		return cost, err
	}
	cost.boot = processorTime() - start
	cost.heapBytes = heap() - before
	if _, err := peer.UpdateIfNewer(holder.Snapshot()); err != nil {
		return cost, err
	}
	for i := range 2 * configChanges {
		limit := radishrule.Line{Text: fmt.Sprintf("limit team=team-%d requests_per_s=5", i), Comment: "asked by sales"}
		lines = append(lines, limit)
		if _, err := store.Apply(ctx, radishconfig.Change{Base: uint64(i + 1), By: "slopes", Lines: slices.Clone(lines)}); err != nil {
			return cost, err
		}
		if err := cost.follow(ctx, store, holder, peer); err != nil {
			return cost, err
		}
	}
	cost.delta /= 2 * configChanges
	return cost, nil
}

// follow takes one change into a watcher's holder and from there into a peer's, and times the peer.
func (c *configCost) follow(ctx context.Context, store *radishconfig.Store, holder, peer *radishconfig.Holder) error {
	obj, err := store.Platform.Get(ctx, radishconfig.HeadKey)
	if err != nil {
		return err
	}
	c.headBytes = len(obj.Value)
	snapshot, err := store.Advance(ctx, holder.Snapshot(), obj)
	if err != nil {
		return err
	}
	if _, err := holder.UpdateIfNewer(snapshot); err != nil {
		return err
	}
	raw, err := holder.EncodeSince(peer.Generation())
	if err != nil {
		return err
	}
	c.deltaBytes = len(raw)
	start := processorTime()
	changed, err := peer.UpdateFromPeer(raw)
	if err == nil && !changed {
		err = radish.ErrConflict
	}
	if err != nil {
		return fmt.Errorf("change not taken: %w", err)
	}
	c.delta += processorTime() - start
	return nil
}
