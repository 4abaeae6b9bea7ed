package radishcheck

import (
	"fmt"

	"radishramp.example/radishramp/pkg/radishroute"
)

func (c *checker) checkServices() {
	used := c.usedServices()
	last := make(map[string]int)
	for i, s := range c.source.Services {
		last[s.Name] = i
	}
	for i, s := range c.source.Services {
		path := fmt.Sprintf("services[%d]", i)
		switch {
		case last[s.Name] != i:
			c.warn(path, "replaced by services[%d], which has the same name %s", last[s.Name], s.Name)
		case !used[s.Name]:
			c.warn(path, "no route sends calls or stages to service %s", s.Name)
		}
		if s.MaxConnections < 0 {
			c.fail(path+".max_connections", "negative")
		}
		if s.ColdCallsPerSec < 0 {
			c.fail(path+".cold_calls_per_sec", "negative")
		}
		if s.Batch != nil {
			c.checkBatch(path+".batch", s)
		}
	}
}

func (c *checker) usedServices() map[string]bool {
	used := make(map[string]bool)
	for _, r := range c.cfg.Routes {
		for _, s := range r.Split {
			used[s.Service] = true
		}
		for _, s := range r.Stages {
			used[s.Service] = true
		}
	}
	return used
}

func (c *checker) checkBatch(path string, s *radishroute.Service) {
	b := s.Batch
	c.checkDuration(path+".call_time", b.CallTime)
	c.checkDuration(path+".piece_time", b.PieceTime)
	c.checkDuration(path+".result_ttl", b.ResultTTL)
	if b.ResultMemoryBytes < 0 {
		c.fail(path+".result_memory_bytes", "negative or too large")
	}
	if b.QueueLength < 0 {
		c.fail(path+".queue_length", "negative")
	}
	if b.LinkBytesPerSec < 0 {
		c.fail(path+".link_bytes_per_sec", "negative")
	}
	if shortest := b.CallTime + b.PieceTime; b.ResultTTL > 0 && b.ResultTTL <= shortest {
		c.fail(path+".result_ttl", "results of service %s expire before its shortest call ends, after %v", s.Name, shortest)
	}
}

// keyHolder is the place of an API key.
type keyHolder struct{ team, key int }

func (c *checker) checkTeams() {
	if c.cfg.RequiresKey && len(c.cfg.Teams) == 0 {
		c.warn("teams", "no team has a key, so only routes that are open to all callers can be used")
	}
	holders := make(map[string]keyHolder)
	for i, t := range c.source.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if len(t.Keys) == 0 {
			c.warn(path, "team %s has no key", t.Name)
		}
		for j, key := range t.Keys {
			holder, isHeld := holders[key]
			c.checkKey(fmt.Sprintf("%s.keys[%d]", path, j), i, key, holder, isHeld)
			holders[key] = keyHolder{i, j}
		}
	}
}

// checkKey reports an empty key, and a key that is held by another team or twice by the same one.
func (c *checker) checkKey(path string, team int, key string, holder keyHolder, isHeld bool) {
	switch {
	case key == "":
		c.fail(path, "empty key, so calls without a key count as calls of team %s", c.source.Teams[team].Name)
	case isHeld && holder.team == team:
		c.warn(path, "same key as the team's keys[%d]", holder.key)
	case isHeld:
		c.fail(path, "team %s takes over the key of team %s", c.source.Teams[team].Name, c.source.Teams[holder.team].Name)
	}
}

func (c *checker) checkLimits() {
	l := c.cfg.Limits
	c.checkDuration("limits.header_timeout", l.HeaderTimeout)
	c.checkDuration("limits.idle_timeout", l.IdleTimeout)
	if l.MaxBodyBytes < 0 {
		c.fail("limits.max_body_bytes", "negative")
	}
	if l.MaxHeaderBytes < 0 {
		c.fail("limits.max_header_bytes", "negative")
	}
	if l.MaxHeaderBytes > 0 && l.MaxHeaderBytes < c.source.OwnHeaderBytes {
		c.warn("limits.max_header_bytes", "under the %d bytes that the headers of the protocol need", c.source.OwnHeaderBytes)
	}
}
