package radish

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone reports that changes since a revision can no longer be had, so that a list is needed.
var ErrHistoryGone = errors.New("history of the store is gone")

// RecordKind is a kind of record in the platform's store.
type RecordKind string

// Kinds of records.
const (
	RecordConfig     RecordKind = "config"
	RecordTarget     RecordKind = "target"
	RecordEvacuation RecordKind = "evacuation"
	RecordVM         RecordKind = "vm"
)

// RecordKinds lists all kinds of records that a VM follows.
var RecordKinds = []RecordKind{RecordConfig, RecordTarget, RecordEvacuation, RecordVM}

// Record is one object of the platform's store, undecoded.
type Record struct {
	Kind RecordKind
	Name string
	// Revision is the store's counter at the record's last change.
	Revision int64
	Removed  bool
	Value    []byte
}

// RecordStore is the platform's store of records.
type RecordStore interface {
	// List returns all records of the kind and the revision of the store at which they hold.
	List(ctx context.Context, kind RecordKind) ([]Record, int64, error)
	// Watch returns the changes after the revision, waiting for one up to the given time, and the revision to go on from;
	// ErrHistoryGone when a list is needed.
	Watch(ctx context.Context, kind RecordKind, after int64, wait time.Duration) ([]Record, int64, error)
	// Save writes a record of the system's own whatever it was before.
	Save(ctx context.Context, kind RecordKind, name string, value []byte) error
	// Drop removes a record of the system's own.
	Drop(ctx context.Context, kind RecordKind, name string) error
}

// VMRecord is what an entry VM tells of itself in the store.
type VMRecord struct {
	Name       string `json:"name"`
	Address    string `json:"peer_address"`
	DataCentre string `json:"data_centre"`
	// Incarnation tells two starts of the VM apart; it is random, since the time of day may jump.
	Incarnation int64 `json:"incarnation"`
	// Cores is how much of a processor the VM may use; 0 when it is not known.
	Cores float64 `json:"cores,omitempty"`
}
