package radish

import (
	"context"
	"time"
)

// MaxObjectBytes is the largest value, in bytes, that the platform's object API accepts.
const MaxObjectBytes = 1 << 20

// Object is a versioned value in the platform's object API; version 0 means that the object does not exist.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Platform is the platform's object API and its eventually consistent list of VMs.
type Platform interface {
	// Get returns the object, ErrNotFound if it does not exist, or ErrUnavailable if the platform does not respond.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version is ifVersion (0: the object must not exist) and returns the new
	// version. It returns [ErrConflict] if the version differs, [ErrUnavailable] if nothing was written, and
	// [ErrAmbiguous] if it is unknown whether the value was written.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the object if its version is ifVersion; it returns the same errors as Put.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Watch returns the object once its version is above after, or ErrNotFound if that does not happen within wait.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// List returns the keys with the prefix in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
	// VMs returns the platform's list of live and leaving VMs, which may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}

// VMState is the state of a VM in the platform's list of VMs.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// EntryService is the service name of entry VMs in the platform's list of VMs.
const EntryService = "radishramp"

// VM is an item of the platform's list of VMs: an entry VM if Service is EntryService, else a target.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Service    string  `json:"service"`
	State      VMState `json:"state"`
}
