package radish

import (
	"context"
	"time"
)

// MaxObjectBytes is the largest value, in bytes, that the platform's object API accepts.
const MaxObjectBytes = 1 << 20

// Object is a versioned value of the platform's object API; version 0 means that it does not exist.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Platform is the platform's object API together with its lagging list of VMs.
type Platform interface {
	// Get returns the object or ErrNotFound; ErrUnavailable when the platform does not answer.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes the value if the object's version is ifVersion (0: must not exist) and returns the new version;
	// ErrConflict when it is not, ErrUnavailable when nothing was written, ErrAmbiguous when that is unknown.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// Delete removes the object if its version is ifVersion, with the errors of Put.
	Delete(ctx context.Context, key string, ifVersion uint64) error
	// Watch returns the object once its version is above after, or ErrNotFound when wait passes first.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error)
	// List returns the keys with the prefix in ascending order.
	List(ctx context.Context, prefix string) ([]string, error)
	// VMs returns the platform's list of live and leaving VMs, which lags behind the truth.
	VMs(ctx context.Context) ([]VM, error)
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// EntryService is the service name under which entry VMs stand in the platform's list.
const EntryService = "radishramp"

// VM is one entry of the platform's list: an entry VM (Service is EntryService) or a target.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Service    string  `json:"service"`
	State      VMState `json:"state"`
}
