package radishbatch

import (
	"testing"
	"time"
)

func TestFinish(t *testing.T) {
	const call = 300 * time.Millisecond
	idle := Line{PerSecond: 100, CallTime: call, Targets: 4}
	loaded := Line{PerSecond: 100, CallTime: call, Targets: 4, Busy: 4}
	loaded.Demand.Add(100, 0)
	chain := []Need{{Service: "a", Pieces: 1}, {Service: "b", After: []int{0}, Pieces: 4}, {Service: "a", Pieces: 0}}
	tests := []struct {
		name  string
		lines map[string]Line
		needs []Need
		want  time.Duration
		ok    bool
	}{
		{"nothing to do", map[string]Line{}, []Need{{Service: "a"}}, 0, true},
		{"idle stages one after the other", map[string]Line{"a": idle, "b": idle}, chain, 2 * call, true},
		{"behind what waits and comes", map[string]Line{"a": loaded, "b": idle}, chain, time.Second + 2*call, true},
		{"what waits later on is worked off meanwhile", map[string]Line{"a": idle, "b": loaded}, chain, time.Second + call, true},
		{"the longest branch counts", map[string]Line{"a": idle, "b": loaded}, []Need{{Service: "a", Pieces: 1}, {Service: "b", Pieces: 1}}, time.Second + call, true},
		{"a stage without targets", map[string]Line{"a": idle, "b": {CallTime: call}}, chain, 0, false},
		{"an unknown stage", map[string]Line{"a": idle}, chain, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Finish(test.lines, test.needs)
			if got != test.want || ok != test.ok {
				t.Errorf("got %v, %v, want %v, %v", got, ok, test.want, test.ok)
			}
		})
	}
}

func TestEmptiedHasNoWait(t *testing.T) {
	line := Line{PerSecond: 10, CallTime: time.Second, Targets: 2, Busy: 2}
	line.Demand.Add(50, 0)
	lines := map[string]Line{"a": line}
	if got, ok := Finish(Emptied(lines), []Need{{Service: "a", Pieces: 1}}); got != time.Second || !ok {
		t.Errorf("got %v, %v", got, ok)
	}
}
