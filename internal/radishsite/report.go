package radishsite

import (
	"context"
	"math"
	"time"

	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// Reports on targets are what VMs tell each other about targets beside the store's records: crashes, and announcements that a target
// leaves or is cold. They only grow until they expire, so that VMs may exchange them in any order.

// shareReports notifies peers of new reports on targets.
func (p *peerManager) shareReports() {
	p.hasNewReports.Store(true)
	p.scheduleGossip()
}

// addReports adds this VM's reports on targets to a heartbeat.
func (p *peerManager) addReports(h *radishpeerpb.SiteHeartbeat) {
	h.Crashes = encodeCrashes(p.quarantine.Crashes(), time.Now())
	h.LeavingTargets = p.encodeLeaving()
	h.ColdTargets = p.encodeCold()
	p.addPaces(h)
}

// differInReports reports whether the senders of two heartbeats have different reports on targets.
func differInReports(a, b *radishpeerpb.SiteHeartbeat) bool {
	return a.GetCrashesDigest() != b.GetCrashesDigest() || a.GetLeavingTargetsDigest() != b.GetLeavingTargetsDigest() ||
		a.GetPacesDigest() != b.GetPacesDigest() || a.GetColdTargetsDigest() != b.GetColdTargetsDigest()
}

// sendReports sends this VM's reports on targets to one peer.
func (p *peerManager) sendReports(ctx context.Context, name string) {
	h := p.heartbeat()
	p.addReports(h)
	if _, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: h}}); err != nil {
		p.log.Warn("cannot send reports on targets to peer", "peer", name, "error", err.Error())
	}
}

// pacesPerUnit is the resolution of paces in messages.
const pacesPerUnit = 100

// addPaces adds the usual paces of the targets to a heartbeat.
func (p *peerManager) addPaces(h *radishpeerpb.SiteHeartbeat) {
	for _, pace := range p.state.fleet.Paces() {
		h.PaceTargets = append(h.PaceTargets, pace.Key)
		h.Paces = append(h.Paces, uint32(math.Round(pacesPerUnit*pace.Pace)))
	}
}

// mergePaces takes over the usual paces that a peer knows.
func (p *peerManager) mergePaces(h *radishpeerpb.SiteHeartbeat) {
	n := min(len(h.GetPaceTargets()), len(h.GetPaces()))
	if n == 0 {
		return
	}
	paces := make([]radishfleet.TargetPace, n)
	for i := range paces {
		paces[i] = radishfleet.TargetPace{Key: h.GetPaceTargets()[i], Pace: float64(h.GetPaces()[i]) / pacesPerUnit}
	}
	p.state.fleet.MergePaces(paces)
}
