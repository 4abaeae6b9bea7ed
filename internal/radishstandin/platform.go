package radishstandin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// Faults configures the faults that a Platform injects.
type Faults struct {
	// Outage makes each call fail without effect.
	Outage bool `json:"outage"`
	// DelayMS is the delay that is added to each call, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponseEvery makes every nth update take effect and then return ErrAmbiguous; 0 disables it.
	LoseResponseEvery int `json:"lose_answers"`
	// LateUpdateEvery makes every nth update return ErrAmbiguous and take effect only after a delay; 0 disables it.
	LateUpdateEvery int `json:"late_updates"`
	// LateUpdateDelayMS is the delay after which a late update takes effect, in milliseconds.
	LateUpdateDelayMS int `json:"late_by_ms"`
	// StaleReadEvery makes every nth read return the previous version of the object, if there is one; 0 disables it.
	// Only Get returns stale versions, but all reads are counted.
	StaleReadEvery int `json:"stale_reads"`
}

// Platform is an in-memory test double of the platform's object API.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]radish.Object
	previous map[string]radish.Object
	version  uint64
	// changed is closed and replaced at each update.
	changed chan struct{}
	vms     map[string]radish.VM
	faults  Faults
	reads   int
	updates int
}

var _ radish.Platform = (*Platform)(nil)

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	return &Platform{
		objects:  make(map[string]radish.Object),
		previous: make(map[string]radish.Object),
		changed:  make(chan struct{}),
		vms:      make(map[string]radish.VM),
	}
}

// SetFaults replaces the active faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetVM adds a VM to the VM list or replaces it there.
func (p *Platform) SetVM(vm radish.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vm
}

// Counts holds the numbers of calls that a Platform has received.
type Counts struct {
	Reads   int `json:"reads"`
	Updates int `json:"updates"`
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Reads: p.reads, Updates: p.updates}
}

// startRead counts a read, injects faults and reports whether the read is to return a stale version.
func (p *Platform) startRead(ctx context.Context) (bool, error) {
	p.mu.Lock()
	p.reads++
	faults := p.faults
	stale := isNth(p.reads, faults.StaleReadEvery)
	p.mu.Unlock()
	return stale, injectDelay(ctx, faults)
}

// injectDelay returns ErrUnavailable during an outage and otherwise waits for the configured delay.
func injectDelay(ctx context.Context, f Faults) error {
	if f.Outage {
		return radish.ErrUnavailable
	}
	if f.DelayMS == 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return radish.ErrUnavailable
	case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
		return nil
	}
}

// isNth reports whether count is a multiple of n; n = 0 matches no count.
func isNth(count, n int) bool { return n > 0 && count%n == 0 }

// Get implements radish.Platform.
func (p *Platform) Get(ctx context.Context, key string) (radish.Object, error) {
	stale, err := p.startRead(ctx)
	if err != nil {
		return radish.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous, ok := p.previous[key]; ok && stale {
		return previous, nil
	}
	obj, ok := p.objects[key]
	if !ok {
		return radish.Object{}, radish.ErrNotFound
	}
	return obj, nil
}

// Put implements radish.Platform.
func (p *Platform) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	return p.update(ctx, key, slices.Clone(value), ifVersion)
}

// Delete implements radish.Platform.
func (p *Platform) Delete(ctx context.Context, key string, ifVersion uint64) error {
	_, err := p.update(ctx, key, nil, ifVersion)
	return err
}

// update counts an update, injects faults and commits the update.
func (p *Platform) update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	p.mu.Lock()
	p.updates++
	n := p.updates
	faults := p.faults
	p.mu.Unlock()
	if faults.Outage {
		return 0, radish.ErrUnavailable
	}
	if isNth(n, faults.LateUpdateEvery) {
		time.AfterFunc(time.Duration(faults.LateUpdateDelayMS)*time.Millisecond, func() {
			_, _ = p.commit(key, value, ifVersion)
		})
		return 0, radish.ErrAmbiguous
	}
	if err := injectDelay(ctx, faults); err != nil {
		return 0, radish.ErrAmbiguous
	}
	version, err := p.commit(key, value, ifVersion)
	if isNth(n, faults.LoseResponseEvery) {
		return 0, radish.ErrAmbiguous
	}
	return version, err
}

// commit writes the value if the object has the version ifVersion; a nil value deletes the object.
func (p *Platform) commit(key string, value []byte, ifVersion uint64) (uint64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.objects[key]
	if current.Version != ifVersion {
		return 0, radish.ErrConflict
	}
	p.version++
	if value == nil {
		delete(p.objects, key)
		delete(p.previous, key)
	} else {
		if current.Version != 0 {
			p.previous[key] = current
		}
		p.objects[key] = radish.Object{Key: key, Version: p.version, Value: value}
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.version, nil
}

// Watch implements radish.Platform.
func (p *Platform) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (radish.Object, error) {
	if _, err := p.startRead(ctx); err != nil {
		return radish.Object{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		obj := p.objects[key]
		changed := p.changed
		outage := p.faults.Outage
		p.mu.Unlock()
		if outage {
			return radish.Object{}, radish.ErrUnavailable
		}
		if obj.Version > after {
			return obj, nil
		}
		select {
		case <-ctx.Done():
			return radish.Object{}, radish.ErrUnavailable
		case <-timer.C:
			return radish.Object{}, radish.ErrNotFound
		case <-changed:
		}
	}
}

// List implements radish.Platform.
func (p *Platform) List(ctx context.Context, prefix string) ([]string, error) {
	if _, err := p.startRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

// VMs implements radish.Platform.
func (p *Platform) VMs(ctx context.Context) ([]radish.VM, error) {
	if _, err := p.startRead(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	vms := make([]radish.VM, 0, len(p.vms))
	for _, vm := range p.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b radish.VM) int { return strings.Compare(a.Name, b.Name) })
	return vms, nil
}
