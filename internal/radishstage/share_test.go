package radishstage

import (
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radishadmission"
)

// TestReplayTeamFarAboveItsShare replays a team that sends ten times as many calls as another one, and more than the capacity. The calls of
// the small team are not refused in favour of those of the large one; without shares, most of them are.
func TestReplayTeamFarAboveItsShare(t *testing.T) {
	load := func(largeTeam, smallTeam string) []callKind {
		kind := func(name, team string, perSecond float64) callKind {
			return callKind{
				name: name, perSecond: perSecond, until: 15 * time.Second, due: 2 * time.Second, stages: chain(4),
				urgency: &radishadmission.Urgency{Priority: 1, Team: team, Value: 1000},
			}
		}
		return []callKind{kind("large", largeTeam, 40), kind("small", smallTeam, 4)}
	}
	before := replayAlone(t, load("one", "one"))
	after := replayAlone(t, load("one", "other"))
	if share := before["small"].share(); share > 0.6 {
		t.Errorf("%.2f of the small team's calls in time without shares: the load is too low", share)
	}
	if share := after["small"].share(); share < 0.9 {
		t.Errorf("%.2f of the small team's calls in time, want nearly all", share)
	}
	inTimeBefore, inTimeAfter := before["large"].inTime+before["small"].inTime, after["large"].inTime+after["small"].inTime
	if inTimeAfter < inTimeBefore*8/10 {
		t.Errorf("%d calls in time, %d without shares", inTimeAfter, inTimeBefore)
	}
}
