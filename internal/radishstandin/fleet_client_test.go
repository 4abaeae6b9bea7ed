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

// TestPartitionBlocksTargetCalls partitions a data centre from the others. A VM outside it can no longer call the
// targets inside and loses the responses of calls in flight; a VM inside is not affected.
func TestPartitionBlocksTargetCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, network := &Fleet{Latency: time.Millisecond}, &Network{}
		fleet.Add(&Target{Name: "llm", ProcessingTime: time.Second})
		inside := &FleetClient{Fleet: fleet, Network: network, VMAddress: "semarang-0:3"}
		outside := &FleetClient{Fleet: fleet, Network: network, VMAddress: "bandung-0:3"}
		target := radish.Target{Name: "llm", DataCentre: "semarang"}
		call := func(client *FleetClient, id string) error {
			_, err := client.Do(context.Background(), &radish.Attempt{ID: id, RequestID: id, Target: target})
			return err
		}
		inFlight := make(chan error)
		go func() { inFlight <- call(outside, "1") }()
		time.Sleep(100 * time.Millisecond)
		network.SetPartition(func(from, to string) bool {
			return strings.HasPrefix(from, "semarang") != strings.HasPrefix(to, "semarang")
		})
		if err := <-inFlight; !errors.Is(err, radish.ErrTargetFailed) {
			t.Errorf("call in flight when the partition began: got error %v, want ErrTargetFailed", err)
		}
		if err := call(outside, "2"); !errors.Is(err, radish.ErrNotSent) {
			t.Errorf("call across the partition: got error %v, want ErrNotSent", err)
		}
		if _, err := outside.Load(context.Background(), target); !errors.Is(err, radish.ErrUnavailable) {
			t.Errorf("load report across the partition: got error %v, want ErrUnavailable", err)
		}
		if err := call(inside, "3"); err != nil {
			t.Errorf("call within the data centre: %v", err)
		}
	})
}
