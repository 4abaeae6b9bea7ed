package radishpipeline

import (
	"sync"
	"time"
)

// minTimeWeight is the weight with which each longer time is averaged into the minimum time of a service's stages, so
// that the minimum adapts to a service that slows down.
const minTimeWeight = 0.05

// Cost is the number of stages that were run on one service and the time that they took.
type Cost struct {
	Calls  int64         `json:"calls"`
	Failed int64         `json:"failed"`
	Time   time.Duration `json:"time_ns"`

	// minTime is the approximate minimum time of a successful stage.
	minTime time.Duration
}

// Costs sums the cost of stages by service. The zero value is ready to use. Add and MinTime accept a nil *Costs:
// nothing is recorded and all minimum times are unknown.
type Costs struct {
	mu        sync.Mutex
	byService map[string]*Cost
}

// Add adds the cost of one stage.
func (c *Costs) Add(service string, took time.Duration, succeeded bool) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byService == nil {
		c.byService = make(map[string]*Cost)
	}
	cost := c.byService[service]
	if cost == nil {
		cost = &Cost{}
		c.byService[service] = cost
	}
	cost.Calls++
	cost.Time += took
	if !succeeded {
		cost.Failed++
		return
	}
	if cost.minTime == 0 || took < cost.minTime {
		cost.minTime = took
		return
	}
	cost.minTime += time.Duration(minTimeWeight * float64(took-cost.minTime))
}

// MinTime returns the approximate minimum time of a stage of the service, or 0 if it is unknown.
func (c *Costs) MinTime(service string) time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cost := c.byService[service]; cost != nil {
		return cost.minTime
	}
	return 0
}

// Snapshot returns a copy of the cost of every service.
func (c *Costs) Snapshot() map[string]Cost {
	c.mu.Lock()
	defer c.mu.Unlock()
	costs := make(map[string]Cost, len(c.byService))
	for name, cost := range c.byService {
		costs[name] = *cost
	}
	return costs
}
