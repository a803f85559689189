package flow

import "time"

// Bounds of the silences that count, for a service whose pauses are not known yet or shorter than that.
const (
	ProbeSilence = 250 * time.Millisecond // ProbeSilence is the shortest silence after which a target is probed.
	CutSilence   = 500 * time.Millisecond // CutSilence is the shortest silence after which a stream goes on elsewhere though its target takes connections; it leaves 200 ms of a pause of 700 ms.
	MaxSilence   = 2 * time.Second        // MaxSilence bounds what is learnt: callers leave after a gap of some seconds.
)

const (
	paceRise  = 0.3   // paceRise is the weight of a pause above the estimate.
	paceFall  = 0.002 // paceFall is the weight of one below it, so that the estimate stays with the long pauses.
	probeRoom = 1.2   // probeRoom is how much longer than a usual long pause a silence is before the target is probed.
	cutRoom   = 2.2   // cutRoom is how much longer it is before the stream goes on elsewhere.
	mistaken  = 1.25  // mistaken is how much longer than a silence that ended a live stream the next one may be.
)

// Pace estimates the long pauses between the events of a service's streams, as beside prompts that are being read; the zero value knows none.
type Pace struct {
	long float64 // long is the estimate, in nanoseconds.
}

// Cut returns the silence after which a stream goes on elsewhere though its target takes connections.
func (p Pace) Cut() time.Duration {
	return min(max(time.Duration(cutRoom*p.long), CutSilence), MaxSilence)
}

// Probe returns the silence after which a target is probed.
func (p Pace) Probe() time.Duration {
	return min(max(time.Duration(probeRoom*p.long), ProbeSilence), p.Cut())
}

// WithPause returns the estimate after a pause that ended with an event.
func (p Pace) WithPause(pause time.Duration) Pace {
	weight := paceFall
	if float64(pause) > p.long {
		weight = paceRise
	}
	p.long += weight * (float64(pause) - p.long)
	return p
}

// WithSilence returns the estimate after a silence of a target that takes connections, which was cut and so never ended.
func (p Pace) WithSilence(silence time.Duration) Pace {
	p.long = max(p.long, min(mistaken*float64(silence), float64(MaxSilence))/cutRoom)
	return p
}
