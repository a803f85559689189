package admit

import "time"

const (
	sampleWeight = 0.1              // sampleWeight is that of a new stream in the averages.
	minSamples   = 8                // minSamples is the number of streams from which estimates are used.
	leastWindow  = 20 * time.Second // leastWindow is half of the longest time for which a shortest time counts.
)

// Pace is how long the streams of a service take from their send to their end, learnt from those that were complete. The
// zero value knows nothing.
type Pace struct {
	samples int
	mean    time.Duration
	tokens  float64          // tokens is the mean length of a prompt.
	least   [2]time.Duration // least holds the shortest times of this window and of the one before.
	since   time.Duration    // since is when this window began.
}

// WithStream returns the pace after one more complete stream. The time now is on any clock that starts at 0.
func (p Pace) WithStream(now, took time.Duration, tokens int) Pace {
	if p.samples == 0 {
		p.mean, p.tokens, p.since = took, float64(tokens), now
		p.least = [2]time.Duration{took, took}
	}
	p.samples++
	p.mean += time.Duration(sampleWeight * float64(took-p.mean))
	p.tokens += sampleWeight * (float64(tokens) - p.tokens)
	if now-p.since > leastWindow {
		p.least, p.since = [2]time.Duration{took, p.least[0]}, now
	}
	p.least[0] = min(p.least[0], took)
	return p
}

// IsKnown reports whether there were enough streams for an estimate.
func (p Pace) IsKnown() bool {
	return p.samples >= minSamples
}

// Mean returns the mean time that a stream takes.
func (p Pace) Mean() time.Duration {
	return p.mean
}

// Tokens returns the mean length of a prompt.
func (p Pace) Tokens() int {
	return int(p.tokens)
}

// Least returns the shortest time that a recent stream took. It is the conservative estimate by which streams are
// refused. The size of the request does not count, so that the largest ones are not the first to be refused.
func (p Pace) Least() time.Duration {
	return min(p.least[0], p.least[1])
}
