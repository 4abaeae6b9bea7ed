package radishquarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// knownDuration is how long after an answered call its parts count as known.
	knownDuration = time.Minute
	// maxKnownParts limits the parts that are remembered as known.
	maxKnownParts = 16384
	// reviewInterval is how often the groups are determined anew without new evidence, since old evidence expires.
	reviewInterval = time.Second
)

// Quarantine decides which calls may be sent. The zero value is ready to use, and it is safe for concurrent use.
type Quarantine struct {
	// IsTrialVM reports whether this VM is the one that tries a call with the parts of the group again; nil means that it is. It
	// must be set before first use.
	IsTrialVM func(group string) bool

	mu      sync.Mutex
	crashes []*crashRecord
	// answeredAt holds when a call with the part was last answered at this VM.
	answeredAt map[servicePart]time.Time
	// groups and digest are those of the evidence at reviewedAt; isOutdated is whether it has changed since.
	groups     []Group
	digest     uint64
	isOutdated bool
	reviewedAt time.Time
	// triedAt holds when this VM last tried a call with the parts of a group.
	triedAt map[string]time.Time
}

// servicePart is a part of prompts at a service. What one model can process may crash another one.
type servicePart struct{ service, part string }

// Verdict is whether a call may be sent.
type Verdict int

// Verdicts on a call.
const (
	// Allowed is the verdict on a call without a suspected part.
	Allowed Verdict = iota
	// Once is the verdict on a call that may be sent to one target, but not to a second one if the first one ends.
	Once
	// Refused is the verdict on a call that must not be sent.
	Refused
)

// Decision is the verdict on a call and what it is based on.
type Decision struct {
	Verdict Verdict
	// Group is the group whose parts the call contains, unless the verdict is Allowed.
	Group Group
	// RetryAfter is the time until a call with these parts is tried again; 0 unless the verdict is Refused.
	RetryAfter time.Duration
}

// RecordCrash records that the target ended and cut a call with the parts before its response was under way. It reports whether this is
// new evidence.
func (q *Quarantine) RecordCrash(t radish.Target, parts []string, now time.Time) bool {
	crash := Crash{Target: t.Name, Service: t.Service, StartedUnixMilli: t.StartedUnixMilli, At: now}
	for _, id := range parts {
		crash.Parts = append(crash.Parts, Part{ID: id})
	}
	return q.Merge([]Crash{crash}, now)
}

// Merge adds the crashes that a peer reports and reports whether this is new evidence. It ignores reports beyond the limits.
func (q *Quarantine) Merge(crashes []Crash, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	isNew := false
	for i := range crashes {
		if crashes[i].isValid(now) && q.merge(&crashes[i]) {
			isNew = true
		}
	}
	q.isOutdated = q.isOutdated || isNew
	return isNew
}

func (q *Quarantine) merge(crash *Crash) bool {
	record := q.find(crash)
	isNew := record == nil
	if isNew {
		if len(q.crashes) >= MaxCrashes {
			return false
		}
		record = &crashRecord{
			target: crash.Target, service: crash.Service, startedUnixMilli: crash.StartedUnixMilli, at: crash.At, parts: make(map[string]*Part),
		}
		q.crashes = append(q.crashes, record)
	}
	if crash.At.Before(record.at) {
		record.at = crash.At
	}
	if crash.StartedUnixMilli > record.startedUnixMilli {
		record.startedUnixMilli, isNew = crash.StartedUnixMilli, true
	}
	for _, p := range crash.Parts {
		answeredAt, ok := q.answeredAt[servicePart{crash.Service, p.ID}]
		if ok && answeredAt.After(record.at) {
			p.Cleared = true
		} else if ok && record.at.Sub(answeredAt) < knownDuration {
			p.Known = true
		}
		if record.add(p) {
			isNew = true
		}
	}
	return isNew
}

// find returns the record of the crash, or nil if there is none.
func (q *Quarantine) find(crash *Crash) *crashRecord {
	for _, record := range q.crashes {
		if record.isSame(crash) {
			return record
		}
	}
	return nil
}

// expire removes old evidence; if there is too much, it removes the oldest.
func (q *Quarantine) expire(now time.Time) {
	count := len(q.crashes)
	q.crashes = slices.DeleteFunc(q.crashes, func(c *crashRecord) bool { return now.Sub(c.at) > evidenceTTL })
	if len(q.crashes) >= MaxCrashes {
		slices.SortFunc(q.crashes, func(a, b *crashRecord) int { return a.at.Compare(b.at) })
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}
	q.isOutdated = q.isOutdated || len(q.crashes) != count
}

