package radishfleet

import (
	"math"
	"time"
)

const (
	// minUnevenRatio is the ratio of slow to fast targets from which on the targets of a service are uneven.
	minUnevenRatio = 1.25
	// speedConfidence is the number of standard errors by which the speeds of even targets do not differ by chance, also if the
	// fastest and the slowest of 300 are compared every second.
	speedConfidence = 3
	// varianceConfidence is the same for the variance of the targets' means, whose distribution has a longer tail.
	varianceConfidence = 4
	// minNoise is the least variance of observations, so that equal ones can be compared.
	minNoise = 1e-6
)

// speedSpread compares the speeds of a service's targets at a kind of work, by an analysis of variance: how much the targets' means
// differ, and how much they would differ by chance.
type speedSpread struct {
	// targets is the number of targets with observations; weight is the number of these.
	targets, weight float64
	// mean is the mean of all observations, noise their variance at one target, and between the variance of the targets' means
	// multiplied by the number of observations, which is the noise if all are equally fast.
	mean, noise, between float64
	// slowest and fastest are the ends of the confidence intervals that are nearest to those of the other targets.
	slowest, fastest float64
}

// spreadOf compares the targets at the kind of work; the result is empty if fewer than two have observations.
func spreadOf(targets []*targetState, kind WorkKind, now time.Time) speedSpread {
	spread := speedSpread{fastest: math.Inf(1)}
	sum, within := 0.0, 0.0
	for _, s := range targets {
		m := &s.speeds[kind]
		weight := m.weight * m.decay(now)
		if weight < 1 {
			continue
		}
		spread.targets++
		spread.weight += weight
		sum += weight * m.mean()
		within += weight * m.variance()
		if low, high, ok := m.bounds(now); ok {
			spread.slowest, spread.fastest = max(spread.slowest, low), min(spread.fastest, high)
		}
	}
	if spread.targets < 2 {
		return speedSpread{}
	}
	spread.mean = sum / spread.weight
	spread.noise = max(minNoise, within/max(1, spread.weight-spread.targets))
	for _, s := range targets {
		m := &s.speeds[kind]
		if weight := m.weight * m.decay(now); weight >= 1 {
			difference := m.mean() - spread.mean
			spread.between += weight * difference * difference / (spread.targets - 1)
		}
	}
	return spread
}

// variance returns the variance of the targets' speeds, 0 if they differ no more than by chance.
func (v *speedSpread) variance() float64 {
	if v.targets < 2 {
		return 0
	}
	return max(0, v.between-v.noise) * v.targets / v.weight
}

// isUneven reports whether the targets' speeds differ by more than a quarter and not by chance: in their standard deviation, or
// between the slowest and the fastest one.
func (v *speedSpread) isUneven() bool {
	if v.targets < 2 || v.weight < minSpeedSamples*v.targets/2 {
		return false
	}
	deviation := math.Sqrt(v.variance()) / v.mean
	isSignificant := v.between > v.noise*(1+varianceConfidence*math.Sqrt(2/(v.targets-1)))
	return isSignificant && 1+deviation > minUnevenRatio*(1-deviation) || v.slowest > minUnevenRatio*v.fastest
}

// relative returns the time of work at a target relative to the mean. A target with few observations is taken to be near the mean,
// the nearer the less the targets differ in comparison with the noise.
func (v *speedSpread) relative(m *decayedMean, now time.Time) float64 {
	variance := v.variance()
	if variance == 0 || m.weight == 0 {
		return 1
	}
	prior := v.noise / variance
	weight := m.weight * m.decay(now)
	return (prior + weight*m.mean()/v.mean) / (prior + weight)
}

func (m *decayedMean) mean() float64 { return m.sum / m.weight }

func (m *decayedMean) variance() float64 { return max(0, m.squares/m.weight-m.mean()*m.mean()) }

// bounds returns an interval that contains the mean with high confidence; ok is false if there are too few observations.
func (m *decayedMean) bounds(now time.Time) (low, high float64, ok bool) {
	weight := m.weight * m.decay(now)
	if weight < minSpeedSamples {
		return 0, 0, false
	}
	margin := speedConfidence * math.Sqrt(m.variance()/weight)
	return m.mean() - margin, m.mean() + margin, true
}
