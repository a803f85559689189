package pool

import (
	"strings"

	"bramleywharf.example/entry/internal/engine"
)

const (
	prefixWords       = 16   // prefixWords is the length of the prompt prefix that identifies cache entries.
	gapFactor         = 0.5  // gapFactor scales all probabilities when cache events were missed.
	routedProbability = 0.8  // routedProbability is for a prefix that was sent to the target, but not yet reported by it.
	maxPrefixes       = 1024 // maxPrefixes bounds the prefixes of one target that are kept from one estimate to the next.
)

// cacheEstimate estimates which prompt prefixes a target has cached; it is immutable.
type cacheEstimate struct {
	lastSequence  int                // lastSequence is the sequence number of the last event applied.
	probabilities map[string]float64 // probabilities maps a prefix to the probability that it is cached.
}

// Prefix returns the part of a prompt that identifies its cache entry.
func Prefix(prompt string) string {
	fields := strings.Fields(prompt)
	return strings.Join(fields[:min(len(fields), prefixWords)], " ")
}

// probability returns the estimated probability that a prefix is cached.
func (c cacheEstimate) probability(prefix string) float64 {
	return c.probabilities[prefix]
}

// scaledProbabilities returns a copy of at most maxPrefixes of the probabilities, multiplied by a factor.
func (c cacheEstimate) scaledProbabilities(factor float64) map[string]float64 {
	probabilities := make(map[string]float64, len(c.probabilities)+1)
	for prefix, probability := range c.probabilities {
		if len(probabilities) >= maxPrefixes {
			break
		}
		probabilities[prefix] = probability * factor
	}
	return probabilities
}

// withEvents returns the estimate after cache events; older events are ignored and some may be missing.
func (c cacheEstimate) withEvents(events []engine.CacheEvent) cacheEstimate {
	if len(events) == 0 {
		return c
	}
	factor := 1.0
	if events[0].Sequence > c.lastSequence+1 && c.lastSequence > 0 {
		factor = gapFactor
	}
	next := cacheEstimate{lastSequence: c.lastSequence, probabilities: c.scaledProbabilities(factor)}
	for _, e := range events {
		if e.Sequence <= next.lastSequence {
			continue
		}
		next.lastSequence = e.Sequence
		if e.Added {
			next.probabilities[e.Prefix] = 1
		} else {
			delete(next.probabilities, e.Prefix)
		}
	}
	return next
}

// withRouted returns the estimate after a request with a prefix was sent to the target.
func (c cacheEstimate) withRouted(prefix string) cacheEstimate {
	if c.probabilities[prefix] >= routedProbability {
		return c
	}
	next := cacheEstimate{lastSequence: c.lastSequence, probabilities: c.scaledProbabilities(1)}
	next.probabilities[prefix] = routedProbability
	return next
}
