package radishcheck

import (
	"fmt"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radishroute"
)

// checker collects the findings of a configuration.
type checker struct {
	source   *radishroute.Source
	cfg      *radishroute.Config
	findings []Finding
}

func (c *checker) fail(path, format string, args ...any) {
	c.findings = append(c.findings, failure(path, format, args...))
}

func (c *checker) warn(path, format string, args ...any) {
	c.findings = append(c.findings, warning(path, format, args...))
}

// checkDuration reports durations that are negative, also by overflow.
func (c *checker) checkDuration(path string, d time.Duration) {
	if d < 0 {
		c.fail(path, "negative or too large")
	}
}

func (c *checker) checkRoutes() {
	if len(c.cfg.Routes) == 0 {
		c.fail("routes", "no routes, so no call can be served")
	}
	names := make(map[string]int)
	for i, r := range c.cfg.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if other, ok := names[r.Name]; ok {
			c.warn(path+".name", "also the name of routes[%d], so logs cannot tell them apart", other)
		}
		names[r.Name] = i
		c.checkMatch(path, i)
		c.checkSplit(path, i)
		c.checkAttempts(path, i)
		c.checkStages(path, r)
		c.checkRouteTimes(path, r)
	}
}

// checkMatch reports routes that no call can match.
func (c *checker) checkMatch(path string, index int) {
	r := c.cfg.Routes[index]
	switch {
	case r.Host == "":
		c.warn(path+".host", "route %s has no host, so no call matches it", r.Name)
	case strings.ContainsAny(r.Host, "*/ "):
		c.warn(path+".host", "hosts are compared as a whole, so no call matches route %s", r.Name)
	case strings.LastIndex(r.Host, ":") > strings.LastIndex(r.Host, "]"):
		c.warn(path+".host", "route %s has a port in its host, so no call matches it", r.Name)
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") || strings.ContainsFunc(r.PathPrefix, isNotInPath) {
		c.warn(path+".path_prefix", "not the start of an escaped URL path, so no call matches route %s", r.Name)
	}
	for i, other := range c.cfg.Routes[:index] {
		if other.Host == r.Host && other.PathPrefix == r.PathPrefix {
			c.warn(path, "route %s is hidden by routes[%d] (%s), which has the same host and path prefix", r.Name, i, other.Name)
			return
		}
	}
}

// isNotInPath reports whether the character never occurs in an escaped URL path.
func isNotInPath(r rune) bool { return r <= ' ' || r >= 0x7f || r == '?' || r == '#' }

func (c *checker) checkSplit(path string, index int) {
	r := c.cfg.Routes[index]
	if unused := c.source.RouteEntries[index].UnusedService; unused != "" {
		c.warn(path+".service", "service %s gets no calls of route %s, which are split over other services", unused, r.Name)
	}
	total := 0.0
	for i, s := range r.Split {
		entry := fmt.Sprintf("%s.split[%d]", path, i)
		total += max(0, s.Weight)
		if !c.source.RouteEntries[index].HasSplit {
			entry = path
		}
		if c.cfg.Services[s.Service] == nil {
			c.fail(entry+".service", "route %s sends calls to the unknown service %q", r.Name, s.Service)
		}
		switch {
		case s.Weight < 0:
			c.fail(entry+".weight", "negative weight of service %s", s.Service)
		case s.Weight == 0:
			c.warn(entry+".weight", "service %s gets no calls of route %s", s.Service, r.Name)
		}
	}
	if total == 0 {
		c.fail(path+".split", "all weights of route %s are 0", r.Name)
	}
}

func (c *checker) checkAttempts(path string, index int) {
	r := c.cfg.Routes[index]
	if kind := c.source.RouteEntries[index].UnknownKind; kind != "" {
		c.warn(path+".kind", "unknown kind %s, so calls of route %s run at most once", kind, r.Name)
	}
	if r.MaxAttempts > 1 && !r.IsIdempotent() {
		c.warn(path+".max_attempts", "calls of route %s run at most once, so they are not tried again", r.Name)
	}
	if r.IsResumable && r.Kind != radishroute.KindStream {
		c.warn(path+".is_resumable", "has no effect because route %s has no streams", r.Name)
	}
}

func (c *checker) checkStages(path string, r *radishroute.Route) {
	for i, s := range r.Stages {
		entry := fmt.Sprintf("%s.stages[%d]", path, i)
		service := c.cfg.Services[s.Service]
		switch {
		case service == nil:
			c.fail(entry+".service", "stage %d of route %s runs on the unknown service %q", i, r.Name, s.Service)
		case service.Batch == nil:
			c.fail(entry+".service", "stage %d of route %s runs on service %s, which executes no stages", i, r.Name, s.Service)
		default:
			c.checkResult(entry, s, service.Batch)
		}
	}
}

func (c *checker) checkResult(path string, s radishroute.Stage, batch *radishroute.BatchSettings) {
	if s.ResultBytes < 0 {
		c.fail(path+".result_bytes", "negative")
	}
	if batch.ResultMemoryBytes > 0 && s.ResultBytes > batch.ResultMemoryBytes {
		c.fail(path+".result_bytes", "a result of %d bytes is larger than the %d bytes that a target of service %s has for results", s.ResultBytes, batch.ResultMemoryBytes, s.Service)
	}
}

// checkRouteTimes compares the limits on time of a route with each other and with its stages.
func (c *checker) checkRouteTimes(path string, r *radishroute.Route) {
	c.checkDuration(path+".timeout", r.Timeout)
	c.checkDuration(path+".latency_objective", r.LatencyObjective)
	c.checkDuration(path+".event_gap_objective", r.EventGapObjective)
	if r.Timeout > 0 && r.Timeout < r.LatencyObjective {
		c.warn(path+".timeout", "timeout of route %s is under its latency objective of %v", r.Name, r.LatencyObjective)
	}
	shortest := c.shortestTime(r)
	if r.Timeout > 0 && r.Timeout < shortest {
		c.fail(path+".timeout", "timeout of route %s is under the %v that its stages need", r.Name, shortest)
	}
	if r.LatencyObjective > 0 && r.LatencyObjective < shortest {
		c.warn(path+".latency_objective", "latency objective of route %s is under the %v that its stages need", r.Name, shortest)
	}
}

// shortestTime returns how long the stages of the route take with one piece each and no waiting.
func (c *checker) shortestTime(r *radishroute.Route) time.Duration {
	ends := make([]time.Duration, len(r.Stages))
	longest := time.Duration(0)
	for i, s := range r.Stages {
		for _, after := range s.After {
			ends[i] = max(ends[i], ends[after])
		}
		if service := c.cfg.Services[s.Service]; service != nil && service.Batch != nil {
			ends[i] += service.Batch.CallTime + service.Batch.PieceTime
		}
		longest = max(longest, ends[i])
	}
	return longest
}