// RecordAnswer records that a target of the service responds to a call with the parts. It reports whether this clears a part.
func (q *Quarantine) RecordAnswer(service string, parts []string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	isNew := false
	for _, id := range parts {
		q.recordKnown(servicePart{service, id}, now)
		for _, c := range q.crashes {
			p := c.parts[id]
			if p != nil && !p.Cleared && c.service == service && c.at.Before(now) {
				p.Cleared = true
				isNew = true
			}
		}
	}
	q.isOutdated = q.isOutdated || isNew
	return isNew
}

func (q *Quarantine) recordKnown(key servicePart, now time.Time) {
	if q.answeredAt == nil {
		q.answeredAt = make(map[servicePart]time.Time)
	}
	if len(q.answeredAt) >= maxKnownParts {
		q.forgetOldParts(now)
	}
	// The ID is a part of a header, which must not be held with it. A map takes over the key also if it has an equal one.
	key.part = strings.Clone(key.part)
	q.answeredAt[key] = now
}

// forgetOldParts removes the parts that count as known no longer, or all if there are none.
func (q *Quarantine) forgetOldParts(now time.Time) {
	for key, at := range q.answeredAt {
		if now.Sub(at) > knownDuration {
			delete(q.answeredAt, key)
		}
	}
	if len(q.answeredAt) >= maxKnownParts {
		clear(q.answeredAt)
	}
}

// Crashes returns the evidence of this VM, for its peers.
func (q *Quarantine) Crashes() []Crash {
	q.mu.Lock()
	defer q.mu.Unlock()
	exported := make([]Crash, len(q.crashes))
	for i, c := range q.crashes {
		exported[i] = c.export(func(*Part) bool { return true })
	}
	return exported
}

// Digest returns a hash of the evidence, which is equal on VMs with the same evidence; 0 if there is none.
func (q *Quarantine) Digest(now time.Time) uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.review(now)
	return q.digest
}

// Groups returns the quarantined parts.
func (q *Quarantine) Groups(now time.Time) []Group {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.review(now)
	return slices.Clone(q.groups)
}

// review determines the groups and the digest if the evidence has changed.
func (q *Quarantine) review(now time.Time) {
	if !q.isOutdated && now.Sub(q.reviewedAt) < reviewInterval {
		return
	}
	q.expire(now)
	q.groups = findGroups(q.crashes)
	q.digest = 0
	for _, c := range q.crashes {
		q.digest += c.digest()
	}
	q.isOutdated, q.reviewedAt = false, now
}

// Check decides whether a call with the parts may be sent. If the verdict is Once, the call counts as a trial.
func (q *Quarantine) Check(parts []string, now time.Time) Decision {
	return q.decide(parts, now, true)
}

// Preview returns what Check would return, without counting the call as a trial.
func (q *Quarantine) Preview(parts []string, now time.Time) Decision {
	return q.decide(parts, now, false)
}

// decide implements Check and Preview; isCounted is whether a call that may be sent once counts as a trial.
func (q *Quarantine) decide(parts []string, now time.Time, isCounted bool) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.review(now)
	decision := Decision{Verdict: Allowed}
	for _, g := range q.groups {
		matching := 0
		for _, id := range g.Parts {
			if slices.Contains(parts, id) {
				matching++
			}
		}
		switch {
		case matching == 0:
		case matching < len(g.Parts):
			// Only such calls show which of the parts it is.
			decision = Decision{Verdict: Once, Group: g}
		default:
			if retryAfter := q.untilTrial(&g, now); retryAfter > 0 {
				return Decision{Verdict: Refused, Group: g, RetryAfter: retryAfter}
			}
			if isCounted {
				q.recordTrial(&g, now)
			}
			decision = Decision{Verdict: Once, Group: g}
		}
	}
	return decision
}

// untilTrial returns the time until this VM may try a call with the group's parts; 0 means now.
func (q *Quarantine) untilTrial(g *Group, now time.Time) time.Duration {
	startAt := g.LastCrash
	if triedAt := q.triedAt[g.key()]; triedAt.After(startAt) {
		startAt = triedAt
	}
	if remaining := startAt.Add(g.trialDelay()).Sub(now); remaining > 0 {
		return remaining
	}
	if q.IsTrialVM != nil && !q.IsTrialVM(g.key()) {
		return firstTrialDelay
	}
	return 0
}

func (q *Quarantine) recordTrial(g *Group, now time.Time) {
	if q.triedAt == nil || len(q.triedAt) > MaxCrashes {
		q.triedAt = make(map[string]time.Time)
	}
	q.triedAt[g.key()] = now
}
