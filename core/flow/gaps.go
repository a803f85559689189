package flow

import "time"

// Timeouts after which a silent engine is suspect.
const (
	FirstTokenPatience = 2 * time.Second        // FirstTokenPatience applies until the first token, prefill included.
	MinPatience        = 150 * time.Millisecond // MinPatience is the least timeout between two tokens.
	MaxPatience        = time.Second            // MaxPatience leaves time to resume within the required 3 s.
)

const (
	meanDivisor      = 8 // inverse weight of a new gap in the mean, as in TCP's round-trip estimate
	deviationDivisor = 4 // inverse weight of a new gap in the deviation
	deviationFactor  = 6 // deviations from the mean that are still normal jitter
)

// Gaps estimates the time between an engine's tokens as a moving average and deviation; the zero value has no samples.
type Gaps struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// Patience returns the timeout for the next token, derived from the gaps so far.
func (g Gaps) Patience() time.Duration {
	if g.samples == 0 {
		return MaxPatience
	}
	timeout := 2*g.mean + deviationFactor*g.deviation
	return min(max(timeout, MinPatience), MaxPatience)
}

// WithGap returns the estimate after one more gap.
func (g Gaps) WithGap(gap time.Duration) Gaps {
	if g.samples == 0 {
		return Gaps{mean: gap, deviation: gap / 2, samples: 1}
	}
	difference := gap - g.mean
	if difference < 0 {
		g.deviation += (-difference - g.deviation) / deviationDivisor
	} else {
		g.deviation += (difference - g.deviation) / deviationDivisor
	}
	g.mean += difference / meanDivisor
	g.samples++
	return g
}
