package radishrelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"radishramp.example/radishramp/pkg/radish"
	"radishramp.example/radishramp/pkg/radishhedge"
	"radishramp.example/radishramp/pkg/radishroute"
)

const (
	replayCalls = 4000
	// replayShare is the limit on copies in replays.
	replayShare = 0.05
)

// replayTargets are targets with one queue each, whose calls take usually 50 to 100 ms.
type replayTargets struct {
	mu     sync.Mutex
	random *rand.Rand
	freeAt map[string]time.Time
	// slots is the number of calls that a target works on at a time; 0 means no limit.
	slots float64
	// slowness returns the factor by which work at the target takes longer.
	slowness func(target string, random *rand.Rand, now time.Time) float64
}

func (r *replayTargets) respond(ctx context.Context, req *radish.ForwardRequest) (*radish.TargetResponse, error) {
	return after(r.timeOf(req.Target.Name), respondsWith(http.StatusOK, "body"))(ctx, req)
}

func (r *replayTargets) timeOf(target string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	work := time.Duration((50 + 50*r.random.Float64()) * r.slowness(target, r.random, now) * float64(time.Millisecond))
	if r.slots == 0 {
		return work
	}
	if r.freeAt == nil {
		r.freeAt = make(map[string]time.Time)
	}
	startsAt := r.freeAt[target]
	if startsAt.Before(now) {
		startsAt = now
	}
	r.freeAt[target] = startsAt.Add(time.Duration(float64(work) / r.slots))
	return startsAt.Add(work).Sub(now)
}

// replayResult is what callers and targets saw in a replay. The times are those of the second half; the first half is for learning.
type replayResult struct {
	p99, max time.Duration
	copies   int
	answered int
}

// replay sends calls at the interval.
func replay(t *testing.T, share float64, interval time.Duration, targets *replayTargets) replayResult {
	var result replayResult
	synctest.Test(t, func(t *testing.T) {
		targets.random = rand.New(rand.NewPCG(5, 6))
		relay, forwarder := newRelay(&radishroute.Route{Name: "r", Kind: radishroute.KindIdempotent, MaxAttempts: 2}, targets.respond)
		relay.RetryRatio = func() float64 { return 0.2 }
		if share > 0 {
			relay.Hedger = &radishhedge.Hedger{Share: share}
		}
		var took []time.Duration
		var mu sync.Mutex
		var group sync.WaitGroup
		for i := range replayCalls {
			group.Go(func() {
				call := newCall()
				w := handle(t.Context(), relay, call)
				mu.Lock()
				defer mu.Unlock()
				if i >= replayCalls/2 {
					took = append(took, time.Since(call.ReceivedAt))
				}
				if w.status == http.StatusOK {
					result.answered++
				}
			})
			time.Sleep(interval)
		}
		group.Wait()
		slices.Sort(took)
		result.p99, result.max = took[len(took)*99/100], took[len(took)-1]
		result.copies = len(forwarder.sends) - replayCalls
	})
	return result
}

// TestReplaySlowResponses replays services without and with hedging. Where a few responses are slow, copies must shorten the slowest; under
// overload they must not be sent. It guards against copies that do not help, that exceed the limit, or that make an overload worse.
func TestReplaySlowResponses(t *testing.T) {
	slowCalls := func(_ string, random *rand.Rand, _ time.Time) float64 {
		if random.Float64() < 0.03 {
			return 10
		}
		return 1
	}
	slowPeriods := func(target string, _ *rand.Rand, now time.Time) float64 {
		// Each target is slow for 0.6 s of every 5 s, at a time of its own.
		if now.Add(time.Duration(target[1])*time.Second).UnixMilli()%5_000 < 600 {
			return 6
		}
		return 1
	}
	// The clock of a test begins at a full hour.
	allSlowLater := func(_ string, _ *rand.Rand, now time.Time) float64 {
		if now.Minute() > 0 {
			return 10
		}
		return 1
	}
	usual := func(string, *rand.Rand, time.Time) float64 { return 1 }
	tests := []struct {
		name     string
		interval time.Duration
		slots    float64
		slowness func(string, *rand.Rand, time.Time) float64
		// maxP99Share is the largest p99 with hedging in relation to that without.
		maxP99Share float64
		maxCopies   float64
	}{
		{"a few slow calls", 20 * time.Millisecond, 0, slowCalls, 0.5, replayShare},
		{"slow periods", 20 * time.Millisecond, 0, slowPeriods, 0.45, replayShare},
		{"all calls become slow", 20 * time.Millisecond, 0, allSlowLater, 1.05, replayShare},
		// Five targets with four calls at a time serve one call in 3.75 ms.
		{"overload", 3 * time.Millisecond, 4, usual, 1.05, 0.002},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			without := replay(t, 0, test.interval, &replayTargets{slots: test.slots, slowness: test.slowness})
			with := replay(t, replayShare, test.interval, &replayTargets{slots: test.slots, slowness: test.slowness})
			t.Logf("without hedging %+v, with %+v", without, with)
			if without.copies > 0 {
				t.Errorf("%d copies without hedging", without.copies)
			}
			if float64(with.copies) > test.maxCopies*replayCalls {
				t.Errorf("%d copies of %d calls", with.copies, replayCalls)
			}
			if with.answered < without.answered {
				t.Errorf("%d calls answered with hedging, %d without", with.answered, without.answered)
			}
			if float64(with.p99) > test.maxP99Share*float64(without.p99) {
				t.Errorf("p99 of %v with hedging, %v without", with.p99, without.p99)
			}
		})
	}
}
