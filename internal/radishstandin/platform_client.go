package radishstandin

import (
	"context"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// PlatformClient is the client by which one VM accesses the platform. It can be disconnected without an effect on
// other VMs.
type PlatformClient struct {
	Platform radish.Platform

	disconnected atomic.Bool
	delay        atomic.Int64
}

var _ radish.Platform = (*PlatformClient)(nil)

// SetDisconnected sets whether the VM is disconnected from the platform. The response to a Put in flight is lost:
// the Put returns ErrAmbiguous.
func (c *PlatformClient) SetDisconnected(disconnected bool) { c.disconnected.Store(disconnected) }

// SetDelay delays each call of the VM by d before it is sent, as if the VM had been suspended at that point.
func (c *PlatformClient) SetDelay(d time.Duration) { c.delay.Store(int64(d)) }

// beforeCall delays a call and returns ErrUnavailable if the VM is disconnected.
func (c *PlatformClient) beforeCall() error {
	if d := c.delay.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	if c.disconnected.Load() {
		return radish.ErrUnavailable
	}
	return nil
}

// Get implements radish.Platform.
func (c *PlatformClient) Get(ctx context.Context, key string) (radish.Object, error) {
	if err := c.beforeCall(); err != nil {
		return radish.Object{}, err
	}
	return c.Platform.Get(ctx, key)
}

// Put implements radish.Platform.
func (c *PlatformClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
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
func (c *PlatformClient) Delete(ctx context.Context, key string, ifVersion uint64) error {
	if err := c.beforeCall(); err != nil {
		return err
	}
	return c.Platform.Delete(ctx, key, ifVersion)
}

// Watch implements radish.Platform.
func (c *PlatformClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (radish.Object, error) {
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
func (c *PlatformClient) List(ctx context.Context, prefix string) ([]string, error) {
	if err := c.beforeCall(); err != nil {
		return nil, err
	}
	return c.Platform.List(ctx, prefix)
}

// VMs implements radish.Platform.
func (c *PlatformClient) VMs(ctx context.Context) ([]radish.VM, error) {
	if err := c.beforeCall(); err != nil {
		return nil, err
	}
	return c.Platform.VMs(ctx)
}
