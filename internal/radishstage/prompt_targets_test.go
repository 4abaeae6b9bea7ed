package radishstage

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishroute"
)

// promptTargets execute every call in its nominal time.
type promptTargets struct {
	batches map[string]*radishroute.BatchSettings
	// timeFactor returns the time of work at a target relative to the nominal one; nil means that all take the nominal time.
	timeFactor func(target string) float64
	handles    atomic.Int64
}

func (f *promptTargets) RunPieces(_ context.Context, t radish.Target, pieces []radish.Piece) ([]radish.PieceResult, error) {
	batch := f.batches[t.Service]
	took := batch.CallTime + time.Duration(len(pieces))*batch.PieceTime
	if f.timeFactor != nil {
		took = scale(took, f.timeFactor(t.Name))
	}
	time.Sleep(took)
	results := make([]radish.PieceResult, len(pieces))
	for i := range pieces {
		results[i] = radish.PieceResult{Outcome: radish.PieceDone, Handle: fmt.Sprintf("%s/%d", t.Address, f.handles.Add(1))}
	}
	return results, nil
}

func (f *promptTargets) FreePieces(context.Context, string, []string) error { return nil }
