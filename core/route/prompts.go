package route

import (
	"math"
	"time"
)

const (
	minSamples    = 8        // sizes that must be known before prompts can count as mixed
	sampleWeight  = 1.0 / 64 // least weight of a new sample
	mixedSpread   = 0.18     // mean deviation of the logarithm of the sizes from which prompts are mixed
	maxSizeFactor = 4        // bounds the ratio of a size to the typical one
	minSizeFactor = 1.0 / 16

	// rateQuantile is the quantile of the observed rates that is taken for the reading rate. Prompts that waited behind
	// others show lower rates, those that the target had in its cache show higher ones.
	rateQuantile = 0.8
	rateStep     = 0.1 // step of the logarithm of the rate towards an observed one
)

// Prompts is what an instance has learnt of the prompts of one service. The zero value has learnt nothing.
type Prompts struct {
	sizes     int     // sizes counts the sizes up to minSamples and beyond.
	logSize   float64 // logSize is the mean of the logarithm of the sizes.
	deviation float64 // deviation is the mean deviation from it.
	logRate   float64 // logRate is the logarithm of the reading rate, in tokens per nanosecond.
	hasRate   bool
}

// WithSize returns the prompts after one of a number of tokens was sent.
func (p Prompts) WithSize(tokens int) Prompts {
	size := math.Log(float64(max(1, tokens)))
	p.sizes++
	weight := max(sampleWeight, 1/float64(p.sizes))
	p.deviation += weight * (math.Abs(size-p.logSize) - p.deviation)
	if p.sizes == 1 {
		p.deviation = 0 // The first size has no mean to deviate from.
	}
	p.logSize += weight * (size - p.logSize)
	return p
}

// WithRead returns the prompts after the first event of one came some time after it was sent.
func (p Prompts) WithRead(tokens int, took time.Duration) Prompts {
	observed := math.Log(float64(max(1, tokens)) / float64(max(1, took)))
	switch {
	case !p.hasRate:
		p.logRate, p.hasRate = observed, true
	case observed > p.logRate:
		p.logRate = min(observed, p.logRate+rateStep*rateQuantile)
	default:
		p.logRate = max(observed, p.logRate-rateStep*(1-rateQuantile))
	}
	return p
}

// AreMixed reports whether the sizes of the prompts differ so much that long ones delay short ones.
func (p Prompts) AreMixed() bool {
	return p.sizes >= minSamples && p.hasRate && p.deviation >= mixedSpread
}

// Weights returns the weights of the loads of targets for a prompt; elapsed is the time since the ages of reported loads
// were computed. Tokens ahead of a short prompt delay it by many times its own reading time, and streams suffer longer
// from a long prompt that is read beside them.
func (p Prompts) Weights(tokens int, elapsed time.Duration) Weights {
	if tokens == 0 || !p.AreMixed() {
		return PlainWeights()
	}
	factor := min(max(float64(tokens)/math.Exp(p.logSize), minSizeFactor), maxSizeFactor)
	return Weights{
		stream:  mixedStreamCost * factor,
		unread:  costPerUnreadToken / factor,
		replica: mixedStreamCost * factor * costPerReplica,
		rate:    math.Exp(p.logRate),
		elapsed: elapsed,
	}
}
