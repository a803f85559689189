package health

import (
	"math"
	"time"
)

const (
	minSuspicion      = 800 * time.Millisecond // after the first loss; engines of a lost domain are back in about 1 s
	maxSuspicion      = 4 * time.Second        // bounds the doubling with each further loss
	failureHalfLife   = 3 * time.Second        // lets the failure rate decay, so that a recovered target is tried again
	sampleWeight      = 0.2                    // of a new outcome in the EWMAs of failure rate and latency
	failureCostFactor = 6                      // a failure rate of 1 adds this many times the latency to the cost
)

// Estimate is the estimated health of a target; its values are never changed after construction.
type Estimate struct {
	failureRate  float64 // share of failed outcomes as of updatedAt
	latency      time.Duration
	updatedAt    time.Time
	losses       int // since the last sign of life
	suspectUntil time.Time
	replaced     bool // another target answers at the address
}

// Cost returns the cost of using the target, which grows with its failure rate and its latency; fallback replaces an
// unknown latency.
func (e Estimate) Cost(now time.Time, fallback time.Duration) float64 {
	latency := e.latency
	if latency == 0 {
		latency = fallback
	}
	return latency.Seconds() * (1 + failureCostFactor*e.decayedFailureRate(now))
}

// IsReplaced reports whether another target has replaced this one at its address.
func (e Estimate) IsReplaced() bool {
	return e.replaced
}

// IsSuspect reports whether the target is to be avoided.
func (e Estimate) IsSuspect(now time.Time) bool {
	return e.replaced || now.Before(e.suspectUntil)
}

// Latency returns the average latency of complete answers, or 0 before the first.
func (e Estimate) Latency() time.Duration {
	return e.latency
}

// WithFailure returns the estimate after the target was reached but failed a request.
func (e Estimate) WithFailure(now time.Time) Estimate {
	e.failureRate = e.decayedFailureRate(now)*(1-sampleWeight) + sampleWeight
	e.updatedAt = now
	return e
}

// WithLoss returns the estimate after the target was unreachable or timed out. Each loss doubles the time for which it
// is avoided, but a loss while it is suspect has no effect.
func (e Estimate) WithLoss(now time.Time) Estimate {
	if e.IsSuspect(now) {
		return e
	}
	suspicion := min(minSuspicion<<min(e.losses, 8), maxSuspicion)
	e.losses++
	e.suspectUntil = now.Add(suspicion)
	return e
}

// WithReplacement returns the estimate after another target answered at the address.
func (e Estimate) WithReplacement() Estimate {
	e.replaced = true
	return e
}

// WithSignOfLife returns the estimate after a sign of life.
func (e Estimate) WithSignOfLife() Estimate {
	e.losses = 0
	e.suspectUntil = time.Time{}
	return e
}

// WithSuccess returns the estimate after a complete answer.
func (e Estimate) WithSuccess(now time.Time, duration time.Duration) Estimate {
	e = e.WithSignOfLife()
	e.failureRate = e.decayedFailureRate(now) * (1 - sampleWeight)
	e.updatedAt = now
	if e.latency == 0 {
		e.latency = duration
	}
	e.latency += time.Duration(sampleWeight * float64(duration-e.latency))
	return e
}

// decayedFailureRate returns the failure rate, halved once for each half-life since the last outcome.
func (e Estimate) decayedFailureRate(now time.Time) float64 {
	if e.failureRate == 0 {
		return 0
	}
	return e.failureRate * math.Exp2(-now.Sub(e.updatedAt).Seconds()/failureHalfLife.Seconds())
}
