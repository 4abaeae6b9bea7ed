package radishsite

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// testVM is one VM with the switch that makes it leave.
type testVM struct {
	*peers
	closed *atomic.Bool
}

// newPeers makes one VM that knows nothing yet.
func newPeers(network *pipes, name string, seeds func() []string) *testVM {
	b, closed := newBeliefs(), &atomic.Bool{}
	p := &peers{
		self: radish.VMRecord{Name: name, Address: name + ":1", DataCentre: "a", Incarnation: 1}, mirror: b.mirror, beliefs: b, seeds: seeds,
		log: hclog.NewNullLogger(), news: make(chan struct{}, 1), isClosed: closed.Load,
	}
	listener := network.listen(p.self.Address)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := network.dial(ctx, name+":1", address)
		if err != nil {
			return nil, err
		}
		return network.throttle(conn, listener.link), nil
	}
	p.node = &radishpeer.Node{Name: name, Listener: listener, Handler: p, Dial: dial, Log: hclog.NewNullLogger()}
	return &testVM{peers: p, closed: closed}
}

// startPeers runs n VMs that know each other from the store's records.
func startPeers(t *testing.T, n int) []*testVM {
	return startPeersOn(t, &pipes{listeners: make(map[string]chan net.Conn)}, n)
}

// newListedPeers makes n VMs, none of which runs, that know each other from the store's records.
func newListedPeers(t *testing.T, network *pipes, n int) []*testVM {
	var records []radish.Record
	var vms []*testVM
	for i := range n {
		p := newPeers(network, fmt.Sprint("vm-", i), func() []string { return nil })
		value, err := json.Marshal(p.self)
		if err != nil {
			t.Fatal(err)
		}
		records = append(records, radish.Record{Kind: radish.RecordVM, Name: p.self.Name, Revision: int64(i + 1), Value: value})
		vms = append(vms, p)
	}
	for _, p := range vms {
		p.mirror.ApplyUpTo(radish.RecordVM, records, int64(n))
	}
	return vms
}

func startPeersOn(t *testing.T, network *pipes, n int) []*testVM {
	vms := newListedPeers(t, network, n)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, p := range vms {
		wg.Go(func() { _ = p.node.Run(ctx) })
		wg.Go(func() { _ = p.Run(ctx) })
		synctest.Wait()
		p.update()
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
		// What is on its way over a thin link ends a little later.
		time.Sleep(time.Second)
	})
	time.Sleep(time.Second)
	return vms
}

// inBubble runs the test in paused time; yamux keeps timers in a pool that outlives bubbles.
func inBubble(t *testing.T, f func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, f)
}

// TestNewsReachVMsThatTheStoreTurnsAway tells one VM of a configuration: the others have it within a part of the two
// seconds in which it must be in force.
func TestNewsReachVMsThatTheStoreTurnsAway(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startPeers(t, 12)
		news := vms[0].mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "main", Revision: 70}}, 70)
		vms[0].takeNews(news, "store")
		time.Sleep(1500 * time.Millisecond)
		for _, p := range vms {
			if cfg := p.beliefs.config.Load(); cfg == nil || cfg.Version != 70 {
				t.Errorf("%s has not heard of the configuration", p.self.Name)
			}
		}
	})
}

// TestReplayLargeConfigurationOverThinLinks tells one VM of a configuration of 1,250 routes, as on a day on which routes are added
// while the store turns VMs away. VMs with 10 Mbit/s have all of it within the three seconds in which it must be in force, and no link
// breaks.
func TestReplayLargeConfigurationOverThinLinks(t *testing.T) {
	const inForce = 3 * time.Second
	inBubble(t, func(t *testing.T) {
		network := &pipes{listeners: make(map[string]chan net.Conn), bytesPerSecond: 10_000_000 / 8}
		vms := startPeersOn(t, network, 24)
		var routes []string
		for n := range 1250 {
			routes = append(routes, fmt.Sprintf(`{"name":"r-%x","host":"%x.example","path_prefix":"/%x/%x/","service":"s-%d","kind":"safe","timeout_ms":%d,`+
				`"target_latency_ms":120,"max_attempts":2,"priority":2,"gap_aim_ms":500,"resumable":false,"stages":[]}`, n*7919, n%40, n*104729, n*1299709, n%5, 800+n))
		}
		value, err := json.Marshal(routes)
		if err != nil {
			t.Fatal(err)
		}
		news := vms[0].mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "main", Revision: 70, Value: value}}, 70)
		vms[0].takeNews(news, "store")
		time.Sleep(inForce)
		for _, p := range vms {
			if cfg := p.beliefs.config.Load(); cfg == nil || cfg.Version != 70 {
				t.Errorf("%s has not heard of the configuration of %d bytes", p.self.Name, len(value))
				continue
			}
			if records := p.mirror.Records(radish.RecordConfig); string(records[0].Value) != string(value) {
				t.Errorf("%s has another configuration", p.self.Name)
			}
			if n := len(p.node.Linked()); n != len(vms)-1 {
				t.Errorf("%s has links to %d VMs, want %d", p.self.Name, n, len(vms)-1)
			}
		}
	})
}

