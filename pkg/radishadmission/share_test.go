package radishadmission

import (
	"fmt"
	"testing"
	"time"
)

// TestTeamAboveItsShare replays one team that gets ten times as much as each of two others, and then stops asking.
func TestTeamAboveItsShare(t *testing.T) {
	var s Shares
	now := feed(10, 10, start, func(now time.Time) {
		for team, seconds := range map[string]float64{"large": 1, "a": 0.1, "b": 0.1} {
			s.Ask(team, now)
			s.Record(team, time.Duration(seconds*float64(time.Second)), now)
		}
	})
	large, small := s.Use("large", now), s.Use("a", now)
	if large.Standing != OverShare || large.Share < 0.8 || small.Standing != UnderShare {
		t.Errorf("the large team: %+v, a small one: %+v", large, small)
	}
	if use := s.Use("new", now); use.Standing != UnderShare {
		t.Errorf("a new team: %+v", use)
	}
	now = feed(10, 5, now, func(now time.Time) { s.Ask("a", now) })
	if use := s.Use("a", now); use.Standing != UnderShare || use.FairShare != 1 {
		t.Errorf("the only team that still asks: %+v", use)
	}
}

// TestEqualTeamsAreNotAboveTheirShares checks that teams with equal use are all within their shares.
func TestEqualTeamsAreNotAboveTheirShares(t *testing.T) {
	var s Shares
	now := feed(20, 10, start, func(now time.Time) {
		for _, team := range []string{"a", "b", "c"} {
			s.Ask(team, now)
			s.Record(team, 100*time.Millisecond, now)
			if use := s.Use(team, now); now.Sub(start) > time.Second && use.Standing != UnderShare {
				t.Fatalf("team %s: %+v", team, use)
			}
		}
	})
	s.Record("a", -20*time.Second, now)
	if use := s.Use("a", now); use.Share != 0 {
		t.Errorf("share %.2f after more was given back than recorded, want 0", use.Share)
	}
}

// TestSharesAreBounded checks that names of teams from peers take a bounded amount of memory.
func TestSharesAreBounded(t *testing.T) {
	var s Shares
	for i := range 3 * maxTeams {
		s.Ask(fmt.Sprint(i), start)
		s.Record(fmt.Sprint(i), time.Second, start)
	}
	if len(s.teams) > maxTeams+1 {
		t.Errorf("%d teams, want at most %d", len(s.teams), maxTeams+1)
	}
	s.Ask("new", start.Add(time.Hour))
	if len(s.teams) > 2 {
		t.Errorf("%d teams long after the last plan, want those that still ask", len(s.teams))
	}
}
