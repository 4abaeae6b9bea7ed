package radishstage

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishadmission"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
)

// fakePeers answers the calls to other VMs.
type fakePeers func(name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error)

func (f fakePeers) Call(_ context.Context, name string, req *radishpeerpb.Request) (*radishpeerpb.Response, error) {
	return f(name, req)
}

func (f fakePeers) Ping(context.Context, string) error { return nil }

func (f fakePeers) CloseLink(string) {}

// TestUnreachableCoordinatorsAreSkipped makes the two preferred coordinators unreachable. The VM must execute the plan itself,
// and must not call either of them for the next plan.
func TestUnreachableCoordinatorsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		calls := 0
		r := &Router{
			Self: "self", Owners: func(int, int) []string { return []string{"first", "second", "self"} }, Shards: func() int { return 1 },
			Local: func(int, int) *Coordinator { return c }, Log: hclog.NewNullLogger(),
			Peers: fakePeers(func(string, *radishpeerpb.Request) (*radishpeerpb.Response, error) {
				calls++
				return nil, radish.ErrUnavailable
			}),
		}
		for n := range 2 {
			if _, err := r.Run(t.Context(), newPlan(fmt.Sprint("call-", n), 2*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		if calls != 2 {
			t.Errorf("called other VMs %d times, want twice", calls)
		}
	})
}

// TestMalformedPlansOfPeersAreRefused checks that no message of a peer makes a VM allocate memory for what the message claims, or
// compute for long: each is answered with an error, and the next valid plan is executed.
func TestMalformedPlansOfPeersAreRefused(t *testing.T) {
	valid := func() *radishpeerpb.PlanRequest {
		body := encodePlan(newPlan("call", 2*time.Second), time.Now())
		body.Shards = 1
		return body
	}
	deep := make([]*radishpeerpb.PlanStage, 200)
	for i := range deep {
		deep[i] = &radishpeerpb.PlanStage{Service: "enc", Pieces: 1}
		for dep := range i {
			deep[i].After = append(deep[i].After, uint32(dep))
		}
	}
	tests := []struct {
		name   string
		change func(body *radishpeerpb.PlanRequest)
	}{
		{"too many pieces", func(body *radishpeerpb.PlanRequest) { body.Stages[0].Pieces = 4_000_000_000 }},
		{"too many stages", func(body *radishpeerpb.PlanRequest) { body.Stages = deep }},
		{"negative result size", func(body *radishpeerpb.PlanRequest) { body.Stages[0].ResultBytes = 1 << 63 }},
		{"stage after itself", func(body *radishpeerpb.PlanRequest) { body.Stages[1].After = []uint32{1} }},
		{"too many shards", func(body *radishpeerpb.PlanRequest) { body.Shards = 4_000_000_000 }},
		{"shard out of range", func(body *radishpeerpb.PlanRequest) { body.Shard = 1 }},
		{"no shards", func(body *radishpeerpb.PlanRequest) { body.Shards = 0 }},
		{"no stages", func(body *radishpeerpb.PlanRequest) { body.Stages = nil }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := newCoordinator(2)
				created := 0
				r := &Router{Self: "self", Log: hclog.NewNullLogger(), Local: func(int, int) *Coordinator {
					created++
					return c
				}}
				body := valid()
				tc.change(body)
				reply := r.Serve(t.Context(), body)
				if reply.GetRefusal() == "" && len(body.GetStages()) > 0 {
					t.Errorf("got %v, want an error", reply)
				}
				if body.GetShards() != 1 && created > 0 {
					t.Error("a coordinator was created for a shard that does not exist")
				}
				r.ServeFree(&radishpeerpb.FreeRequest{Shard: body.GetShard(), Shards: body.GetShards(), Handles: []string{"", "no-address", "/"}})
				if reply := r.Serve(t.Context(), valid()); len(reply.GetStages()) != 2 {
					t.Errorf("got %v for a valid plan after that", reply)
				}
			})
		})
	}
}

func TestRemoteCoordinatorRunsAndRefusesPlans(t *testing.T) {
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
			t.Fatalf("got %v, %v, want three handles of the second stage", result, err)
		}
		r.Free(t.Context(), "call", result.Handles[1])
		late := newPlan("late", -time.Second)
		late.Deadline = time.Now().Add(10 * time.Millisecond)
		var refused *RefusedError
		if _, err := r.Run(t.Context(), late); !errors.As(err, &refused) || refused.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal with a retry time", err)
		}
	})
}

// TestIsolatedVMCoordinatesItself makes ten coordinators unreachable. The VM must execute the plan itself after it has tried a
// few of them.
func TestIsolatedVMCoordinatesItself(t *testing.T) {
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

// TestLastVMCoordinatesWhileLeaving simulates that the last two VMs are stopped together: a VM leaves and hands its plans over,
// then the VM that took them leaves too. The first one must execute its remaining requests' plans itself.
func TestLastVMCoordinatesWhileLeaving(t *testing.T) {
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

// TestPlanCarriesUrgency checks that the coordinator gets the priority, team and value of a plan, that the plan of a VM of an earlier
// release has none, and that implausible figures of a peer are replaced.
func TestPlanCarriesUrgency(t *testing.T) {
	now := time.Now()
	p := newPlan("call", 2*time.Second)
	if got := decodePlan(encodePlan(p, now), now).Urgency; got != nil {
		t.Errorf("got %+v for a plan without priority, want none", got)
	}
	p.Urgency = &radishadmission.Urgency{Priority: 2, Team: "roads", Value: 1500}
	if got := decodePlan(encodePlan(p, now), now).Urgency; got == nil || *got != *p.Urgency {
		t.Errorf("got %+v, want %+v", got, p.Urgency)
	}
	body := encodePlan(p, now)
	lowest := uint32(math.MaxUint32)
	body.Priority, body.Value, body.Team = &lowest, float32(math.NaN()), strings.Repeat("x", 1000)
	got := decodePlan(body, now).Urgency
	if got.Priority != radishadmission.MaxPriority || got.Value != 0 || len(got.Team) > 200 {
		t.Errorf("got %+v for implausible figures", got)
	}
	synctest.Test(t, func(t *testing.T) {
		c, _ := newCoordinator(2)
		if _, err := c.Run(t.Context(), decodePlan(body, time.Now())); err != nil {
			t.Errorf("plan of the lowest priority: %v", err)
		}
	})
}
