package radishrollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	replayTick   = 10 * time.Millisecond
	gossipPeriod = 500 * time.Millisecond
	// targetCount is the number of targets of each version; a target is fully loaded with this part of the service's calls.
	targetCount = 10
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// replay sends calls to VMs that follow an order, and counts what the candidate gets.
type replay struct {
	order  Order
	rate   float64   // calls per second
	shares []float64 // of the VMs
	routes []string
	// respond returns the result of a call sent at a time since the order; a lost one is not recorded.
	respond func(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration)
	// isCut reports whether a VM hears no peer and no store, isFrozen whether it does nothing; either may be nil.
	isCut, isFrozen func(vm int, at time.Duration) bool
	// restart is when VM 0 restarts without its state, 0 for never.
	restart time.Duration

	rng       *rand.Rand
	vms       []*replayVM
	responses map[time.Duration][]*replayCall
	messages  map[time.Duration][]message
	status    Phase
	result    replayResult
	// recent is the candidate's rate of calls as a moving average over about a second.
	recent float64
}

type replayVM struct {
	rollout *Rollout
	old     int // calls in flight at old targets
}

type message struct {
	to       int
	evidence []Evidence
}

// replayCall is a call. load is the candidate's rate of calls as a part of what one target of a full version gets.
type replayCall struct {
	vm           int
	sample       Sample
	at           time.Duration
	load         float64
	failed, lost bool
}

// replayResult is what the candidate got until the deadline.
type replayResult struct {
	calls, exposed, bad int
	fiftiethBadAt       time.Duration
	lastExposedAt       time.Duration
	status              Phase
	statusAt            time.Duration
	reason              string
	// wrongAfter is the number of calls to the wrong version that VMs sent a second or more after the final state, cut ones excluded.
	wrongAfter int
}

func (p *replay) newVM(i, incarnation int, at time.Duration) *replayVM {
	return &replayVM{rollout: &Rollout{
		Order: p.order, Limits: Limits{MaxShare: 0.1, Slack: 50, RevertWithin: 5 * time.Second},
		Self: Source{VM: fmt.Sprint("vm-", i), Incarnation: int64(incarnation)}, StartedAt: testStart.Add(at), VMs: len(p.shares),
		Targets: targetCount,
	}}
}

// run replays the order with the seed, until some seconds after its deadline.
func (p *replay) run(seed uint64) replayResult {
	p.rng = rand.New(rand.NewPCG(seed, 1))
	p.responses, p.messages = make(map[time.Duration][]*replayCall), make(map[time.Duration][]message)
	p.vms, p.status, p.result, p.recent = nil, "", replayResult{}, 0
	for i := range p.shares {
		p.vms = append(p.vms, p.newVM(i, 1, 0))
	}
	for at := time.Duration(0); at < p.order.Duration+3*time.Second; at += replayTick {
		if p.restart > 0 && at == p.restart {
			p.vms[0] = p.newVM(0, 2, at)
		}
		p.tick(at)
	}
	p.result.status = p.status
	return p.result
}

func (p *replay) tick(at time.Duration) {
	p.recent *= 1 - replayTick.Seconds()
	p.deliver(at)
	for i := range p.vms {
		if p.isFrozen != nil && p.isFrozen(i, at) {
			continue
		}
		p.decide(i, at)
		for range p.poisson(p.rate * p.shares[i] * replayTick.Seconds()) {
			p.send(i, at)
		}
		if (at+time.Duration(i)*replayTick)%gossipPeriod == 0 {
			p.gossip(i, at)
		}
	}
}

func (p *replay) poisson(mean float64) int {
	n := 0
	for product := p.rng.Float64(); product > math.Exp(-mean); product *= p.rng.Float64() {
		n++
	}
	return n
}

func (p *replay) cut(vm int, at time.Duration) bool { return p.isCut != nil && p.isCut(vm, at) }

// decide lets the VM decide, and write the first final state to the store.
func (p *replay) decide(i int, at time.Duration) {
	vm := p.vms[i]
	vm.rollout.RecordOldInFlight(vm.old)
	d := vm.rollout.Decide(testStart.Add(at))
	if p.cut(i, at) {
		return
	}
	if p.status == "" && (d.Phase == PhaseCompleted || d.Phase == PhaseReverted) {
		p.status, p.result.statusAt, p.result.reason = d.Phase, at, d.Reason
	}
	if p.status != "" && at >= p.result.statusAt+300*time.Millisecond {
		vm.rollout.Finish(p.status)
	}
}

func (p *replay) send(i int, at time.Duration) {
	vm, now := p.vms[i], testStart.Add(at)
	c := &replayCall{vm: i, at: at, sample: Sample{Route: p.routes[p.rng.IntN(len(p.routes))]}}
	c.sample.Candidate = vm.rollout.MustUse(now) || vm.rollout.Admit(c.sample.Route, len(p.shares), now)
	vm.rollout.RecordSend(c.sample.Route, c.sample.Candidate, 1, now)
	p.count(c)
	c.load = p.recent / (p.rate / targetCount)
	// Few calls go to few targets, which are then as fully loaded as possible.
	c.sample.Target = p.pickTarget(vm, c.load)
	c.failed, c.lost, c.sample.Took = p.respond(c, p.rng)
	c.sample.Failed = c.failed
	due := at + max(replayTick, c.sample.Took.Round(replayTick))
	p.responses[due] = append(p.responses[due], c)
	if !c.sample.Candidate {
		vm.old++
	}
}

func (p *replay) pickTarget(vm *replayVM, load float64) string {
	n := p.rng.IntN(max(1, min(targetCount, int(math.Ceil(load)))))
	if fmt.Sprint("target-", n) == vm.rollout.SuspectTarget() {
		n = (n + 1) % targetCount
	}
	return fmt.Sprint("target-", n)
}

func (p *replay) count(c *replayCall) {
	if p.status != "" && c.at >= p.result.statusAt+time.Second && c.sample.Candidate != (p.status == PhaseCompleted) && !p.cut(c.vm, c.at) {
		p.result.wrongAfter++
	}
	if c.at < p.order.Duration {
		p.result.calls++
	}
	if !c.sample.Candidate {
		return
	}
	p.recent++
	p.result.lastExposedAt = c.at
	if c.at < p.order.Duration {
		p.result.exposed++
	}
}

// deliver delivers the responses and messages that are due.
func (p *replay) deliver(at time.Duration) {
	for _, c := range p.responses[at] {
		vm := p.vms[c.vm]
		if !c.sample.Candidate {
			vm.old = max(0, vm.old-1)
		}
		if c.lost {
			continue
		}
		vm.rollout.RecordResult(c.sample, testStart.Add(at))
		if c.sample.Candidate && (c.failed || c.sample.Took >= slowTime) {
			p.result.bad++
			if p.result.bad == 50 {
				p.result.fiftiethBadAt = at
			}
		}
	}
	for _, m := range p.messages[at] {
		if !p.cut(m.to, at) && (p.isFrozen == nil || !p.isFrozen(m.to, at)) {
			p.vms[m.to].rollout.Merge(m.evidence, testStart.Add(at))
		}
	}
	delete(p.responses, at)
	delete(p.messages, at)
}

// gossip sends the VM's evidence to all others, with delays.
func (p *replay) gossip(from int, at time.Duration) {
	if p.cut(from, at) {
		return
	}
	evidence := p.vms[from].rollout.Evidence()
	for to := range p.vms {
		if to != from {
			due := at + replayTick*time.Duration(1+p.rng.IntN(20))
			p.messages[due] = append(p.messages[due], message{to: to, evidence: evidence})
		}
	}
}
