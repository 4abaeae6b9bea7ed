package radishfleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// unevenReplay replays calls of many VMs to targets whose speeds differ.
type unevenReplay struct {
	vms, targets, slots int
	// load is the share of the targets' capacity that the calls take.
	load float64
	// slowness is the time of work at a target relative to the usual one.
	slowness func(target int) float64
	// hasSlowPeriods is whether each target is 2.5 times slower for 15 % of the time, 600 ms at a time.
	hasSlowPeriods bool
	// reportsPace is whether targets report the momentary figure.
	reportsPace bool
	// reportDelay is the time from the end of a call to its VM's learning of the load that the target reports.
	reportDelay time.Duration
	// ignoresSpeeds is whether VMs are told nothing of speeds, so that they choose as before.
	ignoresSpeeds bool
	seed          uint64
	// affinityKeys is the number of prompts by which calls are sent to engines, 0 for plain calls; some are far more frequent.
	affinityKeys int
	duration     time.Duration
}

// replayCachedPrompts is the number of prompts that an engine keeps; the reading of another one takes as long as the rest of the call.
const replayCachedPrompts = 16

const replayCallTime = 100 * time.Millisecond

// replayResult is what callers and targets saw after a third of the time, in which VMs learn.
type replayResult struct {
	p50, p99 time.Duration
	// busiest is the largest share of calls that a target got, relative to the mean; slowShare is the share of calls that went to
	// targets with more than the usual time.
	busiest, slowShare float64
	// kept is the share of calls at an engine that kept the prompt.
	kept float64
}

type hitCount struct{ hits, calls float64 }

func (h *hitCount) add(isHit, counts bool) {
	if !counts {
		return
	}
	h.calls++
	if isHit {
		h.hits++
	}
}

func (h *hitCount) share() float64 { return h.hits / h.calls }

func (r replayResult) String() string {
	return fmt.Sprintf("p50 %v, p99 %v, busiest %.2f times the mean, slow ones %.3f of the calls, prompts kept %.3f",
		r.p50.Round(time.Millisecond), r.p99.Round(time.Millisecond), r.busiest, r.slowShare, r.kept)
}

