package radish

import (
	"context"
	"slices"
	"time"
)

// Engine is what a model engine has loaded and the part it plays.
type Engine struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	// Adapters are in ascending order, without duplicates.
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// IsEqual tells whether two engines have loaded the same and play the same part.
func (e Engine) IsEqual(other Engine) bool {
	return e.Model == other.Model && e.Version == other.Version && e.Role == other.Role && slices.Equal(e.Adapters, other.Adapters)
}

// EngineReport is a target's own account of its engine.
type EngineReport struct {
	Engine
	// Fence is the fencing number of the last order that the target took; 0 before the first, or if it keeps none.
	Fence     uint64 `json:"fence"`
	IsLoading bool   `json:"loading"`
}

// Order tells a target the whole state that its engine should have; taking it twice is the same as once.
type Order struct {
	Target Target
	Engine Engine
	// Fence only grows from one wanted state to the next; a target that checks it refuses a lower one than it took.
	Fence uint64
	// NotAfter is when the order may no longer be sent.
	NotAfter time.Time
}

// OrderClient reads and changes the engines of targets.
type OrderClient interface {
	// Engine reads the target's report of its engine.
	Engine(ctx context.Context, t Target) (EngineReport, error)
	// Order sends the order; ErrFenced when the target took a newer one, ErrNotSent when it was not sent, and any
	// other error when the target may have taken it.
	Order(ctx context.Context, o *Order) error
}
