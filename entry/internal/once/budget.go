package once

import "sync/atomic"

const (
	retryShare  = 10  // retryShare is the number of successes that earn one retry.
	budgetStart = 50  // budgetStart is the retries that a new instance has.
	budgetMax   = 200 // budgetMax bounds the retries saved up.
)

// budget bounds retries to a share of successes, so that they cannot multiply an overload.
type budget struct {
	tenths atomic.Int64 // tenths counts successes not yet spent, a retry costing retryShare.
}

// newBudget returns a budget with some retries in it.
func newBudget() *budget {
	b := &budget{}
	b.tenths.Store(budgetStart * retryShare)
	return b
}

// earn adds a success.
func (b *budget) earn() {
	if b.tenths.Load() < budgetMax*retryShare {
		b.tenths.Add(1)
	}
}

// spend takes a retry if there is one.
func (b *budget) spend() bool {
	for {
		have := b.tenths.Load()
		if have < retryShare {
			return false
		}
		if b.tenths.CompareAndSwap(have, have-retryShare) {
			return true
		}
	}
}
