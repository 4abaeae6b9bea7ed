package radishstage

import (
	"context"
	"errors"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// silenceTimeout is how long a coordinator with unanswered plans may send no answer before it is probed.
	silenceTimeout = 400 * time.Millisecond
	// probeTimeout bounds a probe; a round trip between data centres takes some ten milliseconds.
	probeTimeout = 500 * time.Millisecond
	// silenceCheckInterval is the time between checks for silent coordinators.
	silenceCheckInterval = 100 * time.Millisecond
)

// silenceDetector determines which of the VMs with unanswered plans have stopped answering. A frozen process keeps its
// connections open, so that no connection error reveals it. A busy coordinator answers plans all the time and is not probed.
type silenceDetector struct {
	mu    sync.Mutex
	peers map[string]*pendingPeer
}

// pendingPeer is a VM with unanswered plans.
type pendingPeer struct {
	plans int
	// silentSince is when the VM last answered, or when it was sent a plan while it had no unanswered ones.
	silentSince time.Time
	isProbing   bool
}

// planSent records that a plan is sent to the VM.
func (d *silenceDetector) planSent(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = make(map[string]*pendingPeer)
	}
	p := d.peers[name]
	if p == nil {
		p = &pendingPeer{silentSince: now}
		d.peers[name] = p
	}
	p.plans++
}

// planEnded records that a plan was answered or abandoned.
func (d *silenceDetector) planEnded(name string, now time.Time, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[name]
	p.plans--
	if answered {
		p.silentSince = now
	}
	if p.plans == 0 {
		delete(d.peers, name)
	}
}

// startProbes returns the VMs to probe now and marks them as being probed.
func (d *silenceDetector) startProbes(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name, p := range d.peers {
		if !p.isProbing && now.Sub(p.silentSince) >= silenceTimeout {
			p.isProbing = true
			names = append(names, name)
		}
	}
	return names
}

// probeEnded records the outcome of a probe.
func (d *silenceDetector) probeEnded(name string, now time.Time, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.peers[name]
	if p == nil {
		return
	}
	p.isProbing = false
	if answered {
		p.silentSince = now
	}
}

// ProbeSilentPeers probes VMs that have not answered plans for a while and closes the links to those that are frozen, so that
// their plans go to other VMs. It returns when ctx ends.
func (r *Router) ProbeSilentPeers(ctx context.Context) error {
	return radish.Every(ctx, silenceCheckInterval, func(now time.Time) {
		for _, name := range r.silence.startProbes(now) {
			go r.probe(ctx, name)
		}
	})
}

// probe pings the VM and closes the link to it if it does not answer over an open link. Two outcomes are inconclusive: a
// link that broke meanwhile and is dialled again, and a probe that took far longer than its timeout, which shows that this VM
// was frozen itself.
func (r *Router) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	began := time.Now()
	err := r.Peers.Ping(ctx, name)
	r.silence.probeEnded(name, time.Now(), err == nil)
	if errors.Is(err, radish.ErrPeerTimeout) && time.Since(began) < 2*probeTimeout && !errors.Is(ctx.Err(), context.Canceled) {
		r.Log.Warn("coordinator silent, link closed", "peer", name, "silent_ms", (silenceTimeout + probeTimeout).Milliseconds(),
			"error", err.Error())
		r.suspect(name, silentSuspicion)
		r.Peers.CloseLink(name)
	}
}