func TestAllVMsNameOneCoordinator(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startPeers(t, 6)
		first := vms[0].owners(0, 1)[0]
		for _, p := range vms {
			if got := p.owners(0, 1)[0]; got != first {
				t.Errorf("%s names %s, others %s", p.self.Name, got, first)
			}
		}
		checkers := 0
		for _, p := range vms {
			if p.isChecker(radish.RecordConfig) {
				checkers++
			}
		}
		if checkers != 2 {
			t.Errorf("%d VMs check the configuration, want 2", checkers)
		}
	})
}

func TestLeavingVMIsNoCoordinator(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startPeers(t, 4)
		first := vms[0].owners(0, 1)[0]
		for _, p := range vms {
			if p.self.Name == first {
				p.closed.Store(true)
				p.tellLeaving(t.Context())
			}
		}
		for _, p := range vms {
			if got := p.owners(0, 1)[0]; got == first {
				t.Errorf("%s still names %s, which leaves", p.self.Name, got)
			}
		}
	})
}

// TestVMThatStartsAgainIsGivenWork has a VM leave and start again with a smaller incarnation, as after a jump of the
// time of day.
func TestVMThatStartsAgainIsGivenWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startPeers(t, 2)
		again := vms[1].self
		vms[0].hear(&radishpeerpb.SiteHeartbeat{Vm: again.Name, Leaving: true, Incarnation: 9})
		again.Incarnation = 4
		value, err := json.Marshal(again)
		if err != nil {
			t.Fatal(err)
		}
		vms[0].takeNews(vms[0].mirror.Apply([]radish.Record{{Kind: radish.RecordVM, Name: again.Name, Revision: 50, Value: value}}), "store")
		if names := vms[0].reachable(); !slices.Contains(names, again.Name) {
			t.Errorf("only %v are given work", names)
		}
	})
}

func TestVMThatTheStoreTurnsAwayIsNoChecker(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		vms := startPeers(t, 5)
		var away *testVM
		for _, p := range vms {
			if p.isChecker(radish.RecordTarget) {
				away = p
				break
			}
		}
		away.beliefs.reach(false)
		time.Sleep(5 * time.Second)
		checkers := 0
		for _, p := range vms {
			if p != away && p.isChecker(radish.RecordTarget) {
				checkers++
			}
		}
		if checkers != 2 {
			t.Errorf("%d other VMs check the targets, want 2", checkers)
		}
	})
}

// TestVMThatStartsInAnOutageLearnsFromASeed starts a VM that knows no more than the address of another one.
func TestVMThatStartsInAnOutageLearnsFromASeed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		network := &pipes{listeners: make(map[string]chan net.Conn)}
		vms := startPeersOn(t, network, 3)
		news := vms[0].mirror.ApplyUpTo(radish.RecordConfig, []radish.Record{{Kind: radish.RecordConfig, Name: "main", Revision: 70}}, 70)
		vms[0].takeNews(news, "store")
		late := newPeers(network, "late", func() []string { return []string{"vm-1:1"} })
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = late.node.Run(ctx) })
		wg.Go(func() { _ = late.Run(ctx) })
		synctest.Wait()
		late.update()
		time.Sleep(3 * time.Second)
		if cfg := late.beliefs.config.Load(); cfg == nil || cfg.Version != 70 {
			t.Error("the late VM has no configuration")
		}
		if n := late.count(); n != 4 {
			t.Errorf("the late VM knows %d VMs, want 4", n)
		}
		cancel()
		wg.Wait()
	})
}
