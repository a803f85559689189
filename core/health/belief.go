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

// Belief is the estimated health of a target; its values are never changed after construction.
type Belief struct {
	failureRate  float64 // share of failed outcomes as of updatedAt
	latency      time.Duration
	updatedAt    time.Time
	losses       int // since the last sign of life
	suspectUntil time.Time
	replaced     bool // another target answers at the address
}

// Cost returns the cost of using the target, which grows with its failure rate and its latency; fallback replaces an
// unknown latency.
func (b Belief) Cost(now time.Time, fallback time.Duration) float64 {
	latency := b.latency
	if latency == 0 {
		latency = fallback
	}
	return latency.Seconds() * (1 + failureCostFactor*b.decayedFailureRate(now))
}

// Latency returns the average latency of complete answers, or 0 before the first.
func (b Belief) Latency() time.Duration {
	return b.latency
}

// Suspect reports whether the target is to be avoided.
func (b Belief) Suspect(now time.Time) bool {
	return b.replaced || now.Before(b.suspectUntil)
}

// Gone reports whether another target has replaced this one at its address.
func (b Belief) Gone() bool {
	return b.replaced
}

// WithEnd returns the belief after another target answered at the address.
func (b Belief) WithEnd() Belief {
	b.replaced = true
	return b
}

// WithFailure returns the belief after the target was reached but failed a request.
func (b Belief) WithFailure(now time.Time) Belief {
	b.failureRate = b.decayedFailureRate(now)*(1-sampleWeight) + sampleWeight
	b.updatedAt = now
	return b
}

// WithLife returns the belief after a sign of life.
func (b Belief) WithLife() Belief {
	b.losses = 0
	b.suspectUntil = time.Time{}
	return b
}

// WithLoss returns the belief after the target was unreachable or timed out. Each loss doubles the time for which it is
// avoided, but a loss while it is suspect has no effect.
func (b Belief) WithLoss(now time.Time) Belief {
	if b.Suspect(now) {
		return b
	}
	suspicion := min(minSuspicion<<min(b.losses, 8), maxSuspicion)
	b.losses++
	b.suspectUntil = now.Add(suspicion)
	return b
}

// WithSuccess returns the belief after a complete answer.
func (b Belief) WithSuccess(now time.Time, duration time.Duration) Belief {
	b = b.WithLife()
	b.failureRate = b.decayedFailureRate(now) * (1 - sampleWeight)
	b.updatedAt = now
	if b.latency == 0 {
		b.latency = duration
	}
	b.latency += time.Duration(sampleWeight * float64(duration-b.latency))
	return b
}

// decayedFailureRate returns the failure rate, halved once for each half-life since the last outcome.
func (b Belief) decayedFailureRate(now time.Time) float64 {
	if b.failureRate == 0 {
		return 0
	}
	return b.failureRate * math.Exp2(-now.Sub(b.updatedAt).Seconds()/failureHalfLife.Seconds())
}
