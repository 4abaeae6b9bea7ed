package radishbatch

import (
	"testing"
	"time"
)

func TestEstimateDuration(t *testing.T) {
	const batchTime = 300 * time.Millisecond
	idle := Backlog{PiecesPerSecond: 100, TypicalBatchTime: batchTime, Targets: 4}
	loaded := Backlog{PiecesPerSecond: 100, TypicalBatchTime: batchTime, Targets: 4, BusyTargets: 4}
	loaded.Demand.Add(100, 0)
	chain := []StageWork{{Service: "a", Pieces: 1}, {Service: "b", DependsOn: []int{0}, Pieces: 4}, {Service: "a", Pieces: 0}}
	tests := []struct {
		name     string
		backlogs map[string]Backlog
		stages   []StageWork
		want     time.Duration
		ok       bool
	}{
		{"no pieces", map[string]Backlog{}, []StageWork{{Service: "a"}}, 0, true},
		{"sequential stages at idle targets", map[string]Backlog{"a": idle, "b": idle}, chain, 2 * batchTime, true},
		{"backlog of the first stage adds to the wait", map[string]Backlog{"a": loaded, "b": idle}, chain, time.Second + 2*batchTime, true},
		{"backlog of the second stage shrinks during the first stage", map[string]Backlog{"a": idle, "b": loaded}, chain, time.Second + batchTime, true},
		{"longest of two parallel stages", map[string]Backlog{"a": idle, "b": loaded}, []StageWork{{Service: "a", Pieces: 1}, {Service: "b", Pieces: 1}}, time.Second + batchTime, true},
		{"stage without targets", map[string]Backlog{"a": idle, "b": {TypicalBatchTime: batchTime}}, chain, 0, false},
		{"unknown service", map[string]Backlog{"a": idle}, chain, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got, ok := EstimateDuration(test.backlogs, test.stages)
			if got != test.want || ok != test.ok {
				t.Errorf("got %v, %v, want %v, %v", got, ok, test.want, test.ok)
			}
		})
	}
}

func TestIdleTargetsHaveNoQueueingTime(t *testing.T) {
	backlog := Backlog{PiecesPerSecond: 10, TypicalBatchTime: time.Second, Targets: 2, BusyTargets: 2}
	backlog.Demand.Add(50, 0)
	backlogs := map[string]Backlog{"a": backlog}
	if got, ok := EstimateDuration(Unloaded(backlogs), []StageWork{{Service: "a", Pieces: 1}}); got != time.Second || !ok {
		t.Errorf("got %v, %v, want 1s, true", got, ok)
	}
}
