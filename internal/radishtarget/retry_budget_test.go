package radishtarget

import "testing"

// TestCopiesLeaveHalfOfRetryBudget guards against copies of slow calls that leave no retries for failed ones.
func TestCopiesLeaveHalfOfRetryBudget(t *testing.T) {
	const burst = 10
	b := &RetryBudget{Burst: func() float64 { return burst }}
	if b.AllowCopy("s") {
		t.Error("copy before the first call")
	}
	b.RecordAttempt("s", 0)
	copies := 0
	for b.AllowCopy("s") {
		copies++
	}
	if copies != burst/2+1 {
		t.Errorf("%d copies from a budget of %d", copies, burst)
	}
	b.Return("s")
	if !b.AllowCopy("s") || b.AllowCopy("s") {
		t.Error("a returned retry can be used once")
	}
	if !b.AllowRetry("s") {
		t.Error("no retry is left")
	}
}
