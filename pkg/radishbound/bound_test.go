package radishbound

import (
	"errors"
	"math"
	"testing"
)

// newDeployment has one stage with two targets. A full batch of ten pieces takes 500 ms, so the capacity is 40 pieces per second.
func newDeployment(kinds ...CallKind) *Deployment {
	return &Deployment{Stages: map[string]Stage{"s": {Targets: 2, MaxPieces: 10, BatchOverheadMs: 300, PieceMs: 20}}, Kinds: kinds}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestUpperBound(t *testing.T) {
	lowValue := CallKind{Name: "low value", CallsPerSecond: 20, Worth: 1, Work: []StageWork{{Stage: "s", Pieces: 1}}}
	highValue := CallKind{Name: "high value", CallsPerSecond: 20, Worth: 5, Work: []StageWork{{Stage: "s", Pieces: 2}}}
	tests := []struct {
		name     string
		d        *Deployment
		served   []float64
		share    float64
		resource string
		asked    float64
		used     float64
	}{
		{"load within capacity", newDeployment(lowValue), []float64{1}, 1, "s time", 0.5, 0.5},
		{"kind with the higher value per piece is served first", newDeployment(lowValue, highValue), []float64{0, 1}, 100.0 / 120, "s time", 1.5, 1},
		{"pieces of half the usual work", newDeployment(CallKind{CallsPerSecond: 50, Worth: 1, Work: []StageWork{{Stage: "s", Pieces: 1, PieceTimeFactor: 0.5}}}), []float64{1}, 1, "s time", 1, 1},
		{"result space is the bottleneck", &Deployment{
			Stages: map[string]Stage{"s": {Targets: 2, MaxPieces: 10, BatchOverheadMs: 300, PieceMs: 20, ResultSpaceBytes: 1000}}, ReadDelayMs: 500,
			Kinds: []CallKind{{CallsPerSecond: 20, Worth: 1, Work: []StageWork{{Stage: "s", Pieces: 1, ResultBytes: 200}}}},
		}, []float64{0.5}, 0.5, "s room", 2, 1},
		{"engine is the bottleneck", &Deployment{
			Engines: map[string]Engine{"e": {Targets: 2, TokensPerMs: 50}}, Kinds: []CallKind{{CallsPerSecond: 50, Worth: 2, Engine: "e", PromptTokens: 4000}},
		}, []float64{0.5}, 0.5, "e time", 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, err := UpperBound(test.d)
			if err != nil {
				t.Fatal(err)
			}
			for k, want := range test.served {
				if !almostEqual(b.ServedShares[k], want) {
					t.Errorf("served shares %v, want %v", b.ServedShares, test.served)
				}
			}
			if !almostEqual(b.WorthShare, test.share) {
				t.Errorf("share of the value %v, want %v", b.WorthShare, test.share)
			}
			for _, resource := range b.Resources {
				if resource.Name == test.resource && (!almostEqual(resource.Demand, test.asked) || !almostEqual(resource.Used, test.used)) {
					t.Errorf("%s: wrong demand %v or use %v", resource.Name, resource.Demand, resource.Used)
				}
			}
		})
	}
}

func TestInvalidDeploymentReportsAllErrors(t *testing.T) {
	_, err := UpperBound(&Deployment{
		Stages: map[string]Stage{"s": {}}, Engines: map[string]Engine{"e": {}},
		Kinds: []CallKind{{Name: "k", Engine: "none", Work: []StageWork{{Stage: "none", Pieces: -1}}}},
	})
	if !errors.Is(err, ErrInvalidDeployment) {
		t.Fatalf("got error %v, want one that reports an invalid deployment", err)
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 6 {
		t.Errorf("got %v, want six errors", err)
	}
	if _, err := UpperBound(&Deployment{}); !errors.Is(err, ErrInvalidDeployment) {
		t.Errorf("deployment without kinds of calls: got error %v", err)
	}
}