type replayEvent struct {
	at  time.Time
	run func(now time.Time)
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type replayTarget struct {
	slowness, pace   float64
	running, waiting int
	queue            []func(now time.Time)
	calls            int
	// prompts are those that the engine keeps, the latest last.
	prompts []string
}

// read reports whether the engine keeps the prompt, and keeps it from now on.
func (s *replayTarget) read(prompt string) (isKept bool) {
	if at := slices.Index(s.prompts, prompt); at >= 0 {
		s.prompts = slices.Delete(s.prompts, at, at+1)
		isKept = true
	}
	s.prompts = append(s.prompts, prompt)
	s.prompts = s.prompts[max(0, len(s.prompts)-replayCachedPrompts):]
	return isKept
}

func (r unevenReplay) run(t *testing.T) replayResult {
	t.Helper()
	rnd := rand.New(rand.NewPCG(1, r.seed))
	var events replayEvents
	after := func(now time.Time, d time.Duration, run func(now time.Time)) {
		heap.Push(&events, replayEvent{at: now.Add(d), run: run})
	}
	fleets := make([]*Fleet, r.vms)
	targets := make([]*replayTarget, r.targets)
	capacity := 0.0
	for i := range targets {
		targets[i] = &replayTarget{slowness: r.slowness(i), pace: 1}
		meanPace := 1.0
		if r.hasSlowPeriods {
			r.alternatePace(targets[i], rnd, after)
			meanPace = 1.225
		}
		capacity += float64(r.slots) / (targets[i].slowness * meanPace * replayCallTime.Seconds())
	}
	for vm := range fleets {
		fleets[vm] = &Fleet{DataCentre: "a", rand: rand.New(rand.NewPCG(r.seed, uint64(vm)))}
		for i := range targets {
			record := target(fmt.Sprint(i), "a")
			record.Slots = r.slots
			fleets[vm].Set(record, testStart)
		}
	}
	var times []time.Duration
	var hits hitCount
	learnedAt, end := testStart.Add(r.duration/3), testStart.Add(r.duration)
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		after(now, time.Duration(rnd.ExpFloat64()/(capacity*r.load)*float64(time.Second)), arrive)
		f := fleets[rnd.IntN(r.vms)]
		query := Query{Service: "s"}
		if r.affinityKeys > 0 {
			query.AffinityKey = fmt.Sprint(int(float64(r.affinityKeys) * rnd.Float64() * rnd.Float64()))
		}
		picked, ok := f.Pick(query, now)
		if !ok {
			t.Fatal("no target")
		}
		var i int
		_, _ = fmt.Sscan(picked.Name, &i)
		s := targets[i]
		if now.After(learnedAt) {
			s.calls++
		}
		s.waiting++
		begin := func(begun time.Time) {
			s.waiting--
			s.running++
			isKept := query.AffinityKey == "" || s.read(query.AffinityKey)
			hits.add(isKept, now.After(learnedAt))
			took := time.Duration((0.3 + 0.7*rnd.ExpFloat64()) * s.slowness * s.pace * float64(replayCallTime))
			if !isKept {
				took += time.Duration(s.slowness * s.pace * float64(replayCallTime))
			}
			after(begun, took, func(ended time.Time) {
				s.running--
				if len(s.queue) > 0 && s.running < r.slots {
					next := s.queue[0]
					s.queue = s.queue[1:]
					next(ended)
				}
				if now.After(learnedAt) {
					times = append(times, ended.Sub(now))
				}
				load := radish.TargetLoad{Running: s.running, Waiting: s.waiting, Slots: r.slots, Reported: true}
				if r.reportsPace {
					load.Pace = s.pace
				}
				after(ended, r.reportDelay, func(heard time.Time) { r.hear(f, picked, load, heard.Sub(now), heard) })
			})
		}
		if s.running < r.slots {
			begin(now)
			return
		}
		s.queue = append(s.queue, begin)
	}
	after(testStart, 0, arrive)
	for events[0].at.Before(end) {
		next := heap.Pop(&events).(replayEvent)
		next.run(next.at)
	}
	result := r.summarize(times, targets)
	result.kept = hits.share()
	return result
}

// alternatePace makes the target slow for 600 ms after a time that is random.
func (r unevenReplay) alternatePace(s *replayTarget, rnd *rand.Rand, after func(time.Time, time.Duration, func(time.Time))) {
	const slowTime, slowShare, slowPace = 600 * time.Millisecond, 0.15, 2.5
	var slow func(now time.Time)
	usual := func(now time.Time) {
		s.pace = 1
		after(now, time.Duration(rnd.ExpFloat64()*float64(slowTime)*(1-slowShare)/slowShare), slow)
	}
	slow = func(now time.Time) {
		s.pace = slowPace
		after(now, slowTime, usual)
	}
	after(testStart, time.Duration(rnd.ExpFloat64()*float64(slowTime)/slowShare), slow)
}

// hear tells the VM of the end of its call.
func (r unevenReplay) hear(f *Fleet, t radish.Target, load radish.TargetLoad, took time.Duration, now time.Time) {
	if !r.ignoresSpeeds {
		f.Observe(t, radish.TargetNotice{Load: load}, now)
		f.RecordTiming(t.Name, Timing{Kind: WorkCall, Took: took - r.reportDelay, Units: 1, Waiting: load.Waiting, Pace: load.Pace}, now)
	}
	f.Done(t.Name, Outcome{Load: load}, now)
}

func (r unevenReplay) summarize(times []time.Duration, targets []*replayTarget) replayResult {
	slices.Sort(times)
	most, slow, sum := 0, 0, 0
	for _, s := range targets {
		most, sum = max(most, s.calls), sum+s.calls
		if s.slowness > 1 {
			slow += s.calls
		}
	}
	return replayResult{
		p50: times[len(times)/2], p99: times[len(times)*99/100],
		busiest: float64(most*len(targets)) / float64(sum), slowShare: float64(slow) / float64(sum),
	}
}

