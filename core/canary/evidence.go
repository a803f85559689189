package canary

import (
	"maps"
	"math"
	"time"
)

// minLatency is the shortest latency that is told apart, so that the logarithm of a latency of 0 is defined.
const minLatency = 100 * time.Microsecond

// Group is what responses are compared within: the requests to one version on one route in one failure domain.
type Group struct {
	Version string
	Route   string
	Domain  string
}

// Tally counts the requests of one group.
type Tally struct {
	Sent      int
	Tokens    int     // Tokens is the sum of the prompt tokens of the requests sent.
	Responses int     // Responses includes Failures.
	Failures  int     // Failures counts the outcomes Failed.
	Timed     int     // Timed counts the latencies in LogSum.
	LogSum    float64 // LogSum is the sum of the natural logarithms of latencies in ms.
	LogSquare float64 // LogSquare is the sum of their squares.
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(other Tally) Tally {
	return Tally{
		Sent: t.Sent + other.Sent, Tokens: t.Tokens + other.Tokens,
		Responses: t.Responses + other.Responses, Failures: t.Failures + other.Failures,
		Timed: t.Timed + other.Timed, LogSum: t.LogSum + other.LogSum, LogSquare: t.LogSquare + other.LogSquare,
	}
}

// Minus returns what a tally has more than an earlier one, which is empty if it has less.
func (t Tally) Minus(earlier Tally) Tally {
	if t.Sent < earlier.Sent || t.Responses < earlier.Responses || t.Failures < earlier.Failures || t.Timed < earlier.Timed {
		return Tally{}
	}
	return Tally{
		Sent: t.Sent - earlier.Sent, Tokens: t.Tokens - earlier.Tokens,
		Responses: t.Responses - earlier.Responses, Failures: t.Failures - earlier.Failures,
		Timed: t.Timed - earlier.Timed, LogSum: t.LogSum - earlier.LogSum, LogSquare: t.LogSquare - earlier.LogSquare,
	}
}

// WithOutcome returns the tally with one more outcome.
func (t Tally) WithOutcome(o Outcome) Tally {
	switch o := o.(type) {
	case Answered:
		t.Responses++
		return t.withLatency(o.Latency)
	case GivenUp:
		t.Responses++
		return t.withLatency(o.After)
	case Failed:
		if !o.Begun {
			t.Responses++
		}
		t.Failures++
	}
	return t
}

// withLatency returns the tally with one more latency.
func (t Tally) withLatency(latency time.Duration) Tally {
	logarithm := math.Log(float64(max(latency, minLatency)) / float64(time.Millisecond))
	t.Timed++
	t.LogSum += logarithm
	t.LogSquare += logarithm * logarithm
	return t
}

// FailureRate returns the part of the responses that are failures.
func (t Tally) FailureRate() float64 {
	return float64(t.Failures) / float64(max(1, t.Responses))
}

// MeanLatency returns the mean of the latencies if they have a log-normal distribution.
func (t Tally) MeanLatency() time.Duration {
	if t.Timed == 0 {
		return 0
	}
	return time.Duration(math.Exp(t.logMean()) * float64(time.Millisecond))
}

// logMean returns the logarithm of the mean latency in ms. Unlike the mean of the logarithms it shows a version of which
// only a part of the responses is slow.
func (t Tally) logMean() float64 {
	return t.LogSum/float64(t.Timed) + t.logVariance()/2
}

// logVariance returns the variance of the logarithms of the latencies.
func (t Tally) logVariance() float64 {
	if t.Timed < 2 {
		return 0
	}
	n := float64(t.Timed)
	return max(0, (t.LogSquare-t.LogSum*t.LogSum/n)/(n-1))
}

// Evidence holds the tallies of a service since a roll-out order. It is immutable; the zero value is empty.
type Evidence struct {
	tallies map[Group]Tally
}

// NewEvidence returns evidence with some tallies; the caller must not modify them afterwards.
func NewEvidence(tallies map[Group]Tally) Evidence {
	return Evidence{tallies: tallies}
}

// All returns the tallies; the caller must not modify them.
func (e Evidence) All() map[Group]Tally {
	return e.tallies
}

// WithTally returns the evidence with the counts of a tally added to a group.
func (e Evidence) WithTally(g Group, t Tally) Evidence {
	next := make(map[Group]Tally, len(e.tallies)+1)
	maps.Copy(next, e.tallies)
	next[g] = next[g].Plus(t)
	return Evidence{tallies: next}
}

// WithOutcome returns the evidence with one more outcome.
func (e Evidence) WithOutcome(g Group, o Outcome) Evidence {
	return e.WithTally(g, Tally{}.WithOutcome(o))
}

// Plus returns the sum of two pieces of evidence.
func (e Evidence) Plus(other Evidence) Evidence {
	next := make(map[Group]Tally, len(e.tallies)+len(other.tallies))
	maps.Copy(next, e.tallies)
	for g, t := range other.tallies {
		next[g] = next[g].Plus(t)
	}
	return Evidence{tallies: next}
}

// Minus returns what has come since earlier evidence.
func (e Evidence) Minus(earlier Evidence) Evidence {
	next := make(map[Group]Tally, len(e.tallies))
	for g, t := range e.tallies {
		if recent := t.Minus(earlier.tallies[g]); recent != (Tally{}) {
			next[g] = recent
		}
	}
	return Evidence{tallies: next}
}

// Split returns the sums over all routes and domains of the version and of all other versions.
func (e Evidence) Split(version string) (of, others Tally) {
	for g, t := range e.tallies {
		if g.Version == version {
			of = of.Plus(t)
		} else {
			others = others.Plus(t)
		}
	}
	return of, others
}

// size returns the number of events counted, which grows with each one.
func (e Evidence) size() int {
	size := 0
	for _, t := range e.tallies {
		size += t.Sent + t.Responses + t.Failures
	}
	return size
}

// Source is one start of an instance, whose evidence only grows.
type Source struct {
	Instance string
	Start    uint64
}

// Ledger holds the newest evidence of each start of each instance, also of those that have ended since. It is immutable;
// the zero value is empty. Reports can be added in any order and any number of times.
type Ledger struct {
	sources map[Source]Evidence
}

// WithReport returns the ledger with the evidence of a source, unless it has as much of it already.
func (l Ledger) WithReport(source Source, e Evidence) Ledger {
	if known, ok := l.sources[source]; ok && known.size() >= e.size() {
		return l
	}
	next := make(map[Source]Evidence, len(l.sources)+1)
	maps.Copy(next, l.sources)
	next[source] = e
	return Ledger{sources: next}
}

// Sum returns the evidence of all sources.
func (l Ledger) Sum() Evidence {
	sum := make(map[Group]Tally)
	for _, e := range l.sources {
		for g, t := range e.tallies {
			sum[g] = sum[g].Plus(t)
		}
	}
	return Evidence{tallies: sum}
}
