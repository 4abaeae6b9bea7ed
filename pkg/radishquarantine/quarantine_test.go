package radishquarantine

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"radishramp.example/radishramp/pkg/radish"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return testStart.Add(d) }

// replay records the crash of one target a second, each of which cuts calls with the parts.
func replay(q *Quarantine, crashes ...[]string) (end time.Time) {
	now := testStart
	for i, parts := range crashes {
		q.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, parts, now)
		now = now.Add(time.Second)
	}
	return now
}

func groupKeys(q *Quarantine, now time.Time) []string {
	var keys []string
	for _, g := range q.Groups(now) {
		keys = append(keys, g.key())
	}
	return keys
}

func TestCommonPartOfCrashesIsQuarantined(t *testing.T) {
	tests := []struct {
		name    string
		crashes [][]string
		want    []string
	}{
		{"two crashes", [][]string{{"a", "harmful"}, {"b", "harmful"}}, nil},
		{"three crashes", [][]string{{"a", "harmful"}, {"b", "harmful"}, {"c", "harmful"}}, []string{"harmful"}},
		{"other calls cut in two of four crashes", [][]string{{"harmful", "x"}, {"harmful", "x"}, {"harmful"}, {"harmful"}}, []string{"harmful"}},
		{"another call cut in three of four crashes", [][]string{{"harmful", "x"}, {"harmful", "x"}, {"harmful", "x"}, {"harmful"}}, []string{"harmful"}},
		{"two parts that are always together", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}}, []string{"a,b"}},
		{"one of two parts also without the other", [][]string{{"a", "b"}, {"a", "b"}, {"a", "b"}, {"b"}}, []string{"b"}},
		{"two causes", [][]string{{"a"}, {"b"}, {"a"}, {"b"}, {"a"}, {"b"}}, []string{"a", "b"}},
		{"nothing in common", [][]string{{"a"}, {"b"}, {"c"}, {"d"}, {"e"}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := &Quarantine{}
			end := replay(q, test.crashes...)
			if got := groupKeys(q, end); !slices.Equal(got, test.want) {
				t.Errorf("quarantined %v, want %v", got, test.want)
			}
		})
	}
}

// TestSoundCallsAreAllowed replays six crashes under calls with one part while sound calls with their other parts are answered.
func TestSoundCallsAreAllowed(t *testing.T) {
	q := &Quarantine{}
	now := testStart
	for i := range 6 {
		q.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, []string{"first", "subject", "harmful"}, now)
		q.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, []string{"first", "subject"}, now)
		q.RecordAnswer("s", []string{"first", "subject"}, now.Add(500*time.Millisecond))
		now = now.Add(time.Second)
	}
	if d := q.Check([]string{"first", "subject"}, now); d.Verdict != Allowed {
		t.Errorf("sound call: verdict %v, group %v", d.Verdict, d.Group)
	}
	if d := q.Check([]string{"first", "subject", "harmful"}, now); d.Verdict != Refused || d.RetryAfter <= 0 {
		t.Errorf("harmful call: verdict %v, retry after %v", d.Verdict, d.RetryAfter)
	}
}

// TestReplayRackFailures replays two failures that end twenty targets at once, with the same calls in flight at all of them.
func TestReplayRackFailures(t *testing.T) {
	q := &Quarantine{}
	for failure := range 2 {
		for i := range 20 {
			now := after(time.Duration(failure)*10*time.Second + time.Duration(i)*10*time.Millisecond)
			q.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, []string{"first", "subject"}, now)
		}
	}
	if got := groupKeys(q, after(20*time.Second)); len(got) > 0 {
		t.Errorf("quarantined %v after two failures", got)
	}
}

func TestKnownPartNeedsMoreCrashes(t *testing.T) {
	q := &Quarantine{}
	q.RecordAnswer("s", []string{"first"}, after(-time.Second))
	var crashes [][]string
	for range minCrashesOfKnownPart - 1 {
		crashes = append(crashes, []string{"first"})
	}
	end := replay(q, crashes...)
	if got := groupKeys(q, end); len(got) > 0 {
		t.Errorf("quarantined %v after %d crashes", got, len(crashes))
	}
	q.RecordCrash(radish.Target{Name: "last", Service: "s"}, []string{"first"}, end)
	if got := groupKeys(q, end); !slices.Equal(got, []string{"first"}) {
		t.Errorf("quarantined %v after %d crashes", got, len(crashes)+1)
	}
}

// TestAnswerOfAnotherServiceClearsNothing has a part crash the targets of one service that another service can process.
func TestAnswerOfAnotherServiceClearsNothing(t *testing.T) {
	q := &Quarantine{}
	end := replay(q, []string{"harmful"}, []string{"harmful"}, []string{"harmful"})
	q.RecordAnswer("other", []string{"harmful"}, end)
	if got := groupKeys(q, end); !slices.Equal(got, []string{"harmful"}) {
		t.Errorf("quarantined %v", got)
	}
}

// TestUndecidedPartsAreSentOnce checks calls with one of two parts that were always together: they may be sent, but not to a second
// target, until it is known which part it is.
func TestUndecidedPartsAreSentOnce(t *testing.T) {
	q := &Quarantine{}
	end := replay(q, []string{"subject", "harmful"}, []string{"subject", "harmful"}, []string{"subject", "harmful"})
	if d := q.Check([]string{"subject", "harmful"}, end); d.Verdict != Refused {
		t.Errorf("call with both parts: verdict %v", d.Verdict)
	}
	for _, part := range []string{"subject", "harmful"} {
		if d := q.Check([]string{part}, end); d.Verdict != Once {
			t.Errorf("call with %s: verdict %v", part, d.Verdict)
		}
	}
	q.RecordCrash(radish.Target{Name: "next", Service: "s"}, []string{"harmful"}, end)
	if d := q.Check([]string{"harmful"}, end); d.Verdict != Refused {
		t.Errorf("harmful call: verdict %v", d.Verdict)
	}
	if d := q.Check([]string{"subject"}, end); d.Verdict != Allowed {
		t.Errorf("sound call: verdict %v", d.Verdict)
	}
}

