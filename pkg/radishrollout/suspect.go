package radishrollout

import "time"

const (
	// minSuspectBad is the number of bad responses from which it is judged whether they come from one target.
	minSuspectBad = 4
	// suspectShare is the share of the candidate's bad responses that come from one target if that is suspected.
	suspectShare = 0.8
	// minOthersBad is the number of bad responses that others would have at the suspected target's rate before the rollout goes on.
	// With 6, they have fewer than 3 by chance with a probability of 0.06; 3 are in doubt again.
	minOthersBad = 6
	// settleTime is the time until all VMs avoid the suspected target and its last responses have come.
	settleTime = time.Second
)

// suspect is a target of the candidate whose responses are bad. During the observation a few targets get all calls, so that a
// single faulty one looks like a bad version. It is avoided once, and the comparison begins anew with the others.
type suspect struct {
	target string
	// settledAt is when the comparison begins anew, responses the number of the candidate's responses then.
	settledAt time.Time
	isSettled bool
	responses uint64
	// needed is the number of responses of other targets after which the rollout goes on.
	needed uint64
}

// SuspectTarget returns the candidate's target that must get no calls while the rollout runs, "" if there is none.
func (r *Rollout) SuspectTarget() string { return r.suspect.target }

// updateVerdict sets the verdict if the comparison finds the version bad, unless a single target is suspected and must be avoided first.
func (r *Rollout) updateVerdict(now time.Time) {
	target := suspectOf(r.totals)
	switch {
	case r.suspect.target == "" && target != "" && r.Targets > 1 && r.isInDoubt():
		r.startSuspecting(target, now)
	case r.suspect.target != "" && !r.suspect.isSettled:
		r.settle(now)
	case r.comparison.isBad():
		r.verdict = r.comparison.describe()
	}
}

// startSuspecting avoids the target from now on, here and in the evidence for peers.
func (r *Rollout) startSuspecting(target string, now time.Time) {
	r.suspect = suspect{target: target, settledAt: now.Add(settleTime), needed: minResponses}
	if r.comparison.isDoubtOfFailures() {
		r.suspect.needed = responsesNeeded(r.totals, target)
	}
	r.self().suspect = target
}

// settle begins the comparison anew when no more responses of the suspected target are expected.
func (r *Rollout) settle(now time.Time) {
	if now.Before(r.suspect.settledAt) {
		return
	}
	r.suspect.isSettled = true
	_, r.suspect.responses = r.evidenceCounts()
	r.comparison.restart()
}

// isTryingOthers reports whether too few responses of targets other than the suspected one have come.
func (r *Rollout) isTryingOthers() bool {
	if r.suspect.target == "" {
		return false
	}
	_, responses := r.evidenceCounts()
	return !r.suspect.isSettled || responses < r.suspect.responses+r.suspect.needed
}

// responsesNeeded returns how many responses of other targets show whether they have the named target's rate of bad responses. It
// is used for failures; slow responses come at once when a machine is slow for a moment, so that their rate says little.
func responsesNeeded(totals map[string]*RouteEvidence, target string) uint64 {
	responses, bad := uint64(0), uint64(0)
	for _, counts := range totals {
		if i, ok := counts.findTarget(target); ok {
			responses += counts.Targets[i].Responses
			bad += counts.Targets[i].Bad
		}
	}
	return max(minResponses, minOthersBad*responses/max(1, bad))
}

// suspectOf returns the target from which nearly all bad responses come, "" if there is none.
func suspectOf(totals map[string]*RouteEvidence) string {
	sum, bad := uint64(0), make(map[string]uint64)
	for _, counts := range totals {
		for _, t := range counts.Targets {
			bad[t.Target] += t.Bad
			sum += t.Bad
		}
	}
	for name, n := range bad {
		if n >= minSuspectBad && float64(n) >= suspectShare*float64(sum) {
			return name
		}
	}
	return ""
}
