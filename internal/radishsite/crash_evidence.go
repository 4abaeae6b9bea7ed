package radishsite

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/encoding/protojson"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishquarantine"
)

const (
	// crashRecordName is the name of the record with the evidence on crashes.
	crashRecordName = "crashes"
	// crashPollInterval is how often a VM compares its evidence with that of the store.
	crashPollInterval = 250 * time.Millisecond
	// crashWriteDelay is how long the evidence must differ from that of the store before it is written, since most suspected parts are
	// cleared at once. crashTakeover is how much longer the next VM waits.
	crashWriteDelay = 500 * time.Millisecond
	crashTakeover   = time.Second
	// crashWritePause is the time between two writes of one VM.
	crashWritePause = 2 * time.Second
)

// encodeCrashEvidence encodes the evidence for the store. Its ages are counted from the newest crash, since the clocks of VMs that read it
// later may have started anew.
func encodeCrashEvidence(crashes []radishquarantine.Crash) ([]byte, error) {
	var newest time.Time
	for _, c := range crashes {
		if c.At.After(newest) {
			newest = c.At
		}
	}
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(&radishpeerpb.CrashEvidence{Crashes: encodeCrashes(crashes, newest)})
}

// crashRecord returns the record with the evidence that the store has, as far as this VM knows; without a name if there is none.
func (p *peerManager) crashRecord() radish.Record {
	for _, r := range p.mirror.Records(radish.RecordCrashEvidence) {
		if r.Name == crashRecordName {
			return r
		}
	}
	return radish.Record{}
}

// decodeCrashRecord returns the evidence in the record. One that cannot be read contains none and is written anew.
func (p *peerManager) decodeCrashRecord(r radish.Record) []*radishpeerpb.TargetCrash {
	if r.Name == "" {
		return nil
	}
	var evidence radishpeerpb.CrashEvidence
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(r.Value, &evidence); err != nil {
		p.log.Warn("invalid evidence on crashes ignored", "revision", r.Revision.String(), "error", err.Error())
		return nil
	}
	return evidence.GetCrashes()
}

// mergeCrashRecord takes over the evidence of the store. The newest crash that this VM does not know counts as one that has just happened, so
// that all of them are remembered for their full time.
func (p *peerManager) mergeCrashRecord() {
	p.mergeCrashes(p.decodeCrashRecord(p.crashRecord()), "store")
}

// crashWriter keeps the evidence on prompts that crash targets in the store, so that it outlasts the VMs. One VM at a time writes; each write
// contains all that the VM knows, and the VMs take over from the store what they lack, so that no evidence is lost if two write.
type crashWriter struct {
	peers *peerManager
	store radish.RecordStore
	log   hclog.Logger

	// digest and revision are the evidence and the record that were compared last, and isStored is whether they were equal.
	digest   uint64
	revision radish.Revision
	isStored bool
	// differsSince is since when they have differed, the zero time if they do not.
	differsSince time.Time
	pausedUntil  time.Time
}

// Run writes until ctx ends.
func (w *crashWriter) Run(ctx context.Context) error {
	return radish.Every(ctx, crashPollInterval, func(now time.Time) { w.step(ctx, now) })
}

// step writes the evidence if the store needs it and it is the turn of this VM.
func (w *crashWriter) step(ctx context.Context, now time.Time) {
	if w.peers.mirror.CompleteRevision(radish.RecordCrashEvidence) == 0 {
		return
	}
	if w.compare(now); w.isStored {
		w.differsSince = time.Time{}
		return
	}
	if w.differsSince.IsZero() {
		w.differsSince = now
	}
	wait := crashWriteDelay + time.Duration(w.peers.writerRank(crashRecordName))*crashTakeover
	if now.Sub(w.differsSince) < wait || now.Before(w.pausedUntil) {
		return
	}
	w.write(ctx, w.peers.quarantine.Lasting(now))
	w.pausedUntil = time.Now().Add(crashWritePause)
}

// compare compares the evidence with the record of the store, if one of them has changed.
func (w *crashWriter) compare(now time.Time) {
	record, digest := w.peers.crashRecord(), w.peers.quarantine.Digest(now)
	if digest == w.digest && record.Revision == w.revision {
		w.isStored = w.isStored || digest == 0 && record.Name == ""
		return
	}
	w.digest, w.revision = digest, record.Revision
	stored := decodeCrashes(w.peers.decodeCrashRecord(record), now)
	w.isStored = radishquarantine.IsSameEvidence(w.peers.quarantine.Lasting(now), stored)
}

func (w *crashWriter) write(ctx context.Context, crashes []radishquarantine.Crash) {
	value, err := encodeCrashEvidence(crashes)
	if err == nil {
		err = w.store.Save(ctx, radish.RecordCrashEvidence, crashRecordName, value)
	}
	if err != nil {
		w.log.Warn("cannot write the evidence on crashes, retrying", "crashes", len(crashes), "error", err.Error())
		return
	}
	w.log.Info("evidence on crashes written", "crashes", len(crashes), "bytes", len(value))
}
