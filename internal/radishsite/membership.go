package radishsite

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// saveRetryInterval is the average pause before the VM's own record is saved again after a failure.
	saveRetryInterval = 500 * time.Millisecond
	// vmListTimeout is how long a VM that starts waits for the list of VMs before it saves its record, and vmListPollInterval how often it
	// looks.
	vmListTimeout      = time.Second
	vmListPollInterval = 20 * time.Millisecond
	// vmListDelay is how long it may take until all VMs know of a VM that joins.
	vmListDelay = 3 * time.Second
	// joinedSpread spreads the writes of VMs that have joined at the same time.
	joinedSpread = time.Second
	// rewriteSpread spreads the writes of VMs whose records the store has lost at the same time.
	rewriteSpread = 2 * time.Second
	// shareWindow is the second to which a limit per second applies, and the time that calls spend in transit.
	shareWindow = 1200 * time.Millisecond
)

// membership is since when this VM may use its share of a limit that applies to all VMs together. What the VM's last process sent is not
// known to this one, and the others divide the limit by a smaller number until they know of a VM that joins.
type membership struct {
	// startedAt is when this process started.
	startedAt time.Time

	mu sync.Mutex
	// isKnown is whether the other VMs have known of this one since before the process started.
	isKnown bool
	// savedAt is when the record of a VM that joins was saved, the zero time before that.
	savedAt time.Time
}

// holdsShare reports whether the VM may use its share of the limits per second.
func (m *membership) holdsShare(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.startedAt) < shareWindow {
		return false
	}
	return m.isKnown || !m.savedAt.IsZero() && now.Sub(m.savedAt) >= vmListDelay+shareWindow
}

func (m *membership) setKnown() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isKnown = true
}

func (m *membership) setSaved(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.savedAt = at
}

// publishVMRecord saves the VM's own record in the store, where the other VMs discover it. A VM that the list of VMs lacks joins, and its record
// says so. If it starts again, it cannot know whether all others have learned of it, and joins once more; then its record says that it has joined.
func (s *Server) publishVMRecord(ctx context.Context) error {
	earlier, isListed := s.peers.awaitOwnRecord(ctx)
	record, era := s.peers.self, s.peers.mirror.Era()
	record.Joining = !isListed || earlier.Joining
	if !record.Joining {
		s.membership.setKnown()
	}
	if err := s.saveVMRecord(ctx, record); err != nil {
		return err
	}
	if record.Joining {
		s.membership.setSaved(time.Now())
	}
	if isListed && record.Joining {
		if !radish.Sleep(ctx, vmListDelay+shareWindow+rand.N(joinedSpread)) {
			return ctx.Err()
		}
		record.Joining, era = false, s.peers.mirror.Era()
		if err := s.saveVMRecord(ctx, record); err != nil {
			return err
		}
	}
	return s.keepVMRecord(ctx, record, era)
}

// keepVMRecord saves the record, which was saved in the era, again whenever the store has lost it.
func (s *Server) keepVMRecord(ctx context.Context, record radish.VMRecord, era radish.Era) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	for radish.Sleep(ctx, eraPollInterval) {
		listed := s.peers.mirror.CompleteRevision(radish.RecordVM).Era()
		if listed <= era {
			continue
		}
		// The writes of all VMs are spread, as the store limits their rate.
		if !s.isStored(record.Name, value, listed) && radish.Sleep(ctx, rand.N(rewriteSpread)) && !s.isStored(record.Name, value, listed) {
			s.Log.Info("store has lost this VM's record, saving it again", "era", int64(listed))
			if err := s.saveVMRecord(ctx, record); err != nil {
				return err
			}
		}
		era = listed
	}
	return ctx.Err()
}

// isStored reports whether the store has the value as the VM's record in the era, as far as this VM knows.
func (s *Server) isStored(name string, value []byte, era radish.Era) bool {
	r, ok := s.peers.mirror.Record(radish.RecordVM, name)
	return ok && !r.Removed && r.Revision.Era() >= era && bytes.Equal(r.Value, value)
}

// saveVMRecord saves the record and tries again until it succeeds or ctx ends.
func (s *Server) saveVMRecord(ctx context.Context, record radish.VMRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	for {
		err := s.Store.Save(ctx, radish.RecordVM, record.Name, value)
		if err == nil {
			s.Log.Info("VM record saved", "joining", record.Joining)
			return nil
		}
		s.Log.Warn("cannot save this VM's record, retrying", "error", err.Error())
		if !radish.Sleep(ctx, saveRetryInterval/2+rand.N(saveRetryInterval)) {
			return ctx.Err()
		}
	}
}

// awaitOwnRecord waits for the list of VMs and returns this VM's record in it; ok is false if there is none, or no list in time.
func (p *peerManager) awaitOwnRecord(ctx context.Context) (vm radish.VMRecord, ok bool) {
	for deadline := time.Now().Add(vmListTimeout); !p.hasVMList() && time.Now().Before(deadline); {
		if !radish.Sleep(ctx, vmListPollInterval) {
			return radish.VMRecord{}, false
		}
	}
	r, ok := p.mirror.Record(radish.RecordVM, p.self.Name)
	if !ok || r.Removed || json.Unmarshal(r.Value, &vm) != nil {
		return radish.VMRecord{}, false
	}
	return vm, true
}
