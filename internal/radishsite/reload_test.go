package radishsite

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// TestNeedsRestart changes one field at a time.
func TestNeedsRestart(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *radish.PlatformSettings)
		want   bool
	}{
		{"nothing", func(*radish.PlatformSettings) {}, false},
		{"seeds", func(s *radish.PlatformSettings) { s.Seeds = []string{"10.0.0.9:1"} }, false},
		{"memory", func(s *radish.PlatformSettings) { s.MemoryMB++ }, false},
		{"retry budget", func(s *radish.PlatformSettings) { s.RetryBudgetBurst++ }, false},
		{"address for callers", func(s *radish.PlatformSettings) { s.CallerAddress = "10.0.0.9:1" }, true},
		{"address of the store", func(s *radish.PlatformSettings) { s.StoreAddress = "10.0.0.9:1" }, true},
		{"data centre", func(s *radish.PlatformSettings) { s.DataCentre = "other" }, true},
		{"time to shut down", func(s *radish.PlatformSettings) { s.ShutdownGrace += time.Second }, true},
		{"cores", func(s *radish.PlatformSettings) { s.Cores++ }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			initial := &radish.PlatformSettings{VM: "vm-1", ShutdownGrace: 8 * time.Second, Cores: 0.2}
			current := *initial
			test.change(&current)
			if got := needsRestart(initial, &current); got != test.want {
				t.Errorf("needs a restart: %t, want %t", got, test.want)
			}
		})
	}
}
