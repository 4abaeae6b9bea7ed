package radishsite

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radishfleet"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// TestReplayAllLinksReset resets all connections between twelve VMs at once, as a network does that loses its state: no
// VM takes itself for the coordinator meanwhile, and a call that begins then is answered once the links are back.
func TestReplayAllLinksReset(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := &pipes{listeners: make(map[string]chan net.Conn)}
		vms := startPeersOn(t, network, 12)
		owner := vms[0].owners(0, 1)[0]
		network.reset()
		asked := make(chan error, 1)
		caller := vms[slices.IndexFunc(vms, func(p *testVM) bool { return p.self.Name != owner })]
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			time.Sleep(time.Millisecond)
			_, err := caller.node.Call(ctx, owner, &radishpeerpb.Request{Body: &radishpeerpb.Request_Site{Site: caller.heartbeat()}})
			asked <- err
		}()
		for range 100 {
			time.Sleep(5 * time.Millisecond)
			for _, p := range vms {
				if first := p.owners(0, 1)[0]; first != owner {
					t.Fatalf("%s takes %s for the coordinator, not %s", p.self.Name, first, owner)
				}
			}
		}
		if err := <-asked; err != nil {
			t.Error(err)
		}
	})
}

// TestReplayEndedVMIsLeft ends a VM without a word: the others count on it for no more than half a second.
func TestReplayEndedVMIsLeft(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := &pipes{listeners: make(map[string]chan net.Conn)}
		vms := startPeersOn(t, network, 4)
		owner := vms[0].owners(0, 1)[0]
		network.remove(owner)
		time.Sleep(500 * time.Millisecond)
		for _, p := range vms {
			if first := p.owners(0, 1)[0]; p.self.Name != owner && first == owner {
				t.Errorf("%s still takes the ended VM for the coordinator", p.self.Name)
			}
		}
	})
}

// TestReplayAllVMsStart starts sixteen VMs within 1.2 s, as after a loss of power: each counts on the VM that the list
// of all names as coordinator, and not on whichever it has reached first.
func TestReplayAllVMsStart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const n, within = 16, 1200 * time.Millisecond
		network := &pipes{listeners: make(map[string]chan net.Conn)}
		vms := newListedPeers(t, network, n)
		cores := make(map[string]float64)
		var listeners []chan net.Conn
		for _, p := range vms {
			cores[p.self.Name] = 0
			listeners = append(listeners, network.remove(p.self.Name))
		}
		owner := radishfleet.Coordinators(cores, "stages/0/1", 1)[0]
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i, p := range vms {
			wg.Go(func() {
				time.Sleep(within * time.Duration(i) / n)
				network.restore(p.self.Name, listeners[i])
				wg.Go(func() { _ = p.node.Run(ctx) })
				time.Sleep(time.Millisecond)
				p.update()
				for range 100 {
					if first := p.owners(0, 1)[0]; first != owner {
						t.Errorf("%s takes %s for the coordinator, not %s", p.self.Name, first, owner)
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * within)
		cancel()
		wg.Wait()
	})
}

// TestReplayOneConnectionAPair starts 24 VMs at once and resets all their connections later: both times nearly all pairs
// open one connection, since each costs a small VM processor time when it has the least of it.
func TestReplayOneConnectionAPair(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		const n, pairs = 24, 24 * 23 / 2
		network := &pipes{listeners: make(map[string]chan net.Conn)}
		vms := startPeersOn(t, network, n)
		check := func(when string) {
			if opened := network.opened(); opened > pairs*5/4 {
				t.Errorf("%s: %d connections for %d pairs", when, opened, pairs)
			}
			for _, p := range vms {
				if linked := len(p.node.Linked()); linked != n-1 {
					t.Errorf("%s: %s has links to %d VMs, want %d", when, p.self.Name, linked, n-1)
				}
			}
		}
		check("start")
		network.reset()
		time.Sleep(time.Second)
		check("reset")
	})
}
