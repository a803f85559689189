package flow

import "time"

// Bounds of the silence that makes an engine suspect.
const (
	FirstTokenPatience = 2 * time.Second        // FirstTokenPatience is the wait for the first token of an attempt, prefill included.
	MinPatience        = 150 * time.Millisecond // MinPatience is the shortest silence that counts.
	MaxPatience        = time.Second            // MaxPatience keeps detection within the users' 3 s resume bound.
)

const (
	gapWeight    = 8 // gapWeight is the inverse weight of a new gap in the mean, as in TCP's round-trip estimate.
	gapSpread    = 4 // gapSpread is the inverse weight of a new gap in the deviation.
	gapTolerance = 6 // gapTolerance is the number of deviations that normal jitter may reach.
)

// Gaps estimates the time between an engine's tokens; the zero value knows none.
type Gaps struct {
	mean      time.Duration
	deviation time.Duration
	count     int
}

// Patience returns how long silence after a token is explained by the gaps seen so far.
func (g Gaps) Patience() time.Duration {
	if g.count == 0 {
		return MaxPatience
	}
	patience := 2*g.mean + gapTolerance*g.deviation
	return min(max(patience, MinPatience), MaxPatience)
}

// WithGap returns the estimate after one more gap.
func (g Gaps) WithGap(gap time.Duration) Gaps {
	if g.count == 0 {
		return Gaps{mean: gap, deviation: gap / 2, count: 1}
	}
	difference := gap - g.mean
	if difference < 0 {
		g.deviation += (-difference - g.deviation) / gapSpread
	} else {
		g.deviation += (difference - g.deviation) / gapSpread
	}
	g.mean += difference / gapWeight
	g.count++
	return g
}
