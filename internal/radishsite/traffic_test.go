package radishsite

import (
	"fmt"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestReplayChangesOfManyTargets replays the records of a large fleet of targets, of which forty change in a second, in 24 VMs of which
// one receives the changes from the store. All VMs must have all changes two seconds later, and must not send more than twice the bytes of
// the changes, since each VM needs to receive each of them only once.
func TestReplayChangesOfManyTargets(t *testing.T) {
	const (
		changesPerSecond = 40
		seconds          = 5
		maxBytesFactor   = 2
	)
	inBubble(t, func(t *testing.T) {
		vms := startVMs(t, 24)
		value := []byte(fmt.Sprintf("%-200s", "a target's record"))
		sentBefore := bytesSent(vms)
		revision := radish.Revision(1000)
		for range changesPerSecond * seconds {
			revision++
			record := radish.Record{Kind: radish.RecordTarget, Name: fmt.Sprint("target-", revision%300), Revision: revision, Value: value}
			changed := vms[0].mirror.ApplyUpTo(radish.RecordTarget, []radish.Record{record}, revision)
			vms[0].applyChanges(changed, "store")
			time.Sleep(time.Second / changesPerSecond)
		}
		time.Sleep(2 * time.Second)
		for _, vm := range vms {
			if got := vm.mirror.CompleteRevision(radish.RecordTarget); got != revision {
				t.Errorf("%s has the changes up to revision %d, want %d", vm.self.Name, got, revision)
			}
		}
		perVM := (bytesSent(vms) - sentBefore) / int64(len(vms)) / seconds
		if limit := int64(changesPerSecond * len(value) * maxBytesFactor); perVM > limit {
			t.Errorf("a VM sends %d bytes/s in the mean, want at most %d", perVM, limit)
		}
	})
}

func bytesSent(vms []*testVM) int64 {
	total := int64(0)
	for _, vm := range vms {
		sent, _ := vm.node.Traffic()
		total += sent
	}
	return total
}
