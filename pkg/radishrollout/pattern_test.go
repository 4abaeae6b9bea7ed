package radishrollout

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// usualTime is the median of the usual times of responses, slowTime what only the bad version exceeds often.
	usualTime = 60 * time.Millisecond
	slowTime  = 250 * time.Millisecond
)

type respondFunc = func(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration)

// usual is a response of a good version: lognormal times and few failures.
func usual(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
	return rng.Float64() < 0.002, false, time.Duration(float64(usualTime) * math.Exp(0.4*rng.NormFloat64()))
}

// failing lets a share of the candidate's calls fail when a condition holds.
func failing(share float64, when func(c *replayCall) bool) respondFunc {
	return func(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
		failed, lost, took = usual(c, rng)
		return failed || c.sample.Candidate && when(c) && rng.Float64() < share, lost, took
	}
}

// slow lets a share of the candidate's calls take several times longer.
func slow(share, factor float64) respondFunc {
	return func(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
		failed, lost, took = usual(c, rng)
		if c.sample.Candidate && rng.Float64() < share {
			took = time.Duration(float64(took) * factor)
		}
		return failed, lost, took
	}
}

func always(*replayCall) bool { return true }

// slowPeriod lets both versions be 4 times slower and fail more often for a quarter of the time.
func slowPeriod(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
	failed, lost, took = usual(c, rng)
	if (c.at/time.Second)%8 < 2 {
		failed, took = failed || rng.Float64() < 0.1, 4*took
	}
	return failed, lost, took
}

// sharedMachines lets each target of either version be 2.5 times slower in periods of 600 ms, 15 % of the time.
func sharedMachines(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
	failed, lost, took = usual(c, rng)
	period := uint64(c.at / (600 * time.Millisecond))
	seed := uint64(len(c.sample.Target)) + uint64(c.sample.Target[len(c.sample.Target)-1])
	if c.sample.Candidate {
		seed += 1000
	}
	if rand.New(rand.NewPCG(period, seed)).Float64() < 0.15 {
		took = time.Duration(2.5 * float64(took))
	}
	return failed, lost, took
}

// noisyTarget lets one target of the candidate be slow and fail often. It is the one that gets the first calls.
func noisyTarget(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
	failed, lost, took = usual(c, rng)
	if c.sample.Candidate && c.sample.Target == "target-0" {
		failed, took = failed || rng.Float64() < 0.3, 3*took
	}
	return failed, lost, took
}

// unrelatedLoss loses responses of the candidate, as a cut link or a target that is down does.
func unrelatedLoss(c *replayCall, rng *rand.Rand) (failed, lost bool, took time.Duration) {
	failed, _, took = usual(c, rng)
	return failed, c.sample.Candidate && (c.at/time.Second)%3 == 0, took
}
