package radishbound

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

const msPerSecond = 1000

// limitsOf returns what binds: the time and the room of each stage's targets, and the time of each engine's.
func limitsOf(d *Deployment) ([]Limit, error) {
	if err := check(d); err != nil {
		return nil, err
	}
	var limits []Limit
	for _, name := range slices.Sorted(maps.Keys(d.Stages)) {
		stage := d.Stages[name]
		byTime, byRoom := Limit{Name: name + " time"}, Limit{Name: name + " room"}
		for _, kind := range d.Kinds {
			time, room := stage.needOf(name, kind, d.ReadMs)
			byTime.need = append(byTime.need, time)
			byRoom.need = append(byRoom.need, room)
		}
		limits = append(limits, byTime)
		if stage.RoomBytes > 0 {
			limits = append(limits, byRoom)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Engines)) {
		engine := d.Engines[name]
		limit := Limit{Name: name + " time"}
		for _, kind := range d.Kinds {
			need := 0.0
			if kind.Engine == name {
				need = kind.PerSecond * kind.Tokens / (engine.TokensPerMs * msPerSecond * float64(engine.Targets))
			}
			limit.need = append(limit.need, need)
		}
		limits = append(limits, limit)
	}
	return limits, nil
}

// needOf returns the parts of the targets' time and room that all calls of the kind need in full calls. A result takes up room
// from the begin of its call until it is read.
func (s Stage) needOf(name string, kind Kind, readMs float64) (time, room float64) {
	fullMs := s.CallMs + float64(s.MaxPieces)*s.PieceMs
	for _, need := range kind.Needs {
		if need.Stage != name {
			continue
		}
		work := need.Work
		if work == 0 {
			work = 1
		}
		perSecond := kind.PerSecond * need.Pieces
		time += perSecond * (s.CallMs/float64(s.MaxPieces) + work*s.PieceMs) / msPerSecond / float64(s.Targets)
		if s.RoomBytes > 0 {
			room += perSecond * need.ResultBytes * (fullMs + readMs) / msPerSecond / (s.RoomBytes * float64(s.Targets))
		}
	}
	return time, room
}

// check reports all faults of the deployment at once.
func check(d *Deployment) error {
	var faults []error
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Errorf("%w: %s", ErrDeployment, fmt.Sprintf(format, args...)))
	}
	for name, stage := range d.Stages {
		if stage.Targets <= 0 || stage.MaxPieces <= 0 || stage.CallMs < 0 || stage.PieceMs < 0 || stage.CallMs+stage.PieceMs == 0 || stage.RoomBytes < 0 {
			fault("stage %s needs targets, max_pieces and the times of calls and pieces", name)
		}
	}
	for name, engine := range d.Engines {
		if engine.Targets <= 0 || engine.TokensPerMs <= 0 {
			fault("engine %s needs targets and tokens_per_ms", name)
		}
	}
	if len(d.Kinds) == 0 {
		fault("there are no kinds of calls")
	}
	for _, kind := range d.Kinds {
		if kind.PerSecond <= 0 || kind.Worth <= 0 || kind.Tokens < 0 {
			fault("kind %s needs per_second and worth above 0, and tokens", kind.Name)
		}
		if _, ok := d.Engines[kind.Engine]; !ok && kind.Engine != "" {
			fault("kind %s: there is no engine %s", kind.Name, kind.Engine)
		}
		for _, need := range kind.Needs {
			if _, ok := d.Stages[need.Stage]; !ok {
				fault("kind %s: there is no stage %s", kind.Name, need.Stage)
			}
			if need.Pieces < 0 || need.ResultBytes < 0 || need.Work < 0 {
				fault("kind %s: what it needs of stage %s is below 0", kind.Name, need.Stage)
			}
		}
	}
	return errors.Join(faults...)
}
