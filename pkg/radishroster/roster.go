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

// suspectBeats is how many heartbeats a peer may miss before it counts as gone.
const suspectBeats = 4

// beat is the last heartbeat of a peer.
type beat struct {
	dataCentre string
	leaving    bool
	at         time.Time
}

// Roster keeps the list; set the exported fields before Run.
type Roster struct {
	Platform radish.Platform
	// Self is this VM's name, DataCentre where it stands.
	Self       string
	DataCentre string
	// ListInterval is the mean time between reads of the platform's list.
	ListInterval time.Duration
	// HeartbeatInterval is the time between heartbeats of a peer.
	HeartbeatInterval time.Duration
	// OnList is called after each read of the list that changed it; nil ignores it.
	OnList func()
	Log    hclog.Logger

	mu      sync.Mutex
	vms     []radish.VM
	read    bool
	started time.Time
	beats   map[string]beat
	leaving bool

	// isLost and lostAt tell, to the loop that reads the list, since when the platform does not answer.
	isLost bool
	lostAt time.Time
}

// Run reads the platform's list until ctx ends; while the platform is out, the last list stays in force.
func (r *Roster) Run(ctx context.Context) error {
	for {
		r.readList(ctx)
		wait := r.ListInterval/2 + rand.N(r.ListInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (r *Roster) readList(ctx context.Context) {
	vms, err := r.Platform.VMs(ctx)
	if ctx.Err() != nil {
		return
	}
	r.noteReach(err)
	if err != nil {
		return
	}
	r.setList(vms)
}

// noteReach logs when the platform is lost and regained.
func (r *Roster) noteReach(err error) {
	isLost := err != nil
	switch {
	case isLost && !r.isLost:
		r.Log.Warn("platform lost", "error", err.Error())
	case !isLost && r.isLost:
		r.Log.Info("platform regained", "lost_ms", time.Since(r.lostAt).Milliseconds())
	}
	if isLost && !r.isLost {
		r.lostAt = time.Now()
	}
	r.isLost = isLost
}

// OfferList takes in the list as a peer has it, unless this VM has read one itself.
func (r *Roster) OfferList(vms []radish.VM) {
	if !r.HasList() {
		r.setList(vms)
	}
}

func (r *Roster) setList(vms []radish.VM) {
	r.mu.Lock()
	changed := !r.read || !slices.Equal(vms, r.vms)
	r.vms = vms
	if !r.read {
		r.read = true
		r.started = time.Now()
	}
	r.mu.Unlock()
	if changed && r.OnList != nil {
		r.OnList()
	}
}

// List returns the platform's list as last read.
func (r *Roster) List() []radish.VM {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.vms)
}

// Beat takes in a heartbeat of a peer.
func (r *Roster) Beat(vm, dataCentre string, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.beats == nil {
		r.beats = make(map[string]beat)
	}
	r.beats[vm] = beat{dataCentre: dataCentre, leaving: leaving, at: time.Now()}
}

// SetLeaving makes this VM stop counting itself as a candidate for any role.
func (r *Roster) SetLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// IsLeaving tells whether this VM leaves.
func (r *Roster) IsLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}

// Targets returns all targets of the platform's list.
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

// EntryVMs returns the other entry VMs of the platform's list.
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

// HasList tells whether the platform's list was read at least once.
func (r *Roster) HasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read
}

// Candidates returns the names of this data centre's entry VMs that may take a role: this VM unless it leaves,
// and the peers that beat of late or, while this VM is new, stand in the platform's list.
func (r *Roster) Candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	patience := suspectBeats * r.HeartbeatInterval
	set := make(map[string]bool)
	if !r.leaving {
		set[r.Self] = true
	}
	for name, b := range r.beats {
		if b.dataCentre == r.DataCentre && !b.leaving && now.Sub(b.at) < patience {
			set[name] = true
		}
	}
	if now.Sub(r.started) < patience {
		for _, vm := range r.vms {
			if vm.Service == radish.EntryService && vm.DataCentre == r.DataCentre && vm.State == radish.VMLive && vm.Name != r.Self {
				set[vm.Name] = true
			}
		}
	}
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// IsOwner tells whether this VM is among the n candidates that own the key.
func (r *Roster) IsOwner(key string, n int) bool {
	return slices.Contains(radish.RendezvousOwners(r.Candidates(), key, n), r.Self)
}

// Owner returns the candidate that owns the key, or "" when there is none.
func (r *Roster) Owner(key string) string {
	owners := radish.RendezvousOwners(r.Candidates(), key, 1)
	if len(owners) == 0 {
		return ""
	}
	return owners[0]
}
