package radishbatch

import "time"

const (
	// minSlowerFactor is the factor from which on a target is slower than another one.
	minSlowerFactor = 1.25
	// maxWaitShare is the part of the time at a slow target within which a piece that waits for a faster one must be done there. The
	// slow target is idle meanwhile, so pieces wait only for a clear gain.
	maxWaitShare = 0.6
)

// BusyTarget is a target that runs a batch.
type BusyTarget struct {
	// FreeIn is the expected time until it can start another batch.
	FreeIn time.Duration
	// TimeFactor is the time of its batches relative to the usual one.
	TimeFactor float64
}

// ReservedPieces returns the number of queued pieces that faster targets, which are still busy, would complete earlier than an idle
// target with the batch limits and the time factor. Without it, a call would end only when the slowest target has processed its last pieces.
func ReservedPieces(busy []BusyTarget, spec *BatchSpec, timeFactor float64, queued int) int {
	pieces := min(spec.MaxPieces, spec.shareOf(queued))
	end := float64(spec.Overhead) + float64(pieces)*float64(spec.PieceTime)
	overhead, pieceTime := float64(spec.Overhead)/timeFactor, float64(spec.PieceTime)/timeFactor
	reserved := 0
	for _, b := range busy {
		if timeFactor < minSlowerFactor*b.TimeFactor {
			continue
		}
		left := (maxWaitShare*end-float64(b.FreeIn))/b.TimeFactor - overhead
		if left > 0 {
			reserved += int(min(float64(spec.MaxPieces), left/max(1, pieceTime)))
		}
	}
	return reserved
}
