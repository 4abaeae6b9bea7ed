package radishconfig_test

import (
	"errors"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"radishramp.example/radishramp/pkg/radish"
)

// outcome is the result of a change as returned to the operator.
type outcome int

const (
	outcomeAccepted outcome = iota
	outcomeConflict
	// outcomeUnknown means that the change may have been accepted or may still be.
	outcomeUnknown
)

// changeEvent records one change: the generation it was made from, its result and when the call ran.
type changeEvent struct {
	base       uint64
	generation uint64
	outcome    outcome
	start, end time.Time
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeAccepted
	case errors.Is(err, radish.ErrConflict):
		return outcomeConflict
	default:
		return outcomeUnknown
	}
}

// headModel models the head object as a generation counter. A change increments the counter if its base is the
// current generation.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any {
		generation := state.(uint64)
		event := input.(changeEvent)
		canAccept := generation == event.base
		switch {
		case event.outcome == outcomeConflict:
			return []any{generation}
		case event.outcome == outcomeAccepted && canAccept && event.generation == generation+1:
			return []any{generation + 1}
		case event.outcome == outcomeUnknown && canAccept:
			return []any{generation, generation + 1}
		case event.outcome == outcomeUnknown:
			return []any{generation}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// isLinearizable reports whether some order of the changes fits headModel and the times of the calls.
func isLinearizable(history []changeEvent) bool {
	var ops []porcupine.Operation
	for i, e := range history {
		op := porcupine.Operation{ClientId: i, Input: e, Call: e.start.UnixNano(), Return: e.end.UnixNano()}
		if e.outcome == outcomeUnknown {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	return porcupine.CheckOperations(headModel.ToModel(), ops)
}
