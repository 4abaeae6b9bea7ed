package radishfleet

import (
	"fmt"
	"slices"
	"testing"
)

// TestLargeVMsCoordinate has eight large VMs among many small ones, as on the grown sites: all coordinators are large, each
// key has its own order, and small ones follow for the case that no large one can be reached.
func TestLargeVMsCoordinate(t *testing.T) {
	cores := make(map[string]float64)
	for i := range 120 {
		cores[fmt.Sprint("small-", i)] = 0.134
	}
	for i := range 8 {
		cores[fmt.Sprint("large-", i)] = 0.8
	}
	firsts := make(map[string]bool)
	for key := range 20 {
		owners := Coordinators(cores, fmt.Sprint(key), 10)
		if len(owners) != 10 {
			t.Fatalf("got %v", owners)
		}
		for i, name := range owners {
			if isLarge := cores[name] == 0.8; isLarge != (i < 8) {
				t.Errorf("key %d: %s comes as number %d", key, name, i)
			}
		}
		firsts[owners[0]] = true
	}
	if len(firsts) < 4 {
		t.Errorf("only %d large VMs come first for 20 keys", len(firsts))
	}
}

func TestVMsAlikeAllCoordinate(t *testing.T) {
	for _, each := range []float64{0, 0.272} {
		owners := Coordinators(map[string]float64{"a": each, "b": each, "c": each}, "key", 10)
		slices.Sort(owners)
		if !slices.Equal(owners, []string{"a", "b", "c"}) {
			t.Errorf("with %v cores each: %v", each, owners)
		}
	}
	if owners := Coordinators(nil, "key", 10); len(owners) != 0 {
		t.Errorf("without VMs: %v", owners)
	}
}
