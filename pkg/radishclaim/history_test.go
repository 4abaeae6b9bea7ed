package radishclaim_test

import (
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// claimEvent is one answered call: which call's run the caller was given.
type claimEvent struct {
	key          int
	call         string
	outcome      string
	began, ended time.Time
}

func (o *oracle) record(e claimEvent) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, e)
}

// onceModel is a register by key that the first call sets and that all later ones read.
var onceModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[int][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(claimEvent).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		set := state.(string)
		event := input.(claimEvent)
		outcome := output.(string)
		if set == "" {
			return outcome == event.call, outcome
		}
		return outcome == set, set
	},
}

// checkLinearizable checks that all answered calls agree on one run a key, in some order that fits their times.
func checkLinearizable(rt *rapid.T, o *oracle) {
	var ops []porcupine.Operation
	for i, e := range o.history {
		ops = append(ops, porcupine.Operation{
			ClientId: i, Input: e, Output: e.outcome, Call: e.began.UnixNano(), Return: e.ended.UnixNano(),
		})
	}
	if !porcupine.CheckOperations(onceModel, ops) {
		rt.Fatalf("the answers are not linearizable: %+v", o.history)
	}
}
