package radishstage

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// partitionedPeers simulates a network partition that drops packets: connections to all VMs but one stay open, and calls and pings
// over them get no response until the link is closed.
type partitionedPeers struct {
	alive  string
	remote *Router

	mu     sync.Mutex
	closed map[string]chan struct{}
}

func (p *partitionedPeers) link(name string) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed[name] == nil {
		p.closed[name] = make(chan struct{})
	}
	return p.closed[name]
}

func (p *partitionedPeers) wait(ctx context.Context, name string) error {
	select {
	case <-p.link(name):
		return radish.ErrUnavailable
	case <-ctx.Done():
		return radish.ErrPeerTimeout
	}
}

func (p *partitionedPeers) Call(ctx context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	if name != p.alive {
		return nil, p.wait(ctx, name)
	}
	return &radishpeerpb.Response{Body: &radishpeerpb.Response_Plan{Plan: p.remote.Serve(ctx, req.GetPlan())}}, nil
}

func (p *partitionedPeers) Ping(ctx context.Context, name string) error {
	if name != p.alive {
		return p.wait(ctx, name)
	}
	time.Sleep(time.Millisecond)
	return nil
}

func (p *partitionedPeers) CloseLink(name string) {
	link := p.link(name)
	select {
	case <-link:
	default:
		close(link)
	}
}

// TestReplayPartitionLeavesOneCoordinator guards against VMs that all coordinate for themselves after a partition: the data centre of
// the coordinator and of the VMs preferred after it is cut off, and their connections stay open. Plans must go to the first VM that is
// still there, the first one within 1.5 s and those after it at once.
func TestReplayPartitionLeavesOneCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(4)
		peers := &partitionedPeers{
			alive: "alive", closed: make(map[string]chan struct{}),
			remote: &Router{Self: "alive", Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger()},
		}
		owners := []string{"cut-1", "cut-2", "cut-3", "cut-4", "cut-5", "alive", "cut-6"}
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return owners }, Shards: func() int { return 1 }, Peers: peers, Log: hclog.NewNullLogger(),
			Local: func(int, int) *Coordinator {
				t.Error("this VM coordinates in addition to the one that is still there")
				return c
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		probeErr := make(chan error)
		go func() { probeErr <- r.ProbeSilentPeers(ctx) }()
		began := time.Now()
		var plans sync.WaitGroup
		for n := range 20 {
			plan := newPlan(fmt.Sprint("call-", n), 5*time.Second)
			plans.Go(func() {
				if _, err := r.Run(ctx, plan); err != nil {
					t.Error(err)
				}
			})
		}
		plans.Wait()
		if took := time.Since(began); took > 2500*time.Millisecond {
			t.Errorf("the plans at the time of the partition took %v", took)
		}
		began = time.Now()
		if _, err := r.Run(ctx, newPlan("later", 5*time.Second)); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("a plan after that took %v", took)
		}
		cancel()
		if err := <-probeErr; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}
