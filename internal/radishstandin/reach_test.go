package radishstandin

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestCutReachesTargets cuts a data centre off: a VM elsewhere reaches its targets no more, and loses the answers of
// calls under way, while a VM of its own is served.
func TestCutReachesTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, network := &Fleet{Latency: time.Millisecond}, &Network{}
		fleet.Add(&Target{Name: "llm", Work: time.Second})
		near := &Reach{Fleet: fleet, Network: network, From: "semarang-0:3"}
		far := &Reach{Fleet: fleet, Network: network, From: "bandung-0:3"}
		target := radish.Target{Name: "llm", DataCentre: "semarang"}
		call := func(r *Reach, id string) error {
			_, err := r.Do(context.Background(), &radish.Attempt{ID: id, RequestID: id, Target: target})
			return err
		}
		overtaken := make(chan error)
		go func() { overtaken <- call(far, "1") }()
		time.Sleep(100 * time.Millisecond)
		network.SetBlocked(func(from, to string) bool {
			return strings.HasPrefix(from, "semarang") != strings.HasPrefix(to, "semarang")
		})
		if err := <-overtaken; !errors.Is(err, radish.ErrTargetFailed) {
			t.Errorf("the call that the cut overtook: %v", err)
		}
		if err := call(far, "2"); !errors.Is(err, radish.ErrNotSent) {
			t.Errorf("a call across the cut: %v", err)
		}
		if _, err := far.Load(context.Background(), target); !errors.Is(err, radish.ErrUnavailable) {
			t.Errorf("a load report across the cut: %v", err)
		}
		if err := call(near, "3"); err != nil {
			t.Errorf("a call within the data centre: %v", err)
		}
	})
}
