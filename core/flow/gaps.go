package flow

import "time"

// Timeouts after which a silent engine is suspect.
const (
	FirstTokenTimeout = 2 * time.Second        // FirstTokenTimeout applies until the first token, prefill included.
	MinTokenTimeout   = 150 * time.Millisecond // MinTokenTimeout is the least timeout between two tokens.
	MaxTokenTimeout   = time.Second            // MaxTokenTimeout leaves time to resume within the required 3 s.
)

const (
	meanDivisor      = 8 // inverse weight of a new gap in the mean, as in TCP's round-trip estimate
	deviationDivisor = 4 // inverse weight of a new gap in the deviation
	deviationFactor  = 6 // deviations from the mean that are still normal jitter
)

// GapEstimate estimates the time between an engine's tokens as a moving average and deviation; the zero value has no
// samples.
type GapEstimate struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

// Timeout returns the timeout for the next token, derived from the gaps so far.
func (g GapEstimate) Timeout() time.Duration {
	if g.samples == 0 {
		return MaxTokenTimeout
	}
	timeout := 2*g.mean + deviationFactor*g.deviation
	return min(max(timeout, MinTokenTimeout), MaxTokenTimeout)
}

// WithGap returns the estimate after one more gap.
func (g GapEstimate) WithGap(gap time.Duration) GapEstimate {
	if g.samples == 0 {
		return GapEstimate{mean: gap, deviation: gap / 2, samples: 1}
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
