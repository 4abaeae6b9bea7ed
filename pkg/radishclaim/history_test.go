package radishclaim_test

import (
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// claimEvent is a call that got an outcome. The outcome is the ID of the call that was executed for the key.
type claimEvent struct {
	key          int
	call         string
	outcome      string
	began, ended time.Time
}

func (o *oracle) recordEvent(e claimEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, e)
}

// firstCallModel is a write-once register per key: the first call sets it, and all later calls read it.
var firstCallModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(claimEvent).key
			byKey[key] = append(byKey[key], op)
		}
		var partitions [][]porcupine.Operation
		for _, partition := range byKey {
			partitions = append(partitions, partition)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		executed := state.(string)
		event := input.(claimEvent)
		outcome := output.(string)
		if executed == "" {
			return outcome == event.call, outcome
		}
		return outcome == executed, executed
	},
}

// checkLinearizable checks that all calls of a key got the outcome of the same execution, in some order that is
// consistent with the times of the calls.
func checkLinearizable(rt *rapid.T, o *oracle) {
	var ops []porcupine.Operation
	for i, e := range o.history {
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: e, Output: e.outcome, Call: e.began.UnixNano(), Return: e.ended.UnixNano(),
		})
	}
	if !porcupine.CheckOperations(firstCallModel, ops) {
		rt.Fatalf("the outcomes are not linearizable: %+v", o.history)
	}
}