func TestTrials(t *testing.T) {
	isTrialVM := false
	q := &Quarantine{IsTrialVM: func(string) bool { return isTrialVM }}
	end := replay(q, []string{"p"}, []string{"p"}, []string{"p"})
	lastCrash := end.Add(-time.Second)
	check := func(now time.Time, want Verdict) {
		t.Helper()
		if d := q.Check([]string{"p"}, now); d.Verdict != want {
			t.Errorf("after %v: verdict %v, want %v", now.Sub(lastCrash), d.Verdict, want)
		}
	}
	check(lastCrash.Add(firstTrialDelay-time.Millisecond), Refused)
	check(lastCrash.Add(firstTrialDelay), Refused)
	isTrialVM = true
	trial := lastCrash.Add(firstTrialDelay)
	// A preview takes no trial.
	for range 2 {
		if d := q.Preview([]string{"p"}, trial); d.Verdict != Once {
			t.Errorf("preview: verdict %v, want %v", d.Verdict, Once)
		}
	}
	check(trial, Once)
	check(trial.Add(time.Second), Refused)
	q.RecordCrash(radish.Target{Name: "trial", Service: "s"}, []string{"p"}, trial.Add(2*time.Second))
	check(trial.Add(2*time.Second+2*firstTrialDelay-time.Millisecond), Refused)
	second := trial.Add(2*time.Second + 2*firstTrialDelay)
	check(second, Once)
	if !q.RecordAnswer("s", []string{"p"}, second.Add(time.Second)) {
		t.Error("the answer to the trial is no new evidence")
	}
	check(second.Add(time.Second), Allowed)
}

func TestEvidenceExpires(t *testing.T) {
	q := &Quarantine{}
	end := replay(q, []string{"p"}, []string{"p"}, []string{"p"})
	if got := groupKeys(q, end.Add(evidenceTTL)); len(got) > 0 || q.Digest(end.Add(evidenceTTL)) != 0 {
		t.Errorf("quarantined %v, digest %d", got, q.Digest(end))
	}
}

// TestEvidenceOfPeersIsBounded merges reports beyond the limits.
func TestEvidenceOfPeersIsBounded(t *testing.T) {
	q := &Quarantine{}
	tooMany := make([]Part, MaxPartsPerCrash+1)
	for i := range tooMany {
		tooMany[i].ID = fmt.Sprint(i)
	}
	for name, c := range map[string]Crash{
		"no target":      {Service: "s", At: testStart},
		"long target":    {Target: strings.Repeat("t", MaxIDBytes+1), At: testStart},
		"too many parts": {Target: "t", At: testStart, Parts: tooMany},
		"long part":      {Target: "t", At: testStart, Parts: []Part{{ID: strings.Repeat("p", MaxIDBytes+1)}}},
		"empty part":     {Target: "t", At: testStart, Parts: []Part{{}}},
		"in the future":  {Target: "t", At: after(time.Second)},
		"too old":        {Target: "t", At: after(-2 * evidenceTTL)},
	} {
		if q.Merge([]Crash{c}, testStart) || q.Digest(testStart) != 0 {
			t.Errorf("%s: the report was taken", name)
		}
	}
	for i := range 3 * MaxCrashes {
		q.RecordCrash(radish.Target{Name: fmt.Sprint("target-", i), Service: "s"}, []string{"p"}, after(time.Duration(i)*time.Second))
	}
	if n := len(q.Crashes()); n > MaxCrashes {
		t.Errorf("%d crashes are kept, want at most %d", n, MaxCrashes)
	}
	for i := range 2 * maxKnownParts {
		q.RecordAnswer("s", []string{fmt.Sprint("part-", i)}, testStart)
	}
	if n := len(q.answeredAt); n > maxKnownParts {
		t.Errorf("%d known parts are kept, want at most %d", n, maxKnownParts)
	}
}

// TestOrderOfReportsDoesNotMatter merges the same reports in two orders, some of them twice. Both VMs must then have the same evidence
// and quarantine the same parts.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := after(time.Minute)
		part := rapid.Custom(func(t *rapid.T) Part {
			return Part{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), Known: rapid.Bool().Draw(t, "known"), Cleared: rapid.Bool().Draw(t, "cleared")}
		})
		report := rapid.Custom(func(t *rapid.T) Crash {
			i := rapid.IntRange(0, 7).Draw(t, "crash")
			return Crash{
				Target: fmt.Sprint("target-", i%5), Service: "s", At: after(time.Duration(i) * 2 * time.Second),
				Parts: rapid.SliceOfNDistinct(part, 0, 3, func(p Part) string { return p.ID }).Draw(t, "parts"),
			}
		})
		reports := rapid.SliceOfN(report, 0, 20).Draw(t, "reports")
		shuffled := rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(t, "order")
		first, second := &Quarantine{}, &Quarantine{}
		first.Merge(reports, now)
		for _, r := range shuffled {
			second.Merge([]Crash{r}, now)
		}
		if first.Digest(now) != second.Digest(now) {
			t.Errorf("digests differ: %v and %v", first.Crashes(), second.Crashes())
		}
		if diff := cmp.Diff(first.Groups(now), second.Groups(now)); diff != "" {
			t.Errorf("groups differ: %s", diff)
		}
	})
}
