package radishsite

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// eraPollInterval is how often a VM looks for records of an earlier era of the store that it has to settle or to write.
	eraPollInterval = 250 * time.Millisecond
	// settleDelay is how long records that the store has lost stay in use, so that the operator and the targets can write them again.
	settleDelay = 2500 * time.Millisecond
	// vmSettleDelay is the same for the records of VMs. Each VM writes its own; after lostVMDelay, other VMs write those that are still missing, one
	// VM after the other with lostVMTakeover between them.
	vmSettleDelay  = 15 * time.Second
	lostVMDelay    = 4 * time.Second
	lostVMTakeover = time.Second
	// lostVMPause is the pause between two of these writes.
	lostVMPause = 20 * time.Millisecond
)

// ObserveEra implements radish.EraObserver.
func (s *Server) ObserveEra(era radish.Era) {
	s.mirror.ObserveEra(era)
}

// ObserveInvalidEra implements radish.EraObserver.
func (s *Server) ObserveInvalidEra(value string) {
	if s.invalidEras.Add(1) == 1 {
		s.Log.Warn("store reports an invalid era, ignored", "store_era", value, "era", int64(s.mirror.Era()))
	}
}

// eraKeeper completes the change to a new era of the store: it ends the use of records that the store has lost and that nobody has written
// again, and writes the records of VMs that cannot write them themselves.
type eraKeeper struct {
	peers *peerManager
	store radish.RecordStore
	log   hclog.Logger

	// newest is the newest revision of all kinds of records.
	newest radish.Revision
	// eras holds the progress of each kind of record.
	eras map[radish.RecordKind]*eraProgress
}

// eraProgress is the progress of one kind of record in the store's current era.
type eraProgress struct {
	era radish.Era
	// since is when the kind was listed in this era.
	since     time.Time
	isSettled bool
}

// Run settles records until ctx ends.
func (k *eraKeeper) Run(ctx context.Context) error {
	k.eras = make(map[radish.RecordKind]*eraProgress)
	return radish.Every(ctx, eraPollInterval, func(now time.Time) { k.step(ctx, now) })
}

func (k *eraKeeper) step(ctx context.Context, now time.Time) {
	for _, kind := range k.peers.recordKinds() {
		revision := k.peers.mirror.CompleteRevision(kind)
		if revision == 0 {
			continue
		}
		k.observe(revision)
		progress := k.eras[kind]
		if progress == nil || progress.era != revision.Era() {
			progress = &eraProgress{era: revision.Era(), since: now}
			k.eras[kind] = progress
		}
		if progress.isSettled {
			continue
		}
		if kind == radish.RecordVM {
			k.writeLostVMs(ctx, now.Sub(progress.since))
		}
		if now.Sub(progress.since) >= settleDelayOf(kind) {
			progress.isSettled = true
			k.settle(kind, revision)
		}
	}
}

func settleDelayOf(kind radish.RecordKind) time.Duration {
	if kind == radish.RecordVM {
		return vmSettleDelay
	}
	return settleDelay
}

// observe logs the first revision of a new era.
func (k *eraKeeper) observe(revision radish.Revision) {
	if k.newest != 0 && revision.Era() > k.newest.Era() {
		k.log.Warn("store came back from an older copy", "era", int64(revision.Era()), "previous_era", int64(k.newest.Era()),
			"revision", revision.Number(), "previous_revision", k.newest.Number())
	}
	k.newest = max(k.newest, revision)
}

func (k *eraKeeper) settle(kind radish.RecordKind, revision radish.Revision) {
	changed := k.peers.mirror.Settle(kind)
	if len(changed) == 0 {
		return
	}
	k.log.Info("records that the store has lost settled", "kind", string(kind), "revision", revision.String(), "records", len(changed))
	k.peers.applyChanges(changed, "settled")
}

// writeLostVMs writes the records of other VMs that the store has lost, once it is the turn of this VM.
func (k *eraKeeper) writeLostVMs(ctx context.Context, waited time.Duration) {
	if waited < lostVMDelay {
		return
	}
	lost := k.peers.mirror.Unsettled(radish.RecordVM)
	if len(lost) == 0 || waited < lostVMDelay+time.Duration(k.peers.writerRank("lost_vms"))*lostVMTakeover {
		return
	}
	for _, r := range lost {
		err := k.store.Create(ctx, r.Kind, r.Name, r.Value)
		if err != nil && !errors.Is(err, radish.ErrConflict) {
			k.log.Warn("cannot write the record of a VM that the store has lost", "lost_vm", r.Name, "error", err.Error())
			return
		}
		k.log.Info("record of a VM that the store has lost written again", "lost_vm", r.Name, "existed", err != nil)
		if !radish.Sleep(ctx, lostVMPause) {
			return
		}
	}
}
