package radishsite

import (
	"context"

	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// Reports on targets are what VMs tell each other about targets beside the store's records: crashes, and announcements that a target
// leaves. They only grow until they expire, so that VMs may exchange them in any order.

// shareReports notifies peers of new reports on targets.
func (p *peerManager) shareReports() {
	p.hasNewReports.Store(true)
	p.scheduleGossip()
}

// addReports adds this VM's reports on targets to a heartbeat.
func (p *peerManager) addReports(h *radishpeerpb.SiteHeartbeat) {
	h.Crashes = p.encodeCrashes()
	h.LeavingTargets = p.encodeLeaving()
}

// differInReports reports whether the senders of two heartbeats have different reports on targets.
func differInReports(a, b *radishpeerpb.SiteHeartbeat) bool {
	return a.GetCrashesDigest() != b.GetCrashesDigest() || a.GetLeavingTargetsDigest() != b.GetLeavingTargetsDigest()
}

// sendReports sends this VM's reports on targets to one peer.
func (p *peerManager) sendReports(ctx context.Context, name string) {
	h := p.heartbeat()
	p.addReports(h)
	if _, err := p.node.Call(ctx, name, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: h}}); err != nil {
		p.log.Warn("cannot send reports on targets to peer", "peer", name, "error", err.Error())
	}
}
