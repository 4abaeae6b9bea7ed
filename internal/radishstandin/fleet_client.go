package radishstandin

import (
	"context"
	"fmt"

	"radishramp.example/radishramp/pkg/radish"
)

// FleetClient is the client by which one VM calls the targets of a fleet. A network partition between the VM and
// a target also blocks these calls.
type FleetClient struct {
	Fleet   *Fleet
	Network *Network
	// VMAddress is the address of the VM that makes the calls.
	VMAddress string
}

var _ radish.TargetClient = (*FleetClient)(nil)

// Do implements radish.TargetClient. A call during which a partition begins still runs at the target, but its response
// is lost.
func (c *FleetClient) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	if c.isPartitioned(a.Target) {
		return nil, radish.ErrNotSent
	}
	response, err := c.Fleet.Do(ctx, a)
	if c.isPartitioned(a.Target) {
		return nil, fmt.Errorf("%w: connection reset", radish.ErrTargetFailed)
	}
	return response, err
}

// Load implements radish.TargetClient.
func (c *FleetClient) Load(ctx context.Context, target radish.Target) (radish.LoadReport, error) {
	if c.isPartitioned(target) {
		return radish.LoadReport{}, radish.ErrUnavailable
	}
	return c.Fleet.Load(ctx, target)
}

// isPartitioned reports whether a partition separates the VM from the target. Addresses of targets, like those of VMs,
// begin with the name of the data centre.
func (c *FleetClient) isPartitioned(target radish.Target) bool {
	return c.Network.IsPartitioned(c.VMAddress, target.DataCentre+"-"+target.Name)
}
