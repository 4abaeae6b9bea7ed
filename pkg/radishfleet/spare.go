package radishfleet

import "time"

// MeanLoad returns the mean over the service's available targets of their calls in relation to their slots, as far as this VM can
// determine it; 0 if there are no such targets.
func (f *Fleet) MeanLoad(service string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	versions := f.versionsFor(service, "", 0, now)
	sum, targets := 0.0, 0
	for _, s := range f.byService[service] {
		if f.isAvailable(s, versions, now) {
			sum += s.load(now) / float64(max(1, s.target.Slots))
			targets++
		}
	}
	if targets == 0 {
		return 0
	}
	return sum / float64(targets)
}
