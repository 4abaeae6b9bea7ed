package radishconfig_test

import (
	"errors"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"radishramp.example/radishramp/pkg/radish"
)

// verdict is what an operator was told of a change.
type verdict int

const (
	verdictAccepted verdict = iota
	verdictConflict
	// verdictUnknown allows that the change was or will be accepted.
	verdictUnknown
)

// changeEvent is one change that an operator made from a generation.
type changeEvent struct {
	base         uint64
	generation   uint64
	verdict      verdict
	began, ended time.Time
}

func verdictOf(err error) verdict {
	switch {
	case err == nil:
		return verdictAccepted
	case errors.Is(err, radish.ErrConflict):
		return verdictConflict
	default:
		return verdictUnknown
	}
}

// headModel is a counter that a change raises by one if it is at the change's base.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{uint64(0)} },
	Step: func(state, input, _ any) []any {
		generation := state.(uint64)
		event := input.(changeEvent)
		canAccept := generation == event.base
		switch {
		case event.verdict == verdictConflict:
			return []any{generation}
		case event.verdict == verdictAccepted && canAccept && event.generation == generation+1:
			return []any{generation + 1}
		case event.verdict == verdictUnknown && canAccept:
			return []any{generation, generation + 1}
		case event.verdict == verdictUnknown:
			return []any{generation}
		default:
			return nil
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// isLinearizable tells whether the accepted changes follow one another in some order that fits their times.
func isLinearizable(history []changeEvent) bool {
	var ops []porcupine.Operation
	for i, e := range history {
		op := porcupine.Operation{ClientId: i, Input: e, Call: e.began.UnixNano(), Return: e.ended.UnixNano()}
		if e.verdict == verdictUnknown {
			op.Return = math.MaxInt64
		}
		ops = append(ops, op)
	}
	return porcupine.CheckOperations(headModel.ToModel(), ops)
}
