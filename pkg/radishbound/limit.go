package radishbound

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

const msPerSecond = 1000

// resourcesOf returns the limited resources: the time and the result space of each stage, and the time of each engine.
func resourcesOf(d *Deployment) ([]Resource, error) {
	if err := validate(d); err != nil {
		return nil, err
	}
	var resources []Resource
	for _, name := range slices.Sorted(maps.Keys(d.Stages)) {
		stage := d.Stages[name]
		timeResource, spaceResource := Resource{Name: name + " time"}, Resource{Name: name + " room"}
		for _, kind := range d.Kinds {
			time, space := stage.demandOf(name, kind, d.ReadDelayMs)
			timeResource.demandByKind = append(timeResource.demandByKind, time)
			spaceResource.demandByKind = append(spaceResource.demandByKind, space)
		}
		resources = append(resources, timeResource)
		if stage.ResultSpaceBytes > 0 {
			resources = append(resources, spaceResource)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.Engines)) {
		engine := d.Engines[name]
		resource := Resource{Name: name + " time"}
		for _, kind := range d.Kinds {
			demand := 0.0
			if kind.Engine == name {
				demand = kind.CallsPerSecond * kind.PromptTokens / (engine.TokensPerMs * msPerSecond * float64(engine.Targets))
			}
			resource.demandByKind = append(resource.demandByKind, demand)
		}
		resources = append(resources, resource)
	}
	return resources, nil
}

// demandOf returns the shares of the targets' time and result space that all calls of the kind require when batches are full. A
// result occupies space from the start of its batch until it has been read.
func (s Stage) demandOf(name string, kind CallKind, readMs float64) (time, space float64) {
	fullBatchMs := s.BatchOverheadMs + float64(s.MaxPieces)*s.PieceMs
	for _, work := range kind.Work {
		if work.Stage != name {
			continue
		}
		factor := work.PieceTimeFactor
		if factor == 0 {
			factor = 1
		}
		piecesPerSecond := kind.CallsPerSecond * work.Pieces
		time += piecesPerSecond * (s.BatchOverheadMs/float64(s.MaxPieces) + factor*s.PieceMs) / msPerSecond / float64(s.Targets)
		if s.ResultSpaceBytes > 0 {
			space += piecesPerSecond * work.ResultBytes * (fullBatchMs + readMs) / msPerSecond / (s.ResultSpaceBytes * float64(s.Targets))
		}
	}
	return time, space
}

// validate reports all errors of the deployment at once.
func validate(d *Deployment) error {
	var errs []error
	report := func(format string, args ...any) {
		errs = append(errs, fmt.Errorf("%w: %s", ErrInvalidDeployment, fmt.Sprintf(format, args...)))
	}
	for name, stage := range d.Stages {
		if stage.Targets <= 0 || stage.MaxPieces <= 0 || stage.BatchOverheadMs < 0 || stage.PieceMs < 0 || stage.BatchOverheadMs+stage.PieceMs == 0 || stage.ResultSpaceBytes < 0 {
			report("stage %s: targets, max_pieces and the sum of call_ms and piece_ms must be positive, and no value may be negative", name)
		}
	}
	for name, engine := range d.Engines {
		if engine.Targets <= 0 || engine.TokensPerMs <= 0 {
			report("engine %s: targets and tokens_per_ms must be positive", name)
		}
	}
	if len(d.Kinds) == 0 {
		report("kinds must not be empty")
	}
	for _, kind := range d.Kinds {
		if kind.CallsPerSecond <= 0 || kind.Worth <= 0 || kind.PromptTokens < 0 {
			report("kind %s: per_second and worth must be positive, and tokens must not be negative", kind.Name)
		}
		if _, ok := d.Engines[kind.Engine]; !ok && kind.Engine != "" {
			report("kind %s: unknown engine %s", kind.Name, kind.Engine)
		}
		for _, work := range kind.Work {
			if _, ok := d.Stages[work.Stage]; !ok {
				report("kind %s: unknown stage %s", kind.Name, work.Stage)
			}
			if work.Pieces < 0 || work.ResultBytes < 0 || work.PieceTimeFactor < 0 {
				report("kind %s: no value for stage %s may be negative", kind.Name, work.Stage)
			}
		}
	}
	return errors.Join(errs...)
}
