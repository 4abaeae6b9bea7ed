package radishadmission

import (
	"cmp"
	"math"
	"strings"
	"time"

	"radishramp.example/radishramp/pkg/radishbatch"
)

// Urgency is what decides the order of plans, apart from their due times.
type Urgency struct {
	// Priority is the team's priority or else the route's; 0 is the highest.
	Priority int
	// Team is the name of the team that the call belongs to; empty if it has none.
	Team string
	// Value is the value of the call if it is in time: the size of its prompt and of its longest response, in tokens.
	Value float64
}

// MaxPriority is the lowest priority that is told apart; plans of lower ones are treated like it.
const MaxPriority = (radishbatch.LastClass-radishbatch.FirstClass)/standings - 1

// standings is the number of classes for each priority: one for each [Standing].
const standings = 2

// Standing is whether a team has had more than its share of the capacity.
type Standing int

// Standings of teams, in the order in which their plans run.
const (
	UnderShare Standing = iota
	OverShare
)

// Validated returns the urgency with implausible values replaced. It may come from a peer.
func (u Urgency) Validated() Urgency {
	u.Priority = min(max(0, u.Priority), MaxPriority)
	if math.IsNaN(u.Value) || math.IsInf(u.Value, 0) || u.Value < 0 {
		u.Value = 0
	}
	u.Team = strings.ToValidUTF8(u.Team[:min(len(u.Team), maxTeamBytes)], "")
	return u
}

// maxTeamBytes bounds the names of teams, which are keys of the coordinator's records.
const maxTeamBytes = 128

// ClassOf returns the class of the queued pieces of a plan. Plans without an urgency are in the first class: they wait for no other
// class, and none waits for them longer than their due times require.
func ClassOf(u *Urgency, s Standing) int {
	if u == nil {
		return radishbatch.FirstClass
	}
	return radishbatch.FirstClass + 1 + standings*min(max(0, u.Priority), MaxPriority) + int(s)
}

// Candidate is an admitted plan of which no piece has run.
type Candidate struct {
	// Class is the class of its pieces.
	Class int
	// Density is the value of the plan for each second of a target's time that it takes.
	Density float64
	// Due is when the plan's results are needed.
	Due time.Time
}

// GivesWayBefore orders candidates by who gives way first: the lowest class, then the lowest density, then the latest due time.
func (c Candidate) GivesWayBefore(other Candidate) int {
	return cmp.Or(cmp.Compare(other.Class, c.Class), cmp.Compare(c.Density, other.Density), other.Due.Compare(c.Due))
}
