package radishbound

import (
	"errors"
	"math"
	"testing"
)

// newDeployment has one stage with two targets. A full batch of ten pieces takes 500 ms, so the capacity is 40 pieces per second.
func newDeployment(kinds ...Kind) *Deployment {
	return &Deployment{Stages: map[string]Stage{"s": {Targets: 2, MaxPieces: 10, CallMs: 300, PieceMs: 20}}, Kinds: kinds}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestUpperBound(t *testing.T) {
	lowValue := Kind{Name: "low value", PerSecond: 20, Worth: 1, Needs: []Need{{Stage: "s", Pieces: 1}}}
	highValue := Kind{Name: "high value", PerSecond: 20, Worth: 5, Needs: []Need{{Stage: "s", Pieces: 2}}}
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
		{"pieces of half the usual work", newDeployment(Kind{PerSecond: 50, Worth: 1, Needs: []Need{{Stage: "s", Pieces: 1, Work: 0.5}}}), []float64{1}, 1, "s time", 1, 1},
		{"result space is the bottleneck", &Deployment{
			Stages: map[string]Stage{"s": {Targets: 2, MaxPieces: 10, CallMs: 300, PieceMs: 20, RoomBytes: 1000}}, ReadMs: 500,
			Kinds: []Kind{{PerSecond: 20, Worth: 1, Needs: []Need{{Stage: "s", Pieces: 1, ResultBytes: 200}}}},
		}, []float64{0.5}, 0.5, "s room", 2, 1},
		{"engine is the bottleneck", &Deployment{
			Engines: map[string]Engine{"e": {Targets: 2, TokensPerMs: 50}}, Kinds: []Kind{{PerSecond: 50, Worth: 2, Engine: "e", Tokens: 4000}},
		}, []float64{0.5}, 0.5, "e time", 2, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b, err := Most(test.d)
			if err != nil {
				t.Fatal(err)
			}
			for k, want := range test.served {
				if !almostEqual(b.Served[k], want) {
					t.Errorf("served shares %v, want %v", b.Served, test.served)
				}
			}
			if !almostEqual(b.Share, test.share) {
				t.Errorf("share of the value %v, want %v", b.Share, test.share)
			}
			for _, resource := range b.Limits {
				if resource.Name == test.resource && (!almostEqual(resource.Asked, test.asked) || !almostEqual(resource.Used, test.used)) {
					t.Errorf("%s: wrong demand %v or use %v", resource.Name, resource.Asked, resource.Used)
				}
			}
		})
	}
}

func TestInvalidDeploymentReportsAllErrors(t *testing.T) {
	_, err := Most(&Deployment{
		Stages: map[string]Stage{"s": {}}, Engines: map[string]Engine{"e": {}},
		Kinds: []Kind{{Name: "k", Engine: "none", Needs: []Need{{Stage: "none", Pieces: -1}}}},
	})
	if !errors.Is(err, ErrDeployment) {
		t.Fatalf("got error %v, want one that reports an invalid deployment", err)
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 6 {
		t.Errorf("got %v, want six errors", err)
	}
	if _, err := Most(&Deployment{}); !errors.Is(err, ErrDeployment) {
		t.Errorf("deployment without kinds of calls: got error %v", err)
	}
}
