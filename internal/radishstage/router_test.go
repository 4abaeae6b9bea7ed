package radishstage

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// fakePeers answers the calls to other VMs.
type fakePeers func(name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error)

func (f fakePeers) Call(_ context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	return f(name, req)
}

func (f fakePeers) Ping(context.Context, string) error { return nil }

func (f fakePeers) CloseLink(string) {}

// TestCoordinatorsThatDoNotAnswerAreLeft lets the first two coordinators be out of reach: the VM runs the plan itself,
// and asks neither for the next one.
func TestCoordinatorsThatDoNotAnswerAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		asked := 0
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return []string{"first", "second", "self"} }, Shards: func() int { return 1 },
			Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger(),
			Peers: fakePeers(func(string, *radishpeerpb.Request) (*radishpeerpb.Response, error) {
				asked++
				return nil, radish.ErrUnavailable
			}),
		}
		for n := range 2 {
			if _, err := r.Run(t.Context(), newPlan(fmt.Sprint("call-", n), 2*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		if asked != 2 {
			t.Errorf("asked others %d times, want twice", asked)
		}
	})
}

func TestPlansCrossTheLinkWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		remote := &Router{Self: "remote", Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger()}
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return []string{"remote"} }, Shards: func() int { return 3 },
			Local: func(int, int) *Coordinator { return nil }, Log: hclog.NewNullLogger(),
			Peers: fakePeers(func(_ string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
				if body := req.GetPlan(); body != nil {
					return &radishpeerpb.Response{Body: &radishpeerpb.Response_Plan{Plan: remote.Serve(context.Background(), body)}}, nil
				}
				c.Free(req.GetFree().GetHandles())
				return &radishpeerpb.Response{}, nil
			}),
		}
		result, err := r.Run(t.Context(), newPlan("call", 2*time.Second))
		if err != nil || len(result.Handles) != 2 || len(result.Handles[1]) != 3 {
			t.Fatalf("got %v, %v", result, err)
		}
		r.Free(t.Context(), "call", result.Handles[1])
		late := newPlan("late", -time.Second)
		late.Deadline = time.Now().Add(10 * time.Millisecond)
		var refusal *RefusedError
		if _, err := r.Run(t.Context(), late); !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
			t.Errorf("got %v", err)
		}
	})
}

// TestVMThatIsCutOffCoordinatesItself names ten coordinators, none of which can be reached: the call's own VM runs the
// plan after a few of them.
func TestVMThatIsCutOffCoordinatesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		var owners []string
		for n := range 10 {
			owners = append(owners, fmt.Sprint("vm-", n))
		}
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return owners }, Shards: func() int { return 1 },
			Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger(),
			Peers: fakePeers(func(string, *radishpeerpb.Request) (*radishpeerpb.Response, error) { return nil, radish.ErrUnavailable }),
		}
		if _, err := r.Run(t.Context(), newPlan("call", 2*time.Second)); err != nil {
			t.Error(err)
		}
	})
}

// TestLastVMCoordinatesUntilItsEnd lets a VM leave, which hands its plans over, and then the VM that took them leave too,
// as when the last two VMs are stopped together: the calls that the first one still has are served by itself.
func TestLastVMCoordinatesUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return []string{"self"} }, Shards: func() int { return 1 },
			Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger(),
		}
		c.Leave()
		if _, err := r.Run(t.Context(), newPlan("call", 2*time.Second)); err != nil {
			t.Error(err)
		}
	})
}
