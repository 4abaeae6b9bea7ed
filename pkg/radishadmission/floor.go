package radishadmission

import "time"

const (
	// FloorShare is the share of a service's capacity that each kind of plans keeps, if it asks for so much.
	FloorShare = 0.1
	// maxFloors is the largest share of the capacity that all floors of a dimension take together.
	maxFloors = 0.5
	// maxFloorKeys bounds the records of floors; teams and data centres come from peers.
	maxFloorKeys = 4096
)

// Kind is a group of plans that keeps a floor: those of one priority, team, size or data centre.
type Kind struct {
	Dimension, Value string
}

// Floors records how much of each service's capacity the kinds of plans got. The load that it addresses: so much urgent work that a kind gets
// nothing for as long as it lasts. The zero value is empty.
type Floors struct {
	// got is the moving average of the pieces per second that each kind got.
	got map[floorKey]*average
	// askedAt is when a plan of the kind last asked for capacity, by dimension and value.
	askedAt map[string]map[string]time.Time
}

// floorKey identifies a kind of plans at a service.
type floorKey struct {
	service string
	kind    Kind
}

// Ask records that a plan of the kinds asks for capacity.
func (f *Floors) Ask(kinds []Kind, now time.Time) {
	if f.askedAt == nil {
		f.askedAt = make(map[string]map[string]time.Time)
	}
	for _, k := range kinds {
		values := f.askedAt[k.Dimension]
		if values == nil {
			values = make(map[string]time.Time)
			f.askedAt[k.Dimension] = values
		}
		if _, ok := values[k.Value]; ok || len(values) < maxFloorKeys {
			values[k.Value] = now
		}
	}
}

// Record records that a plan of the kinds gets pieces of the service.
func (f *Floors) Record(service string, kinds []Kind, pieces int, now time.Time) {
	if f.got == nil {
		f.got = make(map[floorKey]*average)
	}
	for _, k := range kinds {
		key := floorKey{service, k}
		got := f.got[key]
		if got == nil {
			if len(f.got) >= maxFloorKeys {
				f.evict(now)
			}
			got = &average{}
			f.got[key] = got
		}
		got.add(float64(pieces), now)
	}
}

// IsBelow reports whether the kind got less than its floor of the service, whose throughput is given in pieces per second.
func (f *Floors) IsBelow(service string, k Kind, perSecond float64, now time.Time) bool {
	got := f.got[floorKey{service, k}]
	return got == nil || got.rate(now) < f.share(k.Dimension, now)*perSecond
}

// share returns the floor of each kind of the dimension as a share of the capacity.
func (f *Floors) share(dimension string, now time.Time) float64 {
	asking := 0
	for value, at := range f.askedAt[dimension] {
		if now.Sub(at) > averageTime {
			delete(f.askedAt[dimension], value)
			continue
		}
		asking++
	}
	return min(FloorShare, maxFloors/float64(max(1, asking)))
}

// evict drops the records of kinds that got nothing within idleTTL, or all records if that does not free space.
func (f *Floors) evict(now time.Time) {
	for key, got := range f.got {
		if now.Sub(got.at) > idleTTL {
			delete(f.got, key)
		}
	}
	if len(f.got) >= maxFloorKeys {
		clear(f.got)
	}
}
