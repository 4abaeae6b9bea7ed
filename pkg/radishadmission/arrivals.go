package radishadmission

import (
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

// Arrivals estimates the work that plans of each class will bring, from the plans that asked for capacity in the last seconds. The load that
// it addresses: less urgent plans are admitted between the arrivals of urgent ones and leave no capacity for the next of these. The zero
// value expects nothing.
type Arrivals struct {
	services map[string]*[radishbatch.Classes]average
}

// Record records that a plan of the class asks for pieces of the service, whether it is admitted or not.
func (a *Arrivals) Record(service string, class, pieces int, now time.Time) {
	if a.services == nil {
		a.services = make(map[string]*[radishbatch.Classes]average)
	}
	classes := a.services[service]
	if classes == nil {
		classes = &[radishbatch.Classes]average{}
		a.services[service] = classes
	}
	classes[class].add(float64(pieces), now)
}

// Before returns the expected pieces per second of the classes before the given one.
func (a *Arrivals) Before(service string, class int, now time.Time) float64 {
	classes := a.services[service]
	if classes == nil {
		return 0
	}
	total := 0.0
	for i := range class {
		total += classes[i].rate(now)
	}
	return total
}

// LeftShare returns the share of a service's throughput, in pieces per second, that is left to plans of the class beside the expected arrivals
// of the classes before it. It is at least the floor.
func (a *Arrivals) LeftShare(service string, class int, perSecond float64, now time.Time) float64 {
	return max(FloorShare, 1-a.Before(service, class, now)/max(1, perSecond))
}
