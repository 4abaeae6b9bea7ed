package radishfleet

import (
	"maps"
	"math"
	"time"

	"radishramp.example/radishramp/pkg/radish"
)

// WorkKind is a kind of work. A machine may be slow at one of them only.
type WorkKind int

// Kinds of work.
const (
	// WorkCall is a whole call with a plain response.
	WorkCall WorkKind = iota
	// WorkPrompt is the reading of a prompt, until the first event of a stream.
	WorkPrompt
	// WorkDecode is the production of a stream's events after the first one.
	WorkDecode
	// WorkBatch is a batch of pieces of stages.
	WorkBatch
	workKinds
)

const (
	// speedHalfLife is the half-life of observed times. A VM may send only one call in several seconds to each of 300 targets.
	speedHalfLife = 30 * time.Second
	// minSpeedSamples is the number of observations from which on a target's speed may show that the targets are uneven.
	minSpeedSamples = 8
	// maxTimeRatio limits the weight of a single slow call, and by how much a target's own report can reduce an observed time.
	maxTimeRatio = 8
	// maxSlowness limits how much faster or slower than the mean a target is taken to be. Real machines differ by about two.
	maxSlowness = 4
	// speedRefresh is how often the speeds of a service's targets are compared. Each choice uses the latest comparison.
	speedRefresh = time.Second
	// unevenHold is how long targets count as uneven after the last sign of it, so that the choice does not alternate.
	unevenHold = 10 * time.Second
	// maxTimeClasses limits the classes of a service whose times are known; times of others are ignored.
	maxTimeClasses = 512
	// classTTL is how long a class without observations is remembered.
	classTTL = 10 * speedHalfLife
	// costSampleWeight is the weight of the latest report in the mean expected time at a service.
	costSampleWeight = 0.1
)

// Timing is the time that a piece of work took at a target.
type Timing struct {
	Kind WorkKind
	// Class names the work of which the same amount takes about the same time, such as that of a route. Times are compared with
	// others of the same class only.
	Class string
	// Took is the time that the work took.
	Took time.Duration
	// Units is the amount of the work in a unit of the class.
	Units float64
	// Waiting is the number of waiting calls that the target reported with the response.
	Waiting int
	// Pace is the pace that the target reported with the response, see [radish.TargetLoad]; 0 means not reported.
	Pace float64
}

// decayedMean is a mean in which observations lose half of their weight in speedHalfLife.
type decayedMean struct {
	weight, sum, squares float64
	at                   time.Time
}

// add adds an observation.
func (m *decayedMean) add(x float64, now time.Time) {
	factor := m.decay(now)
	m.weight, m.sum, m.squares = m.weight*factor+1, m.sum*factor+x, m.squares*factor+x*x
	m.at = now
}

// decay returns the factor by which the weights have fallen since the last observation.
func (m *decayedMean) decay(now time.Time) float64 {
	if m.weight == 0 {
		return 0
	}
	return math.Exp2(-now.Sub(m.at).Seconds() / speedHalfLife.Seconds())
}

// serviceSpeeds is what this VM knows about the speeds of a service's targets together.
type serviceSpeeds struct {
	// classes holds the mean time of a unit of work by kind and class.
	classes map[timeClass]*decayedMean
	// spent is the time that was spent on each kind of work, by which their speeds are weighted.
	spent [workKinds]decayedMean
	// meanCost is the moving average of the expected time at the targets that report their load, in times of an average call.
	meanCost float64
	// meanPromptTokens is the moving average of the tokens that a call's engine has to read.
	meanPromptTokens float64
	refreshedAt      time.Time
	unevenUntil      time.Time
}

// timeClass is a class of work whose times are compared. The times of calls and prompts contain the way to the target, which says
// nothing about its speed, so that they are compared within its data centre.
type timeClass struct {
	kind             WorkKind
	name, dataCentre string
}

// speedsOf returns what is known about the service, which it creates if there is nothing.
func (f *Fleet) speedsOf(service string) *serviceSpeeds {
	v := f.speeds[service]
	if v == nil {
		if f.speeds == nil {
			f.speeds = make(map[string]*serviceSpeeds)
		}
		v = &serviceSpeeds{classes: make(map[timeClass]*decayedMean), meanCost: 1}
		f.speeds[service] = v
	}
	return v
}

