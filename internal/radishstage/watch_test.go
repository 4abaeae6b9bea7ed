package radishstage

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// frozenPeers have stopped: their connections stay open, and calls and pings wait until the link is closed.
type frozenPeers struct {
	mu     sync.Mutex
	pings  int
	closed chan struct{}
}

func (f *frozenPeers) wait(ctx context.Context) error {
	select {
	case <-f.closed:
		return radish.ErrUnavailable
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *frozenPeers) Call(ctx context.Context, _ string, _ *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	return nil, f.wait(ctx)
}

func (f *frozenPeers) Ping(ctx context.Context, _ string) error {
	f.mu.Lock()
	f.pings++
	f.mu.Unlock()
	if err := f.wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return radish.ErrPeerTimeout
}

func (f *frozenPeers) CloseLink(string) { close(f.closed) }

// TestFrozenCoordinatorIsLeft freezes the VM that coordinates while a plan waits there: another VM runs the plan within
// a second and a half, while its caller still waits.
func TestFrozenCoordinatorIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		frozen := &frozenPeers{closed: make(chan struct{})}
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return []string{"frozen", "self"} }, Shards: func() int { return 1 },
			Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger(), Peers: frozen,
		}
		ctx, cancel := context.WithCancel(t.Context())
		watched := make(chan error)
		go func() { watched <- r.Watch(ctx) }()
		began := time.Now()
		ctxOfCall, cancelCall := context.WithTimeout(ctx, 10*time.Second)
		defer cancelCall()
		if _, err := r.Run(ctxOfCall, newPlan("call", 5*time.Second)); err != nil {
			t.Error(err)
		}
		if took := time.Since(began); took > 1500*time.Millisecond {
			t.Errorf("the plan took %v", took)
		}
		cancel()
		if err := <-watched; !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	})
}

// TestBusyCoordinatorIsNotProbed replays a coordinator at the worst load, from which answers come all the time: it gets
// no probe beyond its work, and neither does a VM of which nothing is asked.
func TestBusyCoordinatorIsNotProbed(t *testing.T) {
	now := time.Unix(0, 0)
	w := &watch{}
	w.begin("busy", now)
	for range 100 {
		now = now.Add(silenceTime / 2)
		w.begin("busy", now)
		if silent := w.silent(now); len(silent) > 0 {
			t.Fatalf("probed: %v", silent)
		}
		w.end("busy", now, true)
	}
	w.begin("idle", now)
	w.end("idle", now, true)
	now = now.Add(silenceTime)
	if silent := w.silent(now); !slices.Equal(silent, []string{"busy"}) {
		t.Fatalf("silent: %v, want the one of which a plan is asked", silent)
	}
	if silent := w.silent(now); len(silent) > 0 {
		t.Errorf("probed while another probe is under way: %v", silent)
	}
	w.probed("busy", now, true)
	if silent := w.silent(now.Add(silenceTime / 2)); len(silent) > 0 {
		t.Errorf("probed soon after an answer: %v", silent)
	}
}

// TestResetLinkDoesNotMoveThePlan resets the link while a plan waits at its coordinator: the same VM is asked again, and
// no other one coordinates beside it.
func TestResetLinkDoesNotMoveThePlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		remote := &Router{Self: "remote", Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger()}
		asked := 0
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return []string{"remote", "self"} }, Shards: func() int { return 1 },
			Local: func(int, int) *Coordinator {
				t.Error("this VM coordinates beside the other one")
				return c
			},
			Log: hclog.NewNullLogger(),
			Peers: fakePeers(func(_ string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
				if asked++; asked == 1 {
					return nil, fmt.Errorf("%w: %w", radish.ErrUnavailable, radish.ErrLinkReset)
				}
				return &radishpeerpb.Response{Body: &radishpeerpb.Response_Plan{Plan: remote.Serve(context.Background(), req.GetPlan())}}, nil
			}),
		}
		if _, err := r.Run(t.Context(), newPlan("call", 2*time.Second)); err != nil {
			t.Error(err)
		}
	})
}

// pingingPeers answer pings as told; nothing may close their links.
type pingingPeers struct {
	fakePeers
	t    *testing.T
	ping func() error
}

func (p *pingingPeers) Ping(context.Context, string) error { return p.ping() }

func (p *pingingPeers) CloseLink(name string) { p.t.Errorf("the link to %s was closed", name) }

// TestProbesThatTellNothing probes a coordinator that has not answered for a while over a link that is being dialled anew,
// and from a VM that stands still itself meanwhile: neither shows that the coordinator stands still.
func TestProbesThatTellNothing(t *testing.T) {
	for name, ping := range map[string]func() error{
		"link opened anew": func() error { return radish.ErrUnavailable },
		"this VM stood still": func() error {
			time.Sleep(4 * time.Second)
			return radish.ErrPeerTimeout
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := newCoordinator(2)
				asked := make(chan string, 8)
				r := &Router{
					Self: "self", Owners: func(int, int) []string { return []string{"first", "self"} }, Shards: func() int { return 1 },
					Local: func(int, int) *Coordinator {
						t.Error("this VM coordinates beside the other one")
						return c
					},
					Log: hclog.NewNullLogger(),
				}
				r.Peers = &pingingPeers{t: t, ping: ping, fakePeers: func(name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
					asked <- name
					time.Sleep(2 * time.Second)
					return &radishpeerpb.Response{Body: &radishpeerpb.Response_Plan{Plan: &radishpeerpb.PlanReply{
						Stages: make([]*radishpeerpb.StageResults, len(req.GetPlan().GetStages())),
					}}}, nil
				}}
				ctx, cancel := context.WithCancel(t.Context())
				watched := make(chan error)
				go func() { watched <- r.Watch(ctx) }()
				if _, err := r.Run(t.Context(), newPlan("call", 5*time.Second)); err != nil {
					t.Error(err)
				}
				if len(asked) != 1 {
					t.Errorf("the coordinator was asked %d times", len(asked))
				}
				time.Sleep(5 * time.Second)
				cancel()
				if err := <-watched; !errors.Is(err, context.Canceled) {
					t.Error(err)
				}
			})
		})
	}
}
