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

// configChanges is half the number of changes that are measured at each size.
const configChanges = 10

func generateRules(teams int) []radishrule.Line {
	text := "service name=llm # asked by operations\npipeline name=report stages=generate/llm deadline=5s # asked by operations\n"
	lines := radishrule.SplitLines(text)
	for i := range teams {
		lines = append(lines, radishrule.Line{Text: fmt.Sprintf("team name=team-%d token_sha256=%064x share=1", i, i), Comment: "asked by sales"})
	}
	slices.SortFunc(lines, func(a, b radishrule.Line) int { return strings.Compare(a.Text, b.Text) })
	return lines
}

// configCost is the measured cost of a configuration of one size.
type configCost struct {
	applyTime, loadTime   time.Duration
	headBytes, deltaBytes int
	heapBytes             uint64
}

// measureConfiguration measures one-line changes of rules of several sizes.
func measureConfiguration() error {
	var applyTime, loadTime, memory, headSize, deltaSize []point
	for _, teams := range []int{1_000, 5_000, 13_000, 26_000} {
		cost, err := measureConfigChanges(teams)
		if err != nil {
			return err
		}
		teamCount := float64(teams)
		applyTime = append(applyTime, point{teamCount, cost.applyTime.Seconds() * 1e3})
		loadTime = append(loadTime, point{teamCount, cost.loadTime.Seconds() * 1e3})
		memory = append(memory, point{teamCount, float64(cost.heapBytes) / (1 << 20)})
		headSize = append(headSize, point{teamCount, float64(cost.headBytes)})
		deltaSize = append(deltaSize, point{teamCount, float64(cost.deltaBytes)})
	}
	applyMillis := reportFit("one-line change applied by a VM", "core ms", "teams", applyTime, projectedTeams)
	changeRate := float64(projectedChangesPerDay) / secondsPerDay
	fmt.Printf("slopes: at %.3f changes/s this takes %.3f %% of a core per VM\n", changeRate, applyMillis/1e3*changeRate*100)
	reportFit("full rules loaded by a new VM", "core ms", "teams", loadTime, projectedTeams)
	reportFit("memory of the active rules", "MiB", "teams", memory, projectedTeams)
	size := reportFit("head object after 20 changes", "bytes", "teams", headSize, projectedTeams)
	fmt.Printf("slopes: a VM that watches the head object reads %.0f B/s\n", size*changeRate)
	size = reportFit("message to a peer that is one generation behind", "bytes", "teams", deltaSize, projectedTeams)
	fmt.Printf("slopes: a VM receives %.0f B/s of changes from peers\n", size*changeRate)
	return nil
}

func measureConfigChanges(teams int) (configCost, error) {
	ctx := context.Background()
	platform := radishstandin.NewPlatform()
	store := &radishconfig.Store{Platform: platform}
	lines := generateRules(teams)
	if _, err := store.Apply(ctx, radishconfig.Change{By: "slopes", Lines: slices.Clone(lines)}); err != nil {
		return configCost{}, err
	}
	var cost configCost
	holder := &radishconfig.Holder{}
	peer := &radishconfig.Holder{}
	heapBefore := heapInUse()
	start := cpuTime()
	snapshot, err := store.Load(ctx)
	if err != nil {
		return cost, err
	}
	if _, err := holder.UpdateIfNewer(snapshot); err != nil {
		return cost, err
	}
	cost.loadTime = cpuTime() - start
	cost.heapBytes = heapInUse() - heapBefore
	if _, err := peer.UpdateIfNewer(holder.Snapshot()); err != nil {
		return cost, err
	}
	for i := range 2 * configChanges {
		limit := radishrule.Line{Text: fmt.Sprintf("limit team=team-%d requests_per_s=5", i), Comment: "asked by sales"}
		lines = append(lines, limit)
		if _, err := store.Apply(ctx, radishconfig.Change{Base: uint64(i + 1), By: "slopes", Lines: slices.Clone(lines)}); err != nil {
			return cost, err
		}
		if err := cost.propagate(ctx, store, holder, peer); err != nil {
			return cost, err
		}
	}
	cost.applyTime /= 2 * configChanges
	return cost, nil
}

// propagate applies one change to the holder of a watching VM and from there to that of a peer. It measures the peer's CPU
// time.
func (c *configCost) propagate(ctx context.Context, store *radishconfig.Store, holder, peer *radishconfig.Holder) error {
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
	encoded, err := holder.EncodeSince(peer.Generation())
	if err != nil {
		return err
	}
	c.deltaBytes = len(encoded)
	start := cpuTime()
	changed, err := peer.UpdateFromPeer(encoded)
	if err == nil && !changed {
		err = radish.ErrConflict
	}
	if err != nil {
		return fmt.Errorf("the peer did not apply the change: %w", err)
	}
	c.applyTime += cpuTime() - start
	return nil
}