// RecordTiming learns from the time that work took at a target. The time that the call probably waited, and that by which the
// target's machine was slower than usual, do not count.
func (f *Fleet) RecordTiming(name string, t Timing, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordTiming(f.targets[name], t, now)
}

// RecordBatch learns from the time that a batch of pieces took at a target, for which the configuration gives the expected time. The
// target's latest report is the one with this batch's response, if it reports its load.
func (f *Fleet) RecordBatch(name string, took, expected time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[name]
	if s == nil {
		return
	}
	t := Timing{Kind: WorkBatch, Took: took, Units: expected.Seconds()}
	if s.latest.weight(now) > 0 {
		t.Pace = s.latest.load.Pace
	}
	f.recordTiming(s, t, now)
}

// TimeFactors returns, by name, the expected time of work at each target of the service relative to the usual one, without its queue;
// nil if the targets' speeds do not differ.
func (f *Fleet) TimeFactors(service string, now time.Time) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isUneven(service, now) {
		return nil
	}
	factors := make(map[string]float64, len(f.byService[service]))
	for _, s := range f.byService[service] {
		factors[s.target.Name] = s.relativeSlowness() * s.paceAt(now)
	}
	return factors
}

// recordTiming adds the time to the means of its class and of the target. It ignores a nil target and work without time or units.
func (f *Fleet) recordTiming(s *targetState, t Timing, now time.Time) {
	if s == nil || t.Took <= 0 || t.Units <= 0 {
		return
	}
	v := f.speedsOf(s.target.Service)
	mean := v.classOf(s.target, t)
	if mean == nil {
		return
	}
	delay := plausiblePace(t.Pace) * (1 + s.queueShare(t.Waiting))
	cost := t.Took.Seconds() / t.Units / min(maxTimeRatio, delay)
	mean.add(cost, now)
	s.speeds[t.Kind].add(min(maxTimeRatio, cost/mean.mean()), now)
	v.spent[t.Kind].add(t.Took.Seconds(), now)
}

// classOf returns the mean time of the work's class, or nil if there are too many classes.
func (v *serviceSpeeds) classOf(target radish.Target, t Timing) *decayedMean {
	key := timeClass{kind: t.Kind, name: t.Class}
	if t.Kind == WorkCall || t.Kind == WorkPrompt {
		key.dataCentre = target.DataCentre
	}
	mean := v.classes[key]
	if mean == nil && len(v.classes) < maxTimeClasses {
		mean = &decayedMean{}
		v.classes[key] = mean
	}
	return mean
}

// isUneven reports whether the speeds of the service's targets differ, and compares them again if that is due.
func (f *Fleet) isUneven(service string, now time.Time) bool {
	v := f.speeds[service]
	if v == nil {
		return false
	}
	if now.Sub(v.refreshedAt) >= speedRefresh {
		v.refreshedAt = now
		v.refresh(f.byService[service], now)
	}
	return now.Before(v.unevenUntil)
}

// refresh compares the targets: it updates the slowness of each and whether they are uneven.
func (v *serviceSpeeds) refresh(targets []*targetState, now time.Time) {
	maps.DeleteFunc(v.classes, func(_ timeClass, mean *decayedMean) bool { return now.Sub(mean.at) > classTTL })
	total := 0.0
	for kind := range v.spent {
		total += v.spent[kind].sum * v.spent[kind].decay(now)
	}
	for _, s := range targets {
		s.slowness = 0
	}
	if total == 0 {
		return
	}
	for kind := range v.spent {
		share := v.spent[kind].sum * v.spent[kind].decay(now) / total
		if share > 0 {
			v.compare(targets, WorkKind(kind), share, now)
		}
	}
	for _, s := range targets {
		s.slowness = min(maxSlowness, max(1.0/maxSlowness, s.slowness))
		s.updateHashWeight()
	}
}

// compare adds the targets' slowness at a kind of work, relative to their mean, with the weight that the kind has.
func (v *serviceSpeeds) compare(targets []*targetState, kind WorkKind, weight float64, now time.Time) {
	spread := spreadOf(targets, kind, now)
	if spread.isUneven() {
		v.unevenUntil = now.Add(unevenHold)
	}
	for _, s := range targets {
		s.slowness += weight * spread.relative(&s.speeds[kind], now)
	}
}

// relativeSlowness returns the time of work at the target relative to the mean of its service's targets.
func (s *targetState) relativeSlowness() float64 {
	if s.slowness == 0 {
		return 1
	}
	return s.slowness
}