func evenSpeed(int) float64 { return 1 }

// quarterSlow makes every fourth target half as fast as the others.
func quarterSlow(target int) float64 {
	if target%4 == 0 {
		return 2
	}
	return 1
}

// alternatingSpeed makes every other target half as fast as the others.
func alternatingSpeed(target int) float64 { return float64(1 + target%2) }

// unevenCase is a replay with the limits that the choice by expected time must keep in comparison with today's.
type unevenCase struct {
	name   string
	replay unevenReplay
	// maxP50 and maxP99 are relative to today's choice.
	maxP50, maxP99 float64
	maxBusiest     float64
}

// TestReplayUnevenTargets replays calls to targets whose speeds differ, with today's choice and with the choice by expected time. It
// guards against calls that are sent to slow targets while others have room, and against VMs that all choose the same target because
// they read the same report.
func TestReplayUnevenTargets(t *testing.T) {
	const reportDelay = 100 * time.Millisecond
	tests := []unevenCase{
		{"fast and slow halves", unevenReplay{vms: 20, targets: 40, slots: 4, load: 0.7, slowness: alternatingSpeed}, 0.85, 0.7, 1.75},
		{"fast and slow halves, reports 100 ms old", unevenReplay{
			vms: 70, targets: 40, slots: 4, load: 0.7, slowness: alternatingSpeed, reportDelay: reportDelay,
		}, 0.4, 0.95, 1.6},
		{"slow periods", unevenReplay{
			vms: 20, targets: 40, slots: 4, load: 0.7, slowness: evenSpeed, hasSlowPeriods: true, reportsPace: true,
		}, 0.9, 0.75, 1.2},
		{"slow periods, reports 100 ms old", unevenReplay{
			vms: 70, targets: 40, slots: 4, load: 0.7, slowness: evenSpeed, hasSlowPeriods: true, reportsPace: true, reportDelay: reportDelay,
		}, 0.3, 0.45, 1.2},
		{"slow periods of fast and slow halves, reports 100 ms old", unevenReplay{
			vms: 70, targets: 40, slots: 4, load: 0.7, slowness: alternatingSpeed, hasSlowPeriods: true, reportsPace: true, reportDelay: reportDelay,
		}, 0.3, 0.35, 1.45},
		{"5 targets with 6 slots", unevenReplay{
			vms: 70, targets: 5, slots: 6, load: 0.75, slowness: evenSpeed, hasSlowPeriods: true, reportsPace: true, reportDelay: reportDelay,
			duration: 5 * time.Minute,
		}, 0.95, 0.9, 1.15},
		{"90 engines of which a quarter has half the speed", unevenReplay{
			vms: 15, targets: 90, slots: 4, load: 0.6, slowness: quarterSlow, hasSlowPeriods: true, reportsPace: true, affinityKeys: 500, reportDelay: reportDelay,
			duration: 24 * time.Second,
		}, 1, 0.7, 2.1},
		{"90 engines of which a quarter has half the speed, learned", unevenReplay{
			vms: 15, targets: 90, slots: 4, load: 0.6, slowness: quarterSlow, affinityKeys: 500, reportDelay: reportDelay,
			duration: 24 * time.Second,
		}, 1, 0.5, 1.8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.replay.duration, test.replay.seed = cmp.Or(test.replay.duration, 30*time.Second), 2
			got := test.replay.run(t)
			test.replay.ignoresSpeeds = true
			today := test.replay.run(t)
			t.Logf("today: %v", today)
			t.Logf("by expected time: %v", got)
			if float64(got.p50) > test.maxP50*float64(today.p50) || float64(got.p99) > test.maxP99*float64(today.p99) || got.busiest > test.maxBusiest {
				t.Errorf("%v, want %.2f and %.2f of today's times (%v) and %.2f times the mean", got, test.maxP50, test.maxP99, today, test.maxBusiest)
			}
		})
	}
}
