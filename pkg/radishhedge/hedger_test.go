package radishhedge

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// TestReplayFewSlowCalls replays a service of which 3 % of the calls take ten times as long as the others: copies must be sent after nearly
// all others have responded and before the slow ones do. It guards against delays that copy usual calls or come too late to help.
func TestReplayFewSlowCalls(t *testing.T) {
	h := &Hedger{Share: 0.05}
	kind := Kind{Service: "s", Route: "r"}
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	for range 2000 {
		took := time.Duration(80+random.IntN(40)) * time.Millisecond
		if random.Float64() < 0.03 {
			took = time.Second
		}
		h.RecordTime(kind, took, now)
		now = now.Add(10 * time.Millisecond)
	}
	e, ok := h.Estimate(kind, now)
	if !ok || e.Delay < 110*time.Millisecond || e.Delay > 125*time.Millisecond || e.Median < 95*time.Millisecond || e.Median > 105*time.Millisecond {
		t.Errorf("estimate %+v, %t", e, ok)
	}
	if !e.IsWorthwhile(now, now.Add(time.Second)) || e.IsWorthwhile(now, now.Add(50*time.Millisecond)) {
		t.Error("a copy is worthwhile if half of the calls respond in the time that is left")
	}
}

// TestReplayOverload replays a service whose calls become ten times slower: the delay must follow within the observed time, so that copies
// are not sent for most of the calls. It guards against delays that stay at the times of an idle service.
func TestReplayOverload(t *testing.T) {
	h := &Hedger{Share: 0.05}
	kind := Kind{Service: "s", Route: "r"}
	now := start
	for i := range 9000 {
		took := 100 * time.Millisecond
		if i >= 3000 {
			took = time.Second
		}
		h.RecordTime(kind, took, now)
		now = now.Add(10 * time.Millisecond)
		if i == 3400 || i == 8999 {
			if e, _ := h.Estimate(kind, now); e.Delay < 990*time.Millisecond {
				t.Errorf("delay %v after %d calls", e.Delay, i)
			}
		}
	}
}

// TestSmallShareDelaysCopies guards against a limit that is spent on calls that are only slightly slow.
func TestSmallShareDelaysCopies(t *testing.T) {
	for share, want := range map[float64]time.Duration{0.2: 950 * time.Millisecond, 0.05: 950 * time.Millisecond, 0.01: 990 * time.Millisecond} {
		h := &Hedger{Share: share}
		for i := range 1000 {
			h.RecordTime(Kind{}, time.Duration(i+1)*time.Millisecond, start)
		}
		if e, _ := h.Estimate(Kind{}, start); (e.Delay - want).Abs() > want/100 {
			t.Errorf("share %v: delay %v, want %v", share, e.Delay, want)
		}
	}
}

// TestNoEstimateWithoutRecentCalls guards against delays from a few calls, from those of another kind or from long ago.
func TestNoEstimateWithoutRecentCalls(t *testing.T) {
	h := &Hedger{Share: 0.05}
	kind := Kind{Service: "s", Route: "r", Size: 1}
	for i := range minObservations {
		if _, ok := h.Estimate(kind, start.Add(time.Duration(i)*time.Second/2)); ok {
			t.Fatalf("estimate after %d calls", i)
		}
		h.RecordTime(kind, time.Second, start.Add(time.Duration(i)*time.Second/2))
	}
	now := start.Add(minObservations * time.Second / 2)
	if _, ok := h.Estimate(kind, now); !ok {
		t.Error("no estimate")
	}
	if _, ok := h.Estimate(Kind{Service: "s", Route: "r", Size: 2}, now); ok {
		t.Error("estimate for another size")
	}
	if _, ok := h.Estimate(kind, now.Add(windows*windowTime)); ok {
		t.Error("estimate from calls that are too long ago")
	}
	h.RecordTime(kind, time.Hour, now.Add(time.Hour))
	if _, ok := h.Estimate(kind, now.Add(time.Hour)); ok {
		t.Error("old calls count after a pause")
	}
}

// TestCopiesStayWithinShare takes every copy that it can get, after bursts and pauses, on one VM and on seventy: the sum must never exceed the
// share of the calls. It guards against a burst that each VM has on top.
func TestCopiesStayWithinShare(t *testing.T) {
	for _, vms := range []int{1, 70} {
		const share = 0.05
		random := rand.New(rand.NewPCG(3, 4))
		hedgers := make([]*Hedger, vms)
		for i := range hedgers {
			hedgers[i] = &Hedger{Share: share}
		}
		calls, copies := 0, 0
		now := start
		for range 200 {
			for range random.IntN(200) {
				h := hedgers[random.IntN(vms)]
				h.RecordCall("s", now)
				calls++
				if h.Take("s", now) {
					copies++
				}
			}
			if float64(copies) > share*float64(calls) {
				t.Fatalf("%d VMs: %d copies of %d calls", vms, copies, calls)
			}
			now = now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
		}
		if vms == 1 && float64(copies) < 0.9*share*float64(calls) {
			t.Errorf("only %d copies of %d calls", copies, calls)
		}
	}
}

// TestUnusedCopiesAreLimited guards against a quiet hour whose unused copies are all sent within a second.
func TestUnusedCopiesAreLimited(t *testing.T) {
	h := &Hedger{Share: 0.5}
	now := start
	for range 3600 {
		h.RecordCall("s", now)
		now = now.Add(100 * time.Millisecond)
	}
	taken := 0
	for h.Take("s", now) {
		taken++
	}
	if taken < 9 || taken > 10 {
		t.Errorf("%d copies at once after 100 calls in 10 s, want a tenth", taken)
	}
	h.Return("s")
	if !h.Take("s", now) || h.Take("s", now) {
		t.Error("a returned copy can be taken once")
	}
	if h.Take("s", now.Add(time.Hour)) || h.Take("other", now) {
		t.Error("copies without calls")
	}
}

// TestKindsAreLimited guards against memory that grows with the number of routes over time.
func TestKindsAreLimited(t *testing.T) {
	h := &Hedger{Share: 0.05}
	for i := range 3 * maxKinds {
		h.RecordTime(Kind{Route: fmt.Sprint(i)}, time.Second, start.Add(time.Duration(i)*time.Second))
	}
	if len(h.times) != maxKinds || h.times[Kind{Route: fmt.Sprint(3*maxKinds - 1)}] == nil {
		t.Errorf("%d kinds", len(h.times))
	}
	bytes := 0
	for _, t := range h.times {
		bytes += (windows + 1) * t.histogram.Current.ByteSize()
	}
	if bytes > 8<<20 {
		t.Errorf("%d bytes", bytes)
	}
}

// TestSizeClass guards against classes that mix very short and very long prompts.
func TestSizeClass(t *testing.T) {
	for tokens, want := range map[int]int{-1: 0, 0: 0, 255: 0, 256: 1, 1023: 1, 1024: 2, 4096: 3, 16384: 4, 65536: 5, 1 << 30: 5} {
		if got := SizeClass(tokens); got != want {
			t.Errorf("class of %d tokens is %d, want %d", tokens, got, want)
		}
	}
}

// TestNilHedgerSendsNoCopies guards against calls that fail because hedging is off.
func TestNilHedgerSendsNoCopies(t *testing.T) {
	var h *Hedger
	h.RecordCall("s", start)
	h.RecordTime(Kind{}, time.Second, start)
	if _, ok := h.Estimate(Kind{}, start); ok || h.Take("s", start) {
		t.Error("a copy without a hedger")
	}
}
