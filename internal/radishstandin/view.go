package radishstandin

import (
	"context"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// View is the platform as one VM sees it: the VM can be cut off on its own.
type View struct {
	Platform radish.Platform

	cut   atomic.Bool
	delay atomic.Int64
}

var _ radish.Platform = (*View)(nil)

// SetCut cuts the VM off from the platform or connects it again. An update whose answer is on its way is lost.
func (v *View) SetCut(cut bool) { v.cut.Store(cut) }

// SetDelay holds every call of the VM back for d before it goes out, as if the VM were frozen at that point.
func (v *View) SetDelay(d time.Duration) { v.delay.Store(int64(d)) }

func (v *View) check() error {
	if d := v.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if v.cut.Load() {
		return radish.ErrUnavailable
	}
	return nil
}

// Get implements radish.Platform.
func (v *View) Get(ctx context.Context, key string) (radish.Object, error) {
	if err := v.check(); err != nil {
		return radish.Object{}, err
	}
	return v.Platform.Get(ctx, key)
}

// Put implements radish.Platform.
func (v *View) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if err := v.check(); err != nil {
		return 0, err
	}
	version, err := v.Platform.Put(ctx, key, value, ifVersion)
	if v.cut.Load() {
		return 0, radish.ErrAmbiguous
	}
	return version, err
}

// Delete implements radish.Platform.
func (v *View) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := v.check(); err != nil {
		return err
	}
	return v.Platform.Delete(ctx, key, ifVersion)
}

// Watch implements radish.Platform.
func (v *View) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (radish.Object, error) {
	if err := v.check(); err != nil {
		return radish.Object{}, err
	}
	obj, err := v.Platform.Watch(ctx, key, after, wait)
	if v.cut.Load() {
		return radish.Object{}, radish.ErrUnavailable
	}
	return obj, err
}

// List implements radish.Platform.
func (v *View) List(ctx context.Context, prefix string) ([]string, error) {
	if err := v.check(); err != nil {
		return nil, err
	}
	return v.Platform.List(ctx, prefix)
}

// VMs implements radish.Platform.
func (v *View) VMs(ctx context.Context) ([]radish.VM, error) {
	if err := v.check(); err != nil {
		return nil, err
	}
	return v.Platform.VMs(ctx)
}
