package radishadmission

import (
	"math"
	"time"
)

const (
	// averageTime is the time constant of moving averages. It is longer than a queue, so that a burst of one kind is seen while the
	// plans wait that it competes with, and short enough that a new coordinator knows the load within seconds.
	averageTime = 3 * time.Second
	// idleTTL is the time after which an average without a record is dropped.
	idleTTL = 10 * averageTime
)

// average is a moving average of a rate per second. The zero value is 0.
type average struct {
	perSecond float64
	at        time.Time
}

// add records an amount.
func (a *average) add(amount float64, now time.Time) {
	a.perSecond, a.at = a.rate(now)+amount/averageTime.Seconds(), now
}

// rate returns the average per second.
func (a *average) rate(now time.Time) float64 {
	return a.perSecond * math.Exp(-max(0, now.Sub(a.at)).Seconds()/averageTime.Seconds())
}
