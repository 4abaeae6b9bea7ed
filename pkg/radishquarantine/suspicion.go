package radishquarantine

import (
	"slices"
	"time"
)

// IsSuspected reports whether one of the parts was in a call under which a target of the service ended and has not been answered shortly
// before or since. Fewer crashes than for a quarantine suffice: such calls are sent, but not to two targets at the same time.
func (q *Quarantine) IsSuspected(service string, parts []string, now time.Time) bool {
	if len(parts) == 0 {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	return slices.ContainsFunc(q.crashes, func(c *crashRecord) bool {
		return c.service == service && slices.ContainsFunc(parts, func(id string) bool {
			p := c.parts[id]
			return p != nil && !p.Cleared && !p.Known
		})
	}) || q.isInGroup(parts, now)
}

// isInGroup reports whether the parts contain a quarantined group.
func (q *Quarantine) isInGroup(parts []string, now time.Time) bool {
	q.review(now)
	return slices.ContainsFunc(q.groups, func(g Group) bool {
		return !slices.ContainsFunc(g.Parts, func(id string) bool { return !slices.Contains(parts, id) })
	})
}
