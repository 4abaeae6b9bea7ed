package radishstandin

import (
	"context"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// View is the client by which one VM accesses the platform. It can be disconnected without affecting other VMs.
type View struct {
	Platform radish.Platform

	disconnected atomic.Bool
	delay        atomic.Int64
}

var _ radish.Platform = (*View)(nil)

// SetCut sets whether the VM is disconnected from the platform. The response to a Put in flight is lost: the Put
// returns ErrAmbiguous.
func (v *View) SetCut(disconnected bool) { v.disconnected.Store(disconnected) }

// SetDelay delays each call of the VM by d before it is sent, as if the VM had been suspended at that point.
func (v *View) SetDelay(d time.Duration) { v.delay.Store(int64(d)) }

// beforeCall delays a call and returns ErrUnavailable if the VM is disconnected.
func (v *View) beforeCall() error {
	if d := v.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if v.disconnected.Load() {
		return radish.ErrUnavailable
	}
	return nil
}

// Get implements radish.Platform.
func (v *View) Get(ctx context.Context, key string) (radish.Object, error) {
	if err := v.beforeCall(); err != nil {
		return radish.Object{}, err
	}
	return v.Platform.Get(ctx, key)
}

// Put implements radish.Platform.
func (v *View) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if err := v.beforeCall(); err != nil {
		return 0, err
	}
	version, err := v.Platform.Put(ctx, key, value, ifVersion)
	if v.disconnected.Load() {
		return 0, radish.ErrAmbiguous
	}
	return version, err
}

// Delete implements radish.Platform.
func (v *View) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := v.beforeCall(); err != nil {
		return err
	}
	return v.Platform.Delete(ctx, key, ifVersion)
}

// Watch implements radish.Platform.
func (v *View) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (radish.Object, error) {
	if err := v.beforeCall(); err != nil {
		return radish.Object{}, err
	}
	obj, err := v.Platform.Watch(ctx, key, after, wait)
	if v.disconnected.Load() {
		return radish.Object{}, radish.ErrUnavailable
	}
	return obj, err
}

// List implements radish.Platform.
func (v *View) List(ctx context.Context, prefix string) ([]string, error) {
	if err := v.beforeCall(); err != nil {
		return nil, err
	}
	return v.Platform.List(ctx, prefix)
}

// VMs implements radish.Platform.
func (v *View) VMs(ctx context.Context) ([]radish.VM, error) {
	if err := v.beforeCall(); err != nil {
		return nil, err
	}
	return v.Platform.VMs(ctx)
}
