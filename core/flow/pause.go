package flow

import "time"

// Bounds of the timeouts of a silent stream. The lower ones apply while a service's pauses are unknown or short.
const (
	// MinProbeTimeout is the least silence after which a target is probed.
	MinProbeTimeout = 250 * time.Millisecond
	// MinCutTimeout is the least silence after which a stream moves to another target although its own accepts
	// connections. It leaves 200 ms for the move if a pause may last 700 ms.
	MinCutTimeout = 500 * time.Millisecond
	// MaxSilenceTimeout is the upper bound of both timeouts, since callers give up after a gap of some seconds.
	MaxSilenceTimeout = 2 * time.Second
)

const (
	riseWeight  = 0.3   // weight of a pause above the estimate
	fallWeight  = 0.002 // weight of a pause below it, low so that the estimate stays near the long pauses
	probeFactor = 1.2   // ratio of the probe timeout to the estimate
	cutFactor   = 2.2   // ratio of the cut timeout to the estimate
	cutGrowth   = 1.25  // ratio of the next cut timeout to a silence that was cut although the target was alive
)

// PauseEstimate estimates the long pauses between the events of a service's streams, such as those while a target also
// reads prompts. The zero value has no samples.
type PauseEstimate struct {
	longPause float64 // in nanoseconds
}

// CutTimeout returns the silence after which a stream moves to another target although its own accepts connections.
func (p PauseEstimate) CutTimeout() time.Duration {
	return min(max(time.Duration(cutFactor*p.longPause), MinCutTimeout), MaxSilenceTimeout)
}

// ProbeTimeout returns the silence after which a target is probed.
func (p PauseEstimate) ProbeTimeout() time.Duration {
	return min(max(time.Duration(probeFactor*p.longPause), MinProbeTimeout), p.CutTimeout())
}

// WithCut returns the estimate after a stream was cut although its target accepts connections. How long the pause
// would have been is unknown, so that the next cut comes later.
func (p PauseEstimate) WithCut(silence time.Duration) PauseEstimate {
	p.longPause = max(p.longPause, min(cutGrowth*float64(silence), float64(MaxSilenceTimeout))/cutFactor)
	return p
}

// WithPause returns the estimate after a pause between two events.
func (p PauseEstimate) WithPause(pause time.Duration) PauseEstimate {
	weight := fallWeight
	if float64(pause) > p.longPause {
		weight = riseWeight
	}
	p.longPause += weight * (float64(pause) - p.longPause)
	return p
}
