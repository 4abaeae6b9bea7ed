package radishquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// crashed returns a target with the number, which has started in the given life.
func crashed(i int, life int64) radish.Target {
	return radish.Target{Name: fmt.Sprint("target-", i), Service: "s", StartedUnixMilli: life}
}

// replayLives records the crash of one target a second, each of which cuts calls with the parts.
func replayLives(q *Quarantine, crashes ...[]string) (end time.Time) {
	now := testStart
	for i, parts := range crashes {
		q.RecordCrash(crashed(i, int64(i+1)), parts, now)
		now = now.Add(time.Second)
	}
	return now
}

// TestLastingEvidence guards against evidence that is lost with the VMs, and against the keeping of parts that were cleared or that only one crash
// has, which fill the store.
func TestLastingEvidence(t *testing.T) {
	tests := []struct {
		name     string
		crashes  [][]string
		answered []string
		// want are the parts that are kept, by crash.
		want [][]string
	}{
		{"one crash", [][]string{{"harmful"}}, nil, nil},
		{"two crashes", [][]string{{"a", "harmful"}, {"b", "harmful"}}, nil, [][]string{{"harmful"}, {"harmful"}}},
		{"cleared part", [][]string{{"first", "harmful"}, {"first", "harmful"}}, []string{"first"}, [][]string{{"harmful"}, {"harmful"}}},
		{"nothing in common", [][]string{{"a"}, {"b"}, {"c"}}, nil, nil},
		{"all cleared", [][]string{{"a"}, {"a"}, {"a"}}, []string{"a"}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := &Quarantine{}
			end := replayLives(q, test.crashes...)
			q.RecordAnswer("s", test.answered, end)
			var got [][]string
			for _, c := range q.Lasting(end) {
				var ids []string
				for _, p := range c.Parts {
					ids = append(ids, p.ID)
				}
				got = append(got, ids)
			}
			if !slices.EqualFunc(got, test.want, slices.Equal) {
				t.Errorf("kept %v, want %v", got, test.want)
			}
		})
	}
}

// TestLastingEvidenceIsTakenOver reads the evidence back at a VM that knows nothing and at one that knows it, an hour later by their clocks. The
// first one must refuse the part, and the second one must not count the crashes twice.
func TestLastingEvidenceIsTakenOver(t *testing.T) {
	q := &Quarantine{}
	end := replayLives(q, []string{"a", "harmful"}, []string{"b", "harmful"}, []string{"c", "harmful"})
	lasting := q.Lasting(end)
	shift := func(d time.Duration) []Crash {
		shifted := slices.Clone(lasting)
		for i := range shifted {
			shifted[i].At = shifted[i].At.Add(d)
		}
		return shifted
	}
	started := &Quarantine{}
	started.Merge(shift(time.Hour), end.Add(time.Hour))
	if d := started.Check([]string{"x", "harmful"}, end.Add(time.Hour)); d.Verdict != Refused {
		t.Errorf("VM that starts: verdict %v on a call with the part", d.Verdict)
	}
	if !IsSameEvidence(started.Lasting(end.Add(time.Hour)), lasting) {
		t.Error("what the VM has taken over is not what the store has, so it would be written again")
	}
	if q.Merge(shift(30*time.Second), end.Add(30*time.Second)) || len(q.Crashes()) != 3 {
		t.Errorf("VM that knows the crashes: %d, want 3", len(q.Crashes()))
	}
	if d := q.Check([]string{"a"}, end.Add(30*time.Second)); d.Verdict != Allowed {
		t.Errorf("verdict %v on a call with a part of one crash", d.Verdict)
	}
}

// TestLastingEvidenceIsBounded keeps no more parts than the limit, the most suspect ones.
func TestLastingEvidenceIsBounded(t *testing.T) {
	var many [][]string
	for range 3 {
		parts := []string{"harmful"}
		for i := range 2 * maxLastingParts {
			parts = append(parts, fmt.Sprint("part-", i))
		}
		many = append(many, parts)
	}
	many = append(many, []string{"harmful"})
	q := &Quarantine{}
	end := replayLives(q, many...)
	for _, c := range q.Lasting(end) {
		hasHarmful := slices.ContainsFunc(c.Parts, func(p Part) bool { return p.ID == "harmful" })
		if len(c.Parts) > maxLastingParts || !hasHarmful {
			t.Errorf("%s: %d parts, want at most %d, the worst one among them: %v", c.Target, len(c.Parts), maxLastingParts, hasHarmful)
		}
	}
}

// TestCrashOfUnknownLifeIsNotKept guards against crashes in the store that a VM could take for later ones of the same target.
func TestCrashOfUnknownLifeIsNotKept(t *testing.T) {
	q := &Quarantine{}
	end := replay(q, []string{"p"}, []string{"p"}, []string{"p"})
	if got := q.Lasting(end); len(got) > 0 {
		t.Errorf("kept %v", got)
	}
}
