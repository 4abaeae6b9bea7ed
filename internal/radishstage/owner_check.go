package radishstage

import (
	"context"
	"strconv"
	"sync"
	"time"
)

const (
	// ownerCheckTimeout bounds the check of the VMs that may coordinate a shard; a round trip between data centres takes some ten
	// milliseconds.
	ownerCheckTimeout = 250 * time.Millisecond
	// unresponsiveSuspicion is how long a VM that did not respond to the check gets no plans. By then its link has been closed if the VM
	// is cut off.
	unresponsiveSuspicion = 3 * time.Second
)

// checkOwners pings all VMs that may coordinate the shard and suspects those that do not respond. A coordinator that falls silent may
// be cut off together with the VMs that are preferred after it, whose connections stay open as well. If plans tried them one after
// the other, each VM would soon coordinate for itself, and all would compete for the targets. Plans that fail together share one check.
func (r *Router) checkOwners(ctx context.Context, shard, shards int) {
	key := strconv.Itoa(shard) + "/" + strconv.Itoa(shards)
	done := r.checks.DoChan(key, func() (any, error) {
		r.pingOwners(r.unsuspectedOwners(shard, shards))
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// unsuspectedOwners returns the VMs other than this one that may coordinate the shard and are not suspected.
func (r *Router) unsuspectedOwners(shard, shards int) []string {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var owners []string
	for _, owner := range r.Owners(shard, shards) {
		if owner != r.Self && now.After(r.suspects[owner]) {
			owners = append(owners, owner)
		}
	}
	return owners
}

// pingOwners pings the VMs at the same time and suspects those that do not respond.
func (r *Router) pingOwners(owners []string) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerCheckTimeout)
	defer cancel()
	began := time.Now()
	errs := make([]error, len(owners))
	var pings sync.WaitGroup
	for i, owner := range owners {
		pings.Go(func() { errs[i] = r.Peers.Ping(ctx, owner) })
	}
	pings.Wait()
	if time.Since(began) > 2*ownerCheckTimeout {
		// This VM was frozen itself, so that the results show nothing.
		return
	}
	for i, err := range errs {
		if err != nil {
			r.Log.Warn("VM that may coordinate does not respond", "peer", owners[i], "error", err.Error())
			r.suspect(owners[i], unresponsiveSuspicion)
		}
	}
}
