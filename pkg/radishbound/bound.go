package radishbound

import (
	"errors"
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ErrDeployment is wrapped by every error that reports a deployment that makes no sense.
var ErrDeployment = errors.New("deployment is invalid")

// Deployment is what a site has and what is asked of it.
type Deployment struct {
	// Stages and Engines are by name of their service.
	Stages  map[string]Stage  `json:"stages"`
	Engines map[string]Engine `json:"engines"`
	Kinds   []Kind            `json:"kinds"`
	// ReadMs is how long a result is kept after its call until what needs it has read it, in milliseconds.
	ReadMs float64 `json:"read_ms"`
}

// Stage is a service whose targets work on pieces in calls.
type Stage struct {
	Targets   int     `json:"targets"`
	MaxPieces int     `json:"max_pieces"`
	CallMs    float64 `json:"call_ms"`
	PieceMs   float64 `json:"piece_ms"`
	// RoomBytes is what one target keeps of results; 0 sets no bound.
	RoomBytes float64 `json:"room_bytes"`
}

// Engine is a service whose targets read prompts.
type Engine struct {
	Targets     int     `json:"targets"`
	TokensPerMs float64 `json:"tokens_per_ms"`
}

// Kind is a kind of call.
type Kind struct {
	Name string `json:"name"`
	// PerSecond is how many come in a second, Worth what one in time earns.
	PerSecond float64 `json:"per_second"`
	Worth     float64 `json:"worth"`
	Engine    string  `json:"engine"`
	Tokens    float64 `json:"tokens"`
	Needs     []Need  `json:"needs"`
}

// Need is what one call of a kind asks of a stage, in the mean.
type Need struct {
	Stage       string  `json:"stage"`
	Pieces      float64 `json:"pieces"`
	ResultBytes float64 `json:"result_bytes"`
	// Work is the time of a piece in parts of the stage's; 0 counts as 1.
	Work float64 `json:"work"`
}

// Bound is what can be earned.
type Bound struct {
	// Served is the part of each kind that is served, in the order of the deployment, Share the part of all worth.
	Served []float64
	Share  float64
	Limits []Limit
}

// Limit is one thing of which there is only so much, as the time of a stage's targets.
type Limit struct {
	Name string
	// Asked is the part of it that all calls need, Used the part that those served need.
	Asked float64
	Used  float64
	// need is the part of it that each kind needs.
	need []float64
}

// Most returns the most that the deployment could earn.
func Most(d *Deployment) (*Bound, error) {
	limits, err := limitsOf(d)
	if err != nil {
		return nil, err
	}
	served, err := solve(d, limits)
	if err != nil {
		return nil, err
	}
	b := &Bound{Served: served, Limits: limits}
	worth, all := 0.0, 0.0
	for k, kind := range d.Kinds {
		worth += served[k] * kind.PerSecond * kind.Worth
		all += kind.PerSecond * kind.Worth
		for i := range limits {
			limits[i].Asked += limits[i].need[k]
			limits[i].Used += served[k] * limits[i].need[k]
		}
	}
	b.Share = worth / all
	return b, nil
}

// solve finds the parts of the kinds by linear programming; each limit and each kind's whole has a slack variable.
func solve(d *Deployment, limits []Limit) ([]float64, error) {
	kinds, rows := len(d.Kinds), len(limits)+len(d.Kinds)
	a := mat.NewDense(rows, kinds+rows, nil)
	b := make([]float64, rows)
	c := make([]float64, kinds+rows)
	for k, kind := range d.Kinds {
		c[k] = -kind.PerSecond * kind.Worth
		a.Set(len(limits)+k, k, 1)
		for i, limit := range limits {
			a.Set(i, k, limit.need[k])
		}
	}
	for i := range rows {
		a.Set(i, kinds+i, 1)
		b[i] = 1
	}
	const tolerance = 1e-9
	_, x, err := lp.Simplex(c, a, b, tolerance, nil)
	if err != nil {
		return nil, fmt.Errorf("bound not found: %w", err)
	}
	return x[:kinds], nil
}
