package radishpipeline

import (
	"sync"
	"time"
)

// fastestFade moves the fastest time seen towards each slower one, so that it follows a service that slows down.
const fastestFade = 0.05

// Cost is what the stages of one service have taken so far.
type Cost struct {
	Calls  int64         `json:"calls"`
	Failed int64         `json:"failed"`
	Time   time.Duration `json:"time_ns"`

	fastest time.Duration
}

// Costs adds up the cost by service; the zero value is ready and a nil *Costs counts nothing.
type Costs struct {
	mu        sync.Mutex
	byService map[string]*Cost
}

// Add counts one stage.
func (c *Costs) Add(service string, took time.Duration, whole bool) {
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
	if !whole {
		cost.Failed++
		return
	}
	if cost.fastest == 0 || took < cost.fastest {
		cost.fastest = took
		return
	}
	cost.fastest += time.Duration(fastestFade * float64(took-cost.fastest))
}

// Fastest returns about the shortest time that a stage of the service takes; 0 while nothing is known.
func (c *Costs) Fastest(service string) time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if cost := c.byService[service]; cost != nil {
		return cost.fastest
	}
	return 0
}

// Snapshot returns the cost of every service.
func (c *Costs) Snapshot() map[string]Cost {
	c.mu.Lock()
	defer c.mu.Unlock()
	costs := make(map[string]Cost, len(c.byService))
	for name, cost := range c.byService {
		costs[name] = *cost
	}
	return costs
}
