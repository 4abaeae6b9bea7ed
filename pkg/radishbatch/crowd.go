package radishbatch

const (
	// crowdedLoad is from how many full calls of waiting pieces for each of its targets on a data centre can be crowded.
	crowdedLoad = 0.5
	// crowdedFactor is how many times as much must wait there as in the least loaded one.
	crowdedFactor = 2
)

// Place is what waits for the targets of one stage service in a data centre.
type Place struct {
	DataCentre string
	// Bound are the pieces that belong there, Targets the service's targets there, MaxPieces what a call holds.
	Bound     int
	Targets   int
	MaxPieces int
}

// Crowded returns the data centres in which no more calls should begin: for some service more waits there than
// elsewhere, or there is no target.
func Crowded(places []Place) map[string]bool {
	loads := make(map[string]float64)
	missing := make(map[string]bool)
	for _, p := range places {
		if p.Targets == 0 {
			missing[p.DataCentre] = true
			continue
		}
		load := float64(p.Bound) / float64(p.Targets*max(1, p.MaxPieces))
		loads[p.DataCentre] = max(loads[p.DataCentre], load)
	}
	least := -1.0
	for dataCentre, load := range loads {
		if !missing[dataCentre] && (least < 0 || load < least) {
			least = load
		}
	}
	crowded := make(map[string]bool)
	for dataCentre, load := range loads {
		crowded[dataCentre] = least >= 0 && (missing[dataCentre] || load > crowdedLoad && load > crowdedFactor*least)
	}
	return crowded
}
