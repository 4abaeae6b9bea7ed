package radishbound

import (
	"errors"
	"math"
	"testing"
)

// newDeployment has one stage of two targets, each of which makes ten pieces in half a second: 40 pieces a second.
func newDeployment(kinds ...Kind) *Deployment {
	return &Deployment{Stages: map[string]Stage{"s": {Targets: 2, MaxPieces: 10, CallMs: 300, PieceMs: 20}}, Kinds: kinds}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-6 }

func TestMost(t *testing.T) {
	cheap := Kind{Name: "cheap", PerSecond: 20, Worth: 1, Needs: []Need{{Stage: "s", Pieces: 1}}}
	dear := Kind{Name: "dear", PerSecond: 20, Worth: 5, Needs: []Need{{Stage: "s", Pieces: 2}}}
	tests := []struct {
		name   string
		d      *Deployment
		served []float64
		share  float64
		limit  string
		asked  float64
		used   float64
	}{
		{"all fits", newDeployment(cheap), []float64{1}, 1, "s time", 0.5, 0.5},
		{"what earns more for the stage goes first", newDeployment(cheap, dear), []float64{0, 1}, 100.0 / 120, "s time", 1.5, 1},
		{"light pieces", newDeployment(Kind{PerSecond: 50, Worth: 1, Needs: []Need{{Stage: "s", Pieces: 1, Work: 0.5}}}), []float64{1}, 1, "s time", 1, 1},
		{"room binds", &Deployment{
			Stages: map[string]Stage{"s": {Targets: 2, MaxPieces: 10, CallMs: 300, PieceMs: 20, RoomBytes: 1000}}, ReadMs: 500,
			Kinds: []Kind{{PerSecond: 20, Worth: 1, Needs: []Need{{Stage: "s", Pieces: 1, ResultBytes: 200}}}},
		}, []float64{0.5}, 0.5, "s room", 2, 1},
		{"engines bind", &Deployment{
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
				if !near(b.Served[k], want) {
					t.Errorf("served %v, want %v", b.Served, test.served)
				}
			}
			if !near(b.Share, test.share) {
				t.Errorf("share %v, want %v", b.Share, test.share)
			}
			for _, limit := range b.Limits {
				if limit.Name == test.limit && (!near(limit.Asked, test.asked) || !near(limit.Used, test.used)) {
					t.Errorf("%s: asked %v, used %v", limit.Name, limit.Asked, limit.Used)
				}
			}
		})
	}
}

func TestMostReportsAllFaults(t *testing.T) {
	_, err := Most(&Deployment{
		Stages: map[string]Stage{"s": {}}, Engines: map[string]Engine{"e": {}},
		Kinds: []Kind{{Name: "k", Engine: "none", Needs: []Need{{Stage: "none", Pieces: -1}}}},
	})
	if !errors.Is(err, ErrDeployment) {
		t.Fatalf("got %v", err)
	}
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 6 {
		t.Errorf("got %v, want six faults", err)
	}
	if _, err := Most(&Deployment{}); !errors.Is(err, ErrDeployment) {
		t.Errorf("without kinds: %v", err)
	}
}
