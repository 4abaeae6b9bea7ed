package radishstage

import (
	"context"
	"errors"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// silenceTime is how long a coordinator of which plans are asked may say nothing before it is probed.
	silenceTime = 400 * time.Millisecond
	// probeTimeout bounds a probe; a round trip between data centres takes some ten milliseconds.
	probeTimeout = 500 * time.Millisecond
	// watchInterval is the time between looks at who is silent.
	watchInterval = 100 * time.Millisecond
)

// watch tells which of the VMs that are asked for plans have fallen silent: a process that stands still keeps its
// connections, so that nothing else tells of it. A busy coordinator answers all the time and gets no probe.
type watch struct {
	mu    sync.Mutex
	asked map[string]*asked
}

// asked is a VM that has plans to answer.
type asked struct {
	plans int
	// heard is when the VM last answered, or was asked while it had nothing to answer.
	heard     time.Time
	isProbing bool
}

// begin notes that the VM is asked for a plan.
func (w *watch) begin(name string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked == nil {
		w.asked = make(map[string]*asked)
	}
	a := w.asked[name]
	if a == nil {
		a = &asked{heard: now}
		w.asked[name] = a
	}
	a.plans++
}

// end notes that a plan is answered or given up.
func (w *watch) end(name string, now time.Time, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.asked[name]
	a.plans--
	if answered {
		a.heard = now
	}
	if a.plans == 0 {
		delete(w.asked, name)
	}
}

// silent returns the VMs to probe now.
func (w *watch) silent(now time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var names []string
	for name, a := range w.asked {
		if !a.isProbing && now.Sub(a.heard) >= silenceTime {
			a.isProbing = true
			names = append(names, name)
		}
	}
	return names
}

// probed takes in the outcome of a probe.
func (w *watch) probed(name string, now time.Time, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.asked[name]
	if a == nil {
		return
	}
	a.isProbing = false
	if answered {
		a.heard = now
	}
}

// Watch probes the VMs that owe plans and say nothing, and closes the links to those that stand still, so that their
// plans go to other VMs, until ctx ends.
func (r *Router) Watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			for _, name := range r.watch.silent(now) {
				go r.probe(ctx, name)
			}
		}
	}
}

// probe leaves a VM that does not answer over an open link. A link that breaks meanwhile is dialled anew, and a probe that
// took far too long shows that this VM has stood still itself.
func (r *Router) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := r.Peers.Ping(ctx, name)
	r.watch.probed(name, time.Now(), err == nil)
	if errors.Is(err, radish.ErrPeerTimeout) && time.Since(began) < 2*probeTimeout && !errors.Is(ctx.Err(), context.Canceled) {
		r.Log.Warn("coordinator silent, link closed", "peer", name, "silent_ms", (silenceTime + probeTimeout).Milliseconds(), "error", err.Error())
		r.suspect(name)
		r.Peers.CloseLink(name)
	}
}
