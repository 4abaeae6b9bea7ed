package radishstandin

import (
	"context"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// View is the client by which one VM accesses the platform. It can be disconnected without an effect on
// other VMs.
type View struct {
	Platform radish.Platform

	disconnected atomic.Bool
	delay        atomic.Int64
}

var _ radish.Platform = (*View)(nil)

// SetCut sets whether the VM is disconnected from the platform. The response to a Put in flight is lost:
// the Put returns ErrAmbiguous.
func (c *View) SetCut(disconnected bool) { c.disconnected.Store(disconnected) }

// SetDelay delays each call of the VM by d before it is sent, as if the VM had been suspended at that point.
func (c *View) SetDelay(d time.Duration) { c.delay.Store(int64(d)) }

// beforeCall delays a call and returns ErrUnavailable if the VM is disconnected.
func (c *View) beforeCall() error {
	if d := c.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if c.disconnected.Load() {
		return radish.ErrUnavailable
	}
	return nil
}

// Get implements radish.Platform.
func (c *View) Get(ctx context.Context, key string) (radish.Object, error) {
	if err := c.beforeCall(); err != nil {
		return radish.Object{}, err
	}
	return c.Platform.Get(ctx, key)
}

// Put implements radish.Platform.
func (c *View) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if err := c.beforeCall(); err != nil {
		return 0, err
	}
	version, err := c.Platform.Put(ctx, key, value, ifVersion)
	if c.disconnected.Load() {
		return 0, radish.ErrAmbiguous
	}
	return version, err
}

// Delete implements radish.Platform.
func (c *View) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := c.beforeCall(); err != nil {
		return err
	}
	return c.Platform.Delete(ctx, key, ifVersion)
}

// Watch implements radish.Platform.
func (c *View) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (radish.Object, error) {
	if err := c.beforeCall(); err != nil {
		return radish.Object{}, err
	}
	obj, err := c.Platform.Watch(ctx, key, after, wait)
	if c.disconnected.Load() {
		return radish.Object{}, radish.ErrUnavailable
	}
	return obj, err
}

// List implements radish.Platform.
func (c *View) List(ctx context.Context, prefix string) ([]string, error) {
	if err := c.beforeCall(); err != nil {
		return nil, err
	}
	return c.Platform.List(ctx, prefix)
}

// VMs implements radish.Platform.
func (c *View) VMs(ctx context.Context) ([]radish.VM, error) {
	if err := c.beforeCall(); err != nil {
		return nil, err
	}
	return c.Platform.VMs(ctx)
}
