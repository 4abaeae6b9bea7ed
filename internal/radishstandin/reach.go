package radishstandin

import (
	"context"
	"fmt"

	"radishramp.example/radishramp/pkg/radish"
)

// Reach is the fleet as one VM sees it over the network: a cut between them also cuts the VM's calls to targets.
type Reach struct {
	Fleet   *Fleet
	Network *Network
	// From is the VM's address.
	From string
}

var _ radish.TargetClient = (*Reach)(nil)

// Do implements radish.TargetClient; a call that a cut overtakes runs, but its answer is lost.
func (r *Reach) Do(ctx context.Context, a *radish.Attempt) (*radish.Response, error) {
	if r.isCut(a.Target) {
		return nil, radish.ErrNotSent
	}
	answer, err := r.Fleet.Do(ctx, a)
	if r.isCut(a.Target) {
		return nil, fmt.Errorf("%w: connection reset", radish.ErrTargetFailed)
	}
	return answer, err
}

// Load implements radish.TargetClient.
func (r *Reach) Load(ctx context.Context, target radish.Target) (radish.LoadReport, error) {
	if r.isCut(target) {
		return radish.LoadReport{}, radish.ErrUnavailable
	}
	return r.Fleet.Load(ctx, target)
}

// isCut tells whether the network keeps the VM and the target apart; a target's address begins, as a VM's does, with
// the name of its data centre.
func (r *Reach) isCut(target radish.Target) bool {
	return r.Network.IsBlocked(r.From, target.DataCentre+"-"+target.Name)
}
