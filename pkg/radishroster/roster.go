package radishroster

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

// missedHeartbeatLimit is the number of heartbeats that a peer may miss before it is considered down.
const missedHeartbeatLimit = 4

// heartbeat is the last heartbeat of a peer.
type heartbeat struct {
	dataCentre string
	leaving    bool
	receivedAt time.Time
}

// Roster keeps track of the entry VMs and targets. Set the exported fields before calling Run.
type Roster struct {
	Platform radish.Platform
	// Self is the name of this VM.
	Self string
	// DataCentre is the data centre of this VM.
	DataCentre string
	// ListInterval is the mean time between reads of the platform's list.
	ListInterval time.Duration
	// HeartbeatInterval is the time between heartbeats of a peer.
	HeartbeatInterval time.Duration
	// OnListChange is called when the list of VMs has changed, and for the first list. It may be nil.
	OnListChange func()
	Log          hclog.Logger

	mu          sync.Mutex
	vms         []radish.VM
	hasList     bool
	firstListAt time.Time
	heartbeats  map[string]heartbeat
	leaving     bool

	// isPlatformLost and platformLostAt record whether and since when the platform does not respond. Only Run uses
	// them, so they need no lock.
	isPlatformLost bool
	platformLostAt time.Time
}

// Run reads the platform's list periodically until ctx is done. While the platform is unavailable, the last list stays in
// force.
func (r *Roster) Run(ctx context.Context) error {
	for {
		r.readList(ctx)
		delay := r.ListInterval/2 + rand.N(r.ListInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

func (r *Roster) readList(ctx context.Context) {
	vms, err := r.Platform.VMs(ctx)
	if ctx.Err() != nil {
		return
	}
	r.updatePlatformState(err)
	if err != nil {
		return
	}
	r.setList(vms)
}

// updatePlatformState logs when the platform stops responding and when it responds again.
func (r *Roster) updatePlatformState(err error) {
	isLost := err != nil
	switch {
	case isLost && !r.isPlatformLost:
		r.Log.Warn("platform lost", "error", err.Error())
	case !isLost && r.isPlatformLost:
		r.Log.Info("platform regained", "lost_ms", time.Since(r.platformLostAt).Milliseconds())
	}
	if isLost && !r.isPlatformLost {
		r.platformLostAt = time.Now()
	}
	r.isPlatformLost = isLost
}

// SetInitialList stores a list of VMs received from a peer, unless the roster already has one.
func (r *Roster) SetInitialList(vms []radish.VM) {
	if !r.HasList() {
		r.setList(vms)
	}
}

func (r *Roster) setList(vms []radish.VM) {
	r.mu.Lock()
	changed := !r.hasList || !slices.Equal(vms, r.vms)
	r.vms = vms
	if !r.hasList {
		r.hasList = true
		r.firstListAt = time.Now()
	}
	r.mu.Unlock()
	if changed && r.OnListChange != nil {
		r.OnListChange()
	}
}

// VMs returns a copy of the latest list of VMs.
func (r *Roster) VMs() []radish.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.vms)
}

// RecordHeartbeat records a heartbeat received from a peer.
func (r *Roster) RecordHeartbeat(vm, dataCentre string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeats == nil {
		r.heartbeats = make(map[string]heartbeat)
	}
	r.heartbeats[vm] = heartbeat{dataCentre: dataCentre, leaving: leaving, receivedAt: time.Now()}
}

// SetLeaving marks this VM as leaving, so that it no longer counts itself as a candidate for any role.
func (r *Roster) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// IsLeaving reports whether this VM is leaving.
func (r *Roster) IsLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// Targets returns all targets of the latest list of VMs.
func (r *Roster) Targets() []radish.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var targets []radish.Target
	for _, vm := range r.vms {
		if vm.Service == radish.EntryService {
			continue
		}
		targets = append(targets, radish.Target{
			Name: vm.Name, Address: vm.Address, DataCentre: vm.DataCentre, Service: vm.Service,
			Leaving: vm.State == radish.VMLeaving,
		})
	}
	return targets
}

// EntryVMs returns the entry VMs of the latest list of VMs, without this VM.
func (r *Roster) EntryVMs() []radish.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	var vms []radish.VM
	for _, vm := range r.vms {
		if vm.Service == radish.EntryService && vm.Name != r.Self {
			vms = append(vms, vm)
		}
	}
	return vms
}

// HasList reports whether a list of VMs has been received from the platform or from a peer.
func (r *Roster) HasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasList
}

// Candidates returns the sorted names of this data centre's entry VMs that may take a role: this VM unless it is leaving,
// and the peers with a recent heartbeat. Shortly after the first list it also returns the live peers of the list, since
// their heartbeats may not have arrived yet.
func (r *Roster) Candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	heartbeatTimeout := missedHeartbeatLimit * r.HeartbeatInterval
	candidates := make(map[string]bool)
	if !r.leaving {
		candidates[r.Self] = true
	}
	for name, hb := range r.heartbeats {
		if hb.dataCentre == r.DataCentre && !hb.leaving && now.Sub(hb.receivedAt) < heartbeatTimeout {
			candidates[name] = true
		}
	}
	if now.Sub(r.firstListAt) < heartbeatTimeout {
		for _, vm := range r.vms {
			if vm.Service == radish.EntryService && vm.DataCentre == r.DataCentre && vm.State == radish.VMLive && vm.Name != r.Self {
				candidates[vm.Name] = true
			}
		}
	}
	names := make([]string, 0, len(candidates))
	for name := range candidates {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// IsOwner reports whether this VM is one of the n candidates that own the key by rendezvous hashing.
func (r *Roster) IsOwner(key string, n int) bool {
	return slices.Contains(radish.RendezvousOwners(r.Candidates(), key, n), r.Self)
}

// Owner returns the name of the candidate that owns the key, or "" if there is none.
func (r *Roster) Owner(key string) string {
	owners := radish.RendezvousOwners(r.Candidates(), key, 1)
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}
