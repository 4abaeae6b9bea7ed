package radishquarantine

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

const (
	// sameCrashWindow is the time within which reports on one target are about the same crash; a restart takes longer.
	sameCrashWindow = 500 * time.Millisecond
	// simultaneousWindow is the time within which crashes count as one, since the failure of a rack or a switch ends many targets
	// at once whatever their calls are.
	simultaneousWindow = 250 * time.Millisecond
	// evidenceTTL is how long a crash is remembered.
	evidenceTTL = 10 * time.Minute
)

// Limits on the evidence that is kept and taken from peers.
const (
	MaxCrashes       = 64
	MaxPartsPerCrash = 256
	// MaxIDBytes limits the IDs of parts and the names of targets and services.
	MaxIDBytes = 128
)

// Crash is the end of a target while calls were in flight there.
type Crash struct {
	Target  string
	Service string
	// StartedUnixMilli is when the target had started, which identifies the crash; 0 means unknown.
	StartedUnixMilli int64
	At               time.Time
	// Parts are the parts of the prompts of the calls that were cut before their responses were under way.
	Parts []Part
}

// Part is a part of the prompt of a call that was cut by a crash.
type Part struct {
	ID string
	// Known is whether a call with the part was answered shortly before the crash.
	Known bool
	// Cleared is whether a call with the part was answered after the crash.
	Cleared bool
}

// crashRecord is the evidence on one crash.
type crashRecord struct {
	target           string
	service          string
	startedUnixMilli int64
	at               time.Time
	parts            map[string]*Part
}

// add merges a part into the record and reports whether it was new.
func (c *crashRecord) add(p Part) bool {
	known := c.parts[p.ID]
	if known == nil {
		if len(c.parts) >= MaxPartsPerCrash {
			return false
		}
		// The ID is a part of a header, which must not be held with it.
		p.ID = strings.Clone(p.ID)
		c.parts[p.ID] = &p
		return true
	}
	isNew := p.Known && !known.Known || p.Cleared && !known.Cleared
	known.Known = known.Known || p.Known
	known.Cleared = known.Cleared || p.Cleared
	return isNew
}

// digest returns a hash of the record that does not depend on times, which differ between VMs.
func (c *crashRecord) digest() uint64 {
	sum := uint64(0)
	for id, p := range c.parts {
		flags := ""
		if p.Known {
			flags += "k"
		}
		if p.Cleared {
			flags += "c"
		}
		sum += radish.RendezvousScore(c.target, strings.Join([]string{c.service, strconv.FormatInt(c.startedUnixMilli, 10), id, flags}, "\x00"))
	}
	return sum
}

// isSame reports whether the report is about this crash. A target crashes once in its life; where its start is not known or not the newest,
// the time decides.
func (c *crashRecord) isSame(crash *Crash) bool {
	if c.target != crash.Target {
		return false
	}
	return c.startedUnixMilli != 0 && c.startedUnixMilli == crash.StartedUnixMilli || c.at.Sub(crash.At).Abs() < sameCrashWindow
}

// export returns the crash with the parts for which the filter holds.
func (c *crashRecord) export(filter func(p *Part) bool) Crash {
	exported := Crash{Target: c.target, Service: c.service, StartedUnixMilli: c.startedUnixMilli, At: c.at}
	for _, p := range c.parts {
		if filter(p) {
			exported.Parts = append(exported.Parts, *p)
		}
	}
	slices.SortFunc(exported.Parts, func(a, b Part) int { return strings.Compare(a.ID, b.ID) })
	return exported
}

// isValid reports whether a crash reported by a peer is within the limits.
func (c *Crash) isValid(now time.Time) bool {
	if c.Target == "" || len(c.Target) > MaxIDBytes || len(c.Service) > MaxIDBytes || len(c.Parts) > MaxPartsPerCrash {
		return false
	}
	if c.At.After(now) || now.Sub(c.At) > evidenceTTL {
		return false
	}
	return !slices.ContainsFunc(c.Parts, func(p Part) bool { return p.ID == "" || len(p.ID) > MaxIDBytes })
}
