package radishconfig

import (
	"encoding/json"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"radishramp.example/radishramp/pkg/radishrule"
)

// ActiveConfig is the configuration that this VM uses.
type ActiveConfig struct {
	Snapshot *Snapshot
	Rules    *radishrule.RuleSet
}

// Holder keeps the newest configuration that the VM has received. The zero value is ready to use and empty.
type Holder struct {
	// OnChange, if not nil, is called in order of generation after a newer configuration became active.
	OnChange func(*ActiveConfig)

	mu      sync.Mutex
	parser  radishrule.Parser
	current atomic.Pointer[ActiveConfig]
}

// Current returns the active configuration, or nil if there is none yet.
func (h *Holder) Current() *ActiveConfig { return h.current.Load() }

// Snapshot returns the snapshot of the active configuration, or nil if there is none yet.
func (h *Holder) Snapshot() *Snapshot {
	if c := h.current.Load(); c != nil {
		return c.Snapshot
	}
	return nil
}

// Generation returns the generation of the active configuration, or 0 if there is none yet.
func (h *Holder) Generation() uint64 {
	if c := h.current.Load(); c != nil {
		return c.Snapshot.Head.Generation
	}
	return 0
}

// UpdateIfNewer makes the snapshot active if its generation is above the current one, and reports whether it did.
// Process VM in spec/config.pml models it.
func (h *Holder) UpdateIfNewer(snapshot *Snapshot) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if snapshot.Head.Generation <= h.Generation() {
		return false, nil
	}
	rules, err := h.parse(snapshot)
	if err != nil {
		return false, trace.Wrap(err, "generation %d", snapshot.Head.Generation)
	}
	next := &ActiveConfig{Snapshot: snapshot, Rules: rules}
	h.current.Store(next)
	if h.OnChange != nil {
		h.OnChange(next)
	}
	return true, nil
}

// parse returns the rules of the snapshot. It applies the changes since the active configuration to the active rules
// if the snapshot's head still carries them, and parses all lines otherwise.
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

// EncodeSince returns an encoded update for a peer at the generation: only the head if its recent changes reach back
// that far, the whole snapshot otherwise, and nil if this VM has no newer configuration than the peer.
func (h *Holder) EncodeSince(generation uint64) ([]byte, error) {
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

// UpdateFromPeer decodes an update that a peer encoded for this VM's generation and makes it active if it is newer.
// It reports whether it did.
func (h *Holder) UpdateFromPeer(raw []byte) (bool, error) {
	var received Snapshot
	if err := json.Unmarshal(raw, &received); err != nil {
		return false, trace.Wrap(err, "decode configuration from peer")
	}
	if received.Lines != nil {
		return h.UpdateIfNewer(&received)
	}
	if received.Head.Generation <= h.Generation() {
		return false, nil
	}
	next, ok := AdvanceByDeltas(h.Snapshot(), received.Head)
	if !ok {
		return false, trace.BadParameter("cannot advance to generation %d from peer: intermediate changes are missing", received.Head.Generation)
	}
	return h.UpdateIfNewer(next)
}
