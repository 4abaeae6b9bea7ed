package radishserve

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"radishramp.example/radishramp/internal/radishsetting"
	"radishramp.example/radishramp/internal/radishstandin"
	"radishramp.example/radishramp/pkg/radishconfig"
	"radishramp.example/radishramp/pkg/radishpeer/radishpeerpb"
	"radishramp.example/radishramp/pkg/radishrule"
)

// FuzzPeerFrame passes arbitrary frames from a peer to a VM. The VM must return either a response or an error, and the
// accepted configuration in the platform must not change.
func FuzzPeerFrame(f *testing.F) {
	for _, req := range []*radishpeerpb.Request{
		{From: "a"},
		{From: "a", Body: &radishpeerpb.Request_Heartbeat{Heartbeat: &radishpeerpb.Heartbeat{
			Vm: "a", DataCentre: "bandung", ConfigGeneration: 9, Steward: "a", StewardTerm: 3, Leaving: true,
			News:   []*radishpeerpb.TargetNews{{Target: "llm", State: "cold", InFlight: 3, AgeMs: 5}},
			Drains: []*radishpeerpb.LocalDrain{{Id: "1", DataCentre: "bandung"}},
		}}},
		{From: "a", Body: &radishpeerpb.Request_Config{Config: &radishpeerpb.ConfigRequest{AboveGeneration: 1, WantVms: true}}},
		{From: "a", Body: &radishpeerpb.Request_Permit{Permit: &radishpeerpb.PermitRequest{Target: "llm", TtlMs: 100}}},
		{From: "a", Body: &radishpeerpb.Request_Release{Release: &radishpeerpb.PermitRelease{Target: "llm", Id: 1, Term: 1}}},
		{From: "a", Body: &radishpeerpb.Request_Claim{Claim: &radishpeerpb.ClaimRequest{Object: "claim-00000000001-1", Changes: []byte(`[{"name":"k","claim_id":"c","state":"claimed"}]`)}}},
		{From: "a", Body: &radishpeerpb.Request_Claim{Claim: &radishpeerpb.ClaimRequest{Object: radishconfig.HeadKey, Changes: []byte(`[{"name":"k","claim_id":"c","state":"claimed"}]`)}}},
	} {
		frame, err := proto.Marshal(req)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	platform := radishstandin.NewPlatform()
	store := &radishconfig.Store{Platform: platform}
	if _, err := store.Apply(f.Context(), radishconfig.Change{By: "tester", Lines: radishrule.SplitLines(rulesText(""))}); err != nil {
		f.Fatal(err)
	}
	cfg := radishsetting.Default()
	cfg.VM = radishsetting.VM{Name: "bandung-0", DataCentre: "bandung"}
	cfg.Claim.BatchInterval = time.Millisecond
	s := &Server{Settings: cfg, Log: hclog.NewNullLogger(), Platform: platform, Targets: &radishstandin.Fleet{}}
	if err := s.Build(); err != nil {
		f.Fatal(err)
	}
	stopped, stop := context.WithCancel(context.Background())
	stop()
	s.ctx = stopped
	f.Fuzz(func(t *testing.T, frame []byte) {
		var req radishpeerpb.Request
		if proto.Unmarshal(frame, &req) != nil {
			return
		}
		res, err := s.Handle(t.Context(), &req)
		if (res == nil) == (err == nil) {
			t.Fatalf("got response %v and error %v, want exactly one of them", res, err)
		}
		if snapshot, err := store.Load(t.Context()); err != nil || snapshot.Head.Generation != 1 {
			t.Fatalf("the accepted configuration changed or cannot be loaded: %+v, error %v", snapshot, err)
		}
	})
}
