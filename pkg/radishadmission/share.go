package radishadmission

import "time"

const (
	// shareTolerance is the factor by which a team's use must exceed its share for the team to be above it, so that teams with equal use
	// do not change places all the time.
	shareTolerance = 1.05
	// maxTeams bounds the number of teams with a record. Plans of further teams are counted together.
	maxTeams = 1024
	// otherTeams is the record of teams beyond maxTeams.
	otherTeams = "\x00others"
)

// Shares records which part of the targets' time the teams got in the last seconds. The load that it addresses: one team sends many times as
// much as the others and gets most of the capacity. The zero value is empty.
type Shares struct {
	teams map[string]*teamUse
}

// teamUse is the use of one team.
type teamUse struct {
	// seconds is the time of targets that the team got.
	seconds average
	// askedAt is when a plan of the team last asked for capacity.
	askedAt time.Time
}

// TeamUse is the use of one team as of a point in time.
type TeamUse struct {
	// Share is the team's share of the time of targets that all asking teams together got.
	Share float64
	// FairShare is the share of each asking team if all had the same.
	FairShare float64
	Standing  Standing
}

// Ask records that a plan of the team asks for capacity.
func (s *Shares) Ask(team string, now time.Time) { s.use(team, now).askedAt = now }

// Record records that the team gets time of targets; a negative time is given back.
func (s *Shares) Record(team string, targetTime time.Duration, now time.Time) {
	s.use(team, now).seconds.add(targetTime.Seconds(), now)
}

// Use returns the use of the team. A team is above its share if it got more than an equal part of what the teams that ask got.
func (s *Shares) Use(team string, now time.Time) TeamUse {
	total, asking := 0.0, 0
	for name, use := range s.teams {
		if now.Sub(use.askedAt) <= averageTime || name == team {
			total += max(0, use.seconds.rate(now))
			asking++
		}
	}
	used := max(0, s.use(team, now).seconds.rate(now))
	u := TeamUse{FairShare: 1 / float64(max(1, asking))}
	if total > 0 {
		u.Share = used / total
	}
	if asking > 1 && u.Share > shareTolerance*u.FairShare {
		u.Standing = OverShare
	}
	return u
}

// use returns the record of the team, or the common one if there are too many teams. It creates the record if there is none.
func (s *Shares) use(team string, now time.Time) *teamUse {
	if s.teams == nil {
		s.teams = make(map[string]*teamUse)
	}
	if s.teams[team] == nil && len(s.teams) >= maxTeams {
		s.evict(now)
	}
	if s.teams[team] == nil && len(s.teams) >= maxTeams {
		team = otherTeams
	}
	use := s.teams[team]
	if use == nil {
		use = &teamUse{askedAt: now}
		s.teams[team] = use
	}
	return use
}

// evict drops the teams that have not asked within idleTTL.
func (s *Shares) evict(now time.Time) {
	for team, use := range s.teams {
		if now.Sub(use.askedAt) > idleTTL {
			delete(s.teams, team)
		}
	}
}
