package health

import (
	"math"
	"time"
)

const (
	suspectFirst = 800 * time.Millisecond // suspectFirst is how long a target is avoided after its first loss; engines of a failure domain are back after a second or so.
	suspectMax   = 4 * time.Second        // suspectMax bounds the doubling of that time.
	halfLife     = 3 * time.Second        // halfLife is the time after which half of a failure rate is forgotten, so that a mended target is tried again.
	weight       = 0.2                    // weight is that of a new outcome in the failure rate and the latency.
	failureCost  = 6                      // failureCost is how much a failure rate of 1 multiplies the cost of a target.
)

// Belief is what is believed of a target; its values are never changed after construction.
type Belief struct {
	failures float64 // failures is the share of failed outcomes at the time of the last one.
	latency  time.Duration
	at       time.Time
	losses   int // losses counts the losses since the last sign of life.
	until    time.Time
	gone     bool // gone tells that another target answers at the address.
}

// Cost grows with the failures and the latency of a target; fallback stands in for a latency that is not known.
func (b Belief) Cost(now time.Time, fallback time.Duration) float64 {
	latency := b.latency
	if latency == 0 {
		latency = fallback
	}
	return latency.Seconds() * (1 + failureCost*b.rate(now))
}

// Latency returns the mean latency of whole answers, or 0 when there was none.
func (b Belief) Latency() time.Duration {
	return b.latency
}

// Suspect tells whether the target is avoided.
func (b Belief) Suspect(now time.Time) bool {
	return b.gone || now.Before(b.until)
}

// Gone tells whether the target has ended for good.
func (b Belief) Gone() bool {
	return b.gone
}

// WithEnd returns the belief after another target answered at the address.
func (b Belief) WithEnd() Belief {
	b.gone = true
	return b
}

// WithFailure returns the belief after a target failed a request by itself.
func (b Belief) WithFailure(now time.Time) Belief {
	b.failures = b.rate(now)*(1-weight) + weight
	b.at = now
	return b
}

// WithLife returns the belief after a sign of life.
func (b Belief) WithLife() Belief {
	b.losses = 0
	b.until = time.Time{}
	return b
}

// WithLoss returns the belief after a target could not be reached or fell silent; it is avoided twice as long each time.
func (b Belief) WithLoss(now time.Time) Belief {
	if b.Suspect(now) {
		return b
	}
	pause := min(suspectFirst<<min(b.losses, 8), suspectMax)
	b.losses++
	b.until = now.Add(pause)
	return b
}

// WithSuccess returns the belief after a whole answer that took a time.
func (b Belief) WithSuccess(now time.Time, took time.Duration) Belief {
	b = b.WithLife()
	b.failures = b.rate(now) * (1 - weight)
	b.at = now
	if b.latency == 0 {
		b.latency = took
	}
	b.latency += time.Duration(weight * float64(took-b.latency))
	return b
}

// rate returns the failure rate, of which half is forgotten in each half-life.
func (b Belief) rate(now time.Time) float64 {
	if b.failures == 0 {
		return 0
	}
	return b.failures * math.Exp2(-now.Sub(b.at).Seconds()/halfLife.Seconds())
}
