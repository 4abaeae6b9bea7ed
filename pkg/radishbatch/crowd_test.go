package radishbatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestCrowded(t *testing.T) {
	tests := []struct {
		name   string
		places []Place
		want   map[string]bool
	}{
		{"little waits", []Place{{"a", 3, 1, 10}, {"b", 0, 1, 10}}, map[string]bool{"a": false, "b": false}},
		{"much waits everywhere", []Place{{"a", 30, 1, 10}, {"b", 20, 1, 10}}, map[string]bool{"a": false, "b": false}},
		{"much waits in one", []Place{{"a", 30, 1, 10}, {"b", 10, 1, 10}}, map[string]bool{"a": true, "b": false}},
		{"more targets bear more", []Place{{"a", 30, 3, 10}, {"b", 8, 1, 10}}, map[string]bool{"a": false, "b": false}},
		{"the fullest service counts", []Place{{"a", 0, 1, 10}, {"a", 20, 1, 10}, {"b", 5, 1, 10}}, map[string]bool{"a": true, "b": false}},
		{"a service without target there", []Place{{"a", 0, 1, 10}, {"a", 0, 0, 10}, {"b", 9, 1, 10}}, map[string]bool{"a": true, "b": false}},
		{"no data centre has all services", []Place{{"a", 0, 1, 10}, {"a", 0, 0, 10}, {"b", 0, 0, 10}, {"b", 0, 1, 10}}, map[string]bool{"a": false, "b": false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Crowded(test.places)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
