package radishbound

import (
	"errors"
	"fmt"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ErrInvalidDeployment is wrapped by all errors that report an invalid deployment.
var ErrInvalidDeployment = errors.New("deployment is invalid")

// Deployment is the capacity of a site and the load on it.
type Deployment struct {
	// Stages holds the stage services by name.
	Stages map[string]Stage `json:"stages"`
	// Engines holds the engine services by name.
	Engines map[string]Engine `json:"engines"`
	// Kinds lists the load by kind of call.
	Kinds []CallKind `json:"kinds"`
	// ReadDelayMs is the time in milliseconds from the end of the batch that produced a result until its readers have read it.
	ReadDelayMs float64 `json:"read_ms"`
}

// Stage is a service whose targets process pieces in batches. All of its targets have the same capacity.
type Stage struct {
	// Targets is the number of targets.
	Targets int `json:"targets"`
	// MaxPieces is the number of pieces in a full batch.
	MaxPieces int `json:"max_pieces"`
	// BatchOverheadMs is the fixed part of the duration of a batch in milliseconds.
	BatchOverheadMs float64 `json:"call_ms"`
	// PieceMs is the time in milliseconds that each piece adds to the duration of a batch.
	PieceMs float64 `json:"piece_ms"`
	// ResultSpaceBytes is the space for results at each target; 0 means unlimited.
	ResultSpaceBytes float64 `json:"room_bytes"`
}

// Engine is a service whose targets process prompts.
type Engine struct {
	// Targets is the number of targets.
	Targets int `json:"targets"`
	// TokensPerMs is the number of prompt tokens that one target processes per millisecond.
	TokensPerMs float64 `json:"tokens_per_ms"`
}

// CallKind is a kind of call and its share of the load.
type CallKind struct {
	// Name identifies the kind in reports and errors.
	Name string `json:"name"`
	// CallsPerSecond is the number of calls per second.
	CallsPerSecond float64 `json:"per_second"`
	// Worth is the value of one call that is in time.
	Worth float64 `json:"worth"`
	// Engine is the name of the engine that the calls use; empty for none.
	Engine string `json:"engine"`
	// PromptTokens is the number of prompt tokens per call.
	PromptTokens float64 `json:"tokens"`
	// Work lists the average work per call at the stages. A stage may be listed several times.
	Work []StageWork `json:"needs"`
}

// StageWork is the average work per call of one kind at a stage.
type StageWork struct {
	// Stage is the name of the stage.
	Stage string `json:"stage"`
	// Pieces is the number of pieces per call.
	Pieces float64 `json:"pieces"`
	// ResultBytes is the size of the result of one piece.
	ResultBytes float64 `json:"result_bytes"`
	// PieceTimeFactor is the time per piece relative to that of the stage; 0 means 1.
	PieceTimeFactor float64 `json:"work"`
}

// Bound is the maximum value that a deployment can achieve, and the resources that limit it.
type Bound struct {
	// ServedShares is the share of calls served for each kind, in the order of [Deployment].
	ServedShares []float64
	// WorthShare is the value of the calls served as a share of the value of all calls.
	WorthShare float64
	// Resources lists the use of each limited resource.
	Resources []Resource
}

// Resource is a limited resource, such as the time of a stage's targets. Its amounts are shares of the capacity.
type Resource struct {
	// Name is the name of the service followed by that of the resource.
	Name string
	// Demand is the amount that all calls require; it exceeds 1 if the resource cannot serve them all.
	Demand float64
	// Used is the amount that the calls served require.
	Used float64
	// demandByKind is the amount that all calls of each kind require.
	demandByKind []float64
}

// UpperBound computes the bound by linear programming.
func UpperBound(d *Deployment) (*Bound, error) {
	resources, err := resourcesOf(d)
	if err != nil {
		return nil, err
	}
	served, err := maximizeWorth(d, resources)
	if err != nil {
		return nil, err
	}
	b := &Bound{ServedShares: served, Resources: resources}
	achieved, total := 0.0, 0.0
	for k, kind := range d.Kinds {
		achieved += served[k] * kind.CallsPerSecond * kind.Worth
		total += kind.CallsPerSecond * kind.Worth
		for i := range resources {
			resources[i].Demand += resources[i].demandByKind[k]
			resources[i].Used += served[k] * resources[i].demandByKind[k]
		}
	}
	b.WorthShare = achieved / total
	return b, nil
}

// maximizeWorth returns the share of each kind to serve for the maximum value. The linear program has one constraint per
// resource and one per kind, since no share can exceed 1; each constraint has a slack variable.
func maximizeWorth(d *Deployment, resources []Resource) ([]float64, error) {
	kinds, rows := len(d.Kinds), len(resources)+len(d.Kinds)
	a := mat.NewDense(rows, kinds+rows, nil)
	b := make([]float64, rows)
	c := make([]float64, kinds+rows)
	for k, kind := range d.Kinds {
		c[k] = -kind.CallsPerSecond * kind.Worth
		a.Set(len(resources)+k, k, 1)
		for i, resource := range resources {
			a.Set(i, k, resource.demandByKind[k])
		}
	}
	for i := range rows {
		a.Set(i, kinds+i, 1)
		b[i] = 1
	}
	const tolerance = 1e-9
	_, x, err := lp.Simplex(c, a, b, tolerance, nil)
	if err != nil {
		return nil, fmt.Errorf("cannot solve the linear program: %w", err)
	}
	return x[:kinds], nil
}
