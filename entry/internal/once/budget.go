package once

import "sync/atomic"

const (
	successesPerRetry = 10 // successesPerRetry is how many successful calls pay for one retry.
	initialRetries    = 50
	maxSavedRetries   = 200 // maxSavedRetries bounds the credit, counted in retries.
)

// retryBudget limits retries to a share of the successful calls, so that retries cannot multiply an overload.
type retryBudget struct {
	credit atomic.Int64 // credit counts successful calls; each retry costs successesPerRetry of them.
}

// newRetryBudget returns a budget that allows initialRetries before the first success.
func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.credit.Store(initialRetries * successesPerRetry)
	return b
}

// deposit credits one successful call.
func (b *retryBudget) deposit() {
	if b.credit.Load() < maxSavedRetries*successesPerRetry {
		b.credit.Add(1)
	}
}

// tryWithdraw pays for one retry and reports whether the credit sufficed.
func (b *retryBudget) tryWithdraw() bool {
	for {
		available := b.credit.Load()
		if available < successesPerRetry {
			return false
		}
		if b.credit.CompareAndSwap(available, available-successesPerRetry) {
			return true
		}
	}
}
