package radishbatch

import (
	"testing"
	"time"
)

func TestEstimateDuration(t *testing.T) {
	const batchTime = 300 * time.Millisecond
	idle := Line{PerSecond: 100, CallTime: batchTime, Targets: 4}
	loaded := Line{PerSecond: 100, CallTime: batchTime, Targets: 4, Busy: 4}
	loaded.Demand.Add(100, 0)
	chain := []Need{{Service: "a", Pieces: 1}, {Service: "b", After: []int{0}, Pieces: 4}, {Service: "a", Pieces: 0}}
	tests := []struct {
		name     string
		backlogs map[string]Line
		stages   []Need
		want     time.Duration
		ok       bool
	}{
		{"no pieces", map[string]Line{}, []Need{{Service: "a"}}, 0, true},
		{"sequential stages at idle targets", map[string]Line{"a": idle, "b": idle}, chain, 2 * batchTime, true},
		{"backlog of the first stage adds to the wait", map[string]Line{"a": loaded, "b": idle}, chain, time.Second + 2*batchTime, true},
		{"backlog of the second stage shrinks during the first stage", map[string]Line{"a": idle, "b": loaded}, chain, time.Second + batchTime, true},
		{"longest of two parallel stages", map[string]Line{"a": idle, "b": loaded}, []Need{{Service: "a", Pieces: 1}, {Service: "b", Pieces: 1}}, time.Second + batchTime, true},
		{"stage without targets", map[string]Line{"a": idle, "b": {CallTime: batchTime}}, chain, 0, false},
		{"unknown service", map[string]Line{"a": idle}, chain, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := Finish(test.backlogs, test.stages)
			if got != test.want || ok != test.ok {
				t.Errorf("got %v, %v, want %v, %v", got, ok, test.want, test.ok)
			}
		})
	}
}

func TestIdleTargetsHaveNoQueueingTime(t *testing.T) {
	backlog := Line{PerSecond: 10, CallTime: time.Second, Targets: 2, Busy: 2}
	backlog.Demand.Add(50, 0)
	backlogs := map[string]Line{"a": backlog}
	if got, ok := Finish(Emptied(backlogs), []Need{{Service: "a", Pieces: 1}}); got != time.Second || !ok {
		t.Errorf("got %v, %v, want 1s, true", got, ok)
	}
}
