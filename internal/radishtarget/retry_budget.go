package radishtarget

import "sync"

// Defaults of retry budgets.
const (
	// DefaultRetryBudgetRatio is the ratio of retries to first attempts that applies if no rule sets another one.
	DefaultRetryBudgetRatio = 0.1
	// defaultRetryBurst is the maximum number of unused retries that a service accumulates.
	defaultRetryBurst = 10.0
)

// RetryBudget limits the ratio of retries to first attempts with one token bucket per service. The zero value is ready
// to use.
type RetryBudget struct {
	// Burst returns the size of a service's bucket, which starts full. If it is nil, the size is a fixed default and
	// the bucket starts with one retry.
	Burst func() float64

	mu     sync.Mutex
	tokens map[string]float64
}

// RecordAttempt adds the retries, a fraction of one, that a first attempt of the service allows.
func (b *RetryBudget) RecordAttempt(service string, ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = make(map[string]float64)
	}
	burst := b.burst()
	tokens, known := b.tokens[service]
	if !known {
		tokens = b.initialTokens(burst)
	}
	b.tokens[service] = min(burst, tokens+ratio)
}

// initialTokens returns the number of retries that a service may use before its first attempt.
func (b *RetryBudget) initialTokens(burst float64) float64 {
	if b.Burst == nil {
		return 1
	}
	return burst
}

func (b *RetryBudget) burst() float64 {
	if b.Burst == nil {
		return defaultRetryBurst
	}
	return b.Burst()
}

// AllowRetry uses one retry of the service's budget and reports whether one was available.
func (b *RetryBudget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// minCopyShare is the part of a full bucket that must be left for a copy of a call that has not failed: retries of failed calls come first.
const minCopyShare = 0.5

// AllowCopy uses one retry of the service's budget for a copy of a call and reports whether this was possible.
func (b *RetryBudget) AllowCopy(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.tokens[service]
	if tokens < 1 || tokens < minCopyShare*b.burst() {
		return false
	}
	b.tokens[service]--
	return true
}

// Return gives back a retry that was not sent.
func (b *RetryBudget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[service] = min(b.burst(), b.tokens[service]+1)
}
