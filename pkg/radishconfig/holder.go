package radishconfig

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radishrule"
)

// InForce is a configuration in force on this VM.
type InForce struct {
	Snapshot *Snapshot
	Rules    *radishrule.RuleSet
}

// Holder keeps the newest configuration that the VM has seen; the zero value holds none.
type Holder struct {
	// OnChange is called, in order, after a newer configuration came in force; nil ignores it.
	OnChange func(*InForce)

	mu      sync.Mutex
	parser  radishrule.Parser
	current atomic.Pointer[InForce]
}

// Current returns the configuration in force, or nil before the first.
func (h *Holder) Current() *InForce { return h.current.Load() }

// Snapshot returns the snapshot in force, or nil before the first.
func (h *Holder) Snapshot() *Snapshot {
	if c := h.current.Load(); c != nil {
		return c.Snapshot
	}
	return nil
}

// Generation returns the generation in force, 0 before the first.
func (h *Holder) Generation() uint64 {
	if c := h.current.Load(); c != nil {
		return c.Snapshot.Head.Generation
	}
	return 0
}

// Offer (spec: VM) puts the snapshot in force if its generation is above the current one and tells whether it did.
func (h *Holder) Offer(snapshot *Snapshot) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snapshot.Head.Generation <= h.Generation() {
		return false, nil
	}
	rules, err := h.parse(snapshot)
	if err != nil {
		return false, trace.Wrap(err, "generation %d", snapshot.Head.Generation)
	}
	next := &InForce{Snapshot: snapshot, Rules: rules}
	h.current.Store(next)
	if h.OnChange != nil {
		h.OnChange(next)
	}
	return true, nil
}

// parse carries the rules in force over to the snapshot if its head tells what changed, and reads all lines if not.
func (h *Holder) parse(snapshot *Snapshot) (*radishrule.RuleSet, error) {
	current := h.current.Load()
	if current == nil {
		return h.parser.Parse(snapshot.Lines)
	}
	deltas, ok := snapshot.Head.deltasAfter(current.Snapshot.Head.Generation)
	if !ok {
		return h.parser.Parse(snapshot.Lines)
	}
	rules := current.Rules
	for _, d := range deltas {
		next, err := h.parser.Advance(rules, d.Removed, d.Added, snapshot.Lines)
		if err != nil {
			return h.parser.Parse(snapshot.Lines)
		}
		rules = next
	}
	return rules, nil
}

// EncodeFor returns what a peer at the generation lacks: the head alone when its deltas reach back that far, the
// whole snapshot otherwise, and nil when the peer has all that this VM has.
func (h *Holder) EncodeFor(generation uint64) ([]byte, error) {
	snapshot := h.Snapshot()
	if snapshot == nil || snapshot.Head.Generation <= generation {
		return nil, nil
	}
	if deltas, ok := snapshot.Head.deltasAfter(generation); ok && generation > 0 {
		head := snapshot.Head
		head.Recent = deltas
		return json.Marshal(Snapshot{Head: head})
	}
	return json.Marshal(snapshot)
}

// OfferEncoded takes in what EncodeFor of a peer returned for this VM's generation.
func (h *Holder) OfferEncoded(raw []byte) (bool, error) {
	var received Snapshot
	if err := json.Unmarshal(raw, &received); err != nil {
		return false, trace.Wrap(err, "configuration of a peer")
	}
	if received.Lines != nil {
		return h.Offer(&received)
	}
	if received.Head.Generation <= h.Generation() {
		return false, nil
	}
	next, ok := AdvanceByDeltas(h.Snapshot(), received.Head)
	if !ok {
		return false, trace.BadParameter("generation %d of a peer needs one in between", received.Head.Generation)
	}
	return h.Offer(next)
}
